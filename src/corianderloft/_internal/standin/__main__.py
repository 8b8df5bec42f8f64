"""Runs one stand-in as a process: ``kv``, ``engine`` or ``service``.

Its first line on standard output is a JSON object with the bound port.
"""

import collections.abc
import sys
import typing

import fire
import orjson
import pydantic
import trio

from corianderloft._internal.settings import base
from corianderloft._internal import standin

EXIT_USAGE = 2

Serve = collections.abc.Callable[..., collections.abc.Awaitable[None]]


def kv(**options: typing.Any) -> None:
    """Run the key-value service."""
    run('kv', options)


def engine(**options: typing.Any) -> None:
    """Run a model engine."""
    run('engine', options)


def service(**options: typing.Any) -> None:
    """Run a plain service."""
    run('service', options)


STANDINS: dict[str, tuple[type[base.Section], Serve]] = {
    'kv': (standin.KvSettings, standin.serve_kv),
    'engine': (standin.EngineSettings, standin.serve_engine),
    'service': (standin.ServiceSettings, standin.serve_service),
}


def run(name: str, options: dict[str, typing.Any]) -> None:
    """Check the options of a stand-in and serve it until it is killed."""
    model, serve = STANDINS[name]
    try:
        settings = model.model_validate(options)
    except pydantic.ValidationError as exc:
        print(f'standin {name}: {exc}', file=sys.stderr)
        sys.exit(EXIT_USAGE)
    try:
        trio.run(_announced, name, settings, serve)
    except KeyboardInterrupt:
        sys.exit(0)


async def _announced(name: str, settings: base.Section, serve: Serve) -> None:
    async with trio.open_nursery() as nursery:
        port = await nursery.start(serve, settings)
        line = {'standin': name, 'address': '127.0.0.1', 'port': port}
        print(orjson.dumps(line).decode(), flush=True)


if __name__ == '__main__':
    fire.Fire({'kv': kv, 'engine': engine, 'service': service})
