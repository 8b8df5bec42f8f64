"""Tests that engines are told of lowered priorities of running jobs."""

import collections.abc

import orjson
import trio

from corianderloft._internal.entry import priorities
from tests.lib import engines
from tests.lib import entry

LOWER_AFTER = (3, 6)
TARGET = '/v1/requests/stables:r1'


class Told:
    """Script that streams and waits, and answers changes of priority."""

    def __init__(self, answer: engines.Script) -> None:
        self._answer = answer
        self.go_on = trio.Event()
        self.changes: list[int] = []

    async def script(self, wire: engines.Wire, seen: engines.Seen) -> None:
        if seen.method != 'PATCH':
            await self._stream(wire)
            return
        assert seen.target == TARGET
        self.changes.append(orjson.loads(seen.body)['priority'])
        await self._answer(wire, seen)

    async def _stream(self, wire: engines.Wire) -> None:
        await wire.head()
        for number in range(1, engines.TOKENS - 1):
            await wire.tokens(number, number)
            await trio.sleep(0.01)
        await self.go_on.wait()
        await wire.tokens(engines.TOKENS - 1, engines.TOKENS)
        await wire.done()


async def changed(wire: engines.Wire, seen: engines.Seen) -> None:
    """Answer as an engine that knows the job."""
    await wire.json(200, {'changed': 1})


async def silent(wire: engines.Wire, seen: engines.Seen) -> None:
    """Never answer."""
    await wire.closed()


async def _streamed(
    nursery: trio.Nursery,
    told: Told,
    until: collections.abc.Callable[[], bool],
) -> bytes:
    """Return a stream that ends only after ``until`` holds."""
    _, backend = await engines.start(nursery, 'e1', told.script)
    cfg = {'silent_floor': 10.0}
    async with entry.running_host(backend, backends=cfg) as fixture:
        fixture.dispatcher.lower_after = LOWER_AFTER
        async with entry.reading(fixture, X_Request_Id='r1') as reader:
            with trio.fail_after(20):
                await reader.until(engines.TOKENS - 2)
                while not until():
                    await trio.sleep(0.01)
                told.go_on.set()
                return await reader.rest()


async def test_engine_is_told_once_a_step(nursery: trio.Nursery) -> None:
    told = Told(changed)
    before = priorities.counted()[priorities.Outcome.CHANGED]

    def all_counted() -> bool:
        counted = priorities.counted()[priorities.Outcome.CHANGED] - before
        return 2 in told.changes and counted == len(told.changes)

    body = await _streamed(nursery, told, all_counted)
    assert body == engines.whole_body()
    # A step that still waits gives way to the next.
    assert told.changes in ([1, 2], [2])


async def test_refused_change_is_only_counted(nursery: trio.Nursery) -> None:
    told = Told(engines.refuses(404, 'not_found'))
    before = priorities.counted()[priorities.Outcome.FAILED]

    def failed() -> bool:
        return priorities.counted()[priorities.Outcome.FAILED] > before

    assert await _streamed(nursery, told, failed) == engines.whole_body()


async def test_silent_change_does_not_hold_up_the_stream(
    nursery: trio.Nursery,
) -> None:
    told = Told(silent)
    body = await _streamed(nursery, told, lambda: bool(told.changes))
    assert body == engines.whole_body()
