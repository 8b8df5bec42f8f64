"""A `PlatformEngine` as a process: ``python -m tests.lib.engine_process``.

Arguments: its ID, its mode and the pause between two events in seconds.
"""

import sys

import orjson
import trio

from tests.lib import platform_engine

EVENTS = 40


async def main(engine_id, mode, pause):
    engine = platform_engine.PlatformEngine(engine_id, mode)
    engine.events, engine.pause = EVENTS, float(pause)
    async with trio.open_nursery() as nursery:
        port = await nursery.start(engine.serve)
        print(orjson.dumps({'port': port}).decode(), flush=True)


if __name__ == '__main__':
    trio.run(main, *sys.argv[1:])
