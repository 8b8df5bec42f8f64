"""Tests that priority changes of running requests reach the engines."""

import collections.abc

import orjson
import trio

from corianderloft._internal.entry import priorities
from tests.lib import engines
from tests.lib import entry

LOWER_AFTER = (3, 6)
TARGET = '/v1/requests/stables:r1'


class RecordingEngine:
    """Script that streams, and records and answers priority changes."""

    def __init__(self, answer: engines.Script) -> None:
        self._answer = answer
        self.go_on = trio.Event()
        self.changes: list[int] = []

    async def script(
        self, wire: engines.EngineConnection, seen: engines.ReceivedRequest
    ) -> None:
        if seen.method != 'PATCH':
            await self._stream(wire)
            return
        assert seen.target == TARGET
        self.changes.append(orjson.loads(seen.body)['priority'])
        await self._answer(wire, seen)

    async def _stream(self, wire: engines.EngineConnection) -> None:
        await wire.head()
        for number in range(1, engines.TOKENS - 1):
            await wire.tokens(number, number)
            await trio.sleep(0.01)
        await self.go_on.wait()
        await wire.tokens(engines.TOKENS - 1, engines.TOKENS)
        await wire.done()


async def changed(
    wire: engines.EngineConnection, seen: engines.ReceivedRequest
) -> None:
    """Answer as an engine that runs the request."""
    await wire.json(200, {'changed': 1})


async def silent(
    wire: engines.EngineConnection, seen: engines.ReceivedRequest
) -> None:
    """Never answer."""
    await wire.wait_closed()


async def _streamed(
    nursery: trio.Nursery,
    engine: RecordingEngine,
    until: collections.abc.Callable[[], bool],
) -> bytes:
    """Return a stream that ends only once ``until`` returns true."""
    _, backend = await engines.start(nursery, 'e1', engine.script)
    cfg = {'silent_floor': 10.0}
    async with entry.running_host(backend, backends=cfg) as fixture:
        fixture.dispatcher.lower_after = LOWER_AFTER
        async with entry.reading(fixture, X_Request_Id='r1') as reader:
            with trio.fail_after(20):
                await reader.until(engines.TOKENS - 2)
                while not until():
                    await trio.sleep(0.01)
                engine.go_on.set()
                return await reader.rest()


async def test_each_priority_change_is_sent_at_most_once(
    nursery: trio.Nursery,
) -> None:
    engine = RecordingEngine(changed)
    before = priorities.outcome_counts()[priorities.Outcome.CHANGED]

    def all_counted() -> bool:
        counted = (
            priorities.outcome_counts()[priorities.Outcome.CHANGED] - before
        )
        return 2 in engine.changes and counted == len(engine.changes)

    body = await _streamed(nursery, engine, all_counted)
    assert body == engines.whole_body()
    # An unsent change is replaced by the next.
    assert engine.changes in ([1, 2], [2])


async def test_refused_change_is_only_counted(nursery: trio.Nursery) -> None:
    engine = RecordingEngine(engines.refuses(404, 'not_found'))
    before = priorities.outcome_counts()[priorities.Outcome.FAILED]

    def failed() -> bool:
        return priorities.outcome_counts()[priorities.Outcome.FAILED] > before

    assert await _streamed(nursery, engine, failed) == engines.whole_body()


async def test_unanswered_change_does_not_delay_the_stream(
    nursery: trio.Nursery,
) -> None:
    engine = RecordingEngine(silent)
    body = await _streamed(nursery, engine, lambda: bool(engine.changes))
    assert body == engines.whole_body()
