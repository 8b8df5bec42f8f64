"""Tests that polled engine data reaches the dispatcher."""

import typing

import trio

from tests.lib import engines
from tests.lib import entry

LOAD = {'age_s': 2.0, 'running': 3, 'waiting': 1, 'cached_fraction': 0.5}


class PolledEngine:
    """Script that answers polls with fixed data and serves chats."""

    def __init__(self, load: typing.Any, events: typing.Any) -> None:
        self._load = load
        self._events = events

    async def script(
        self, wire: engines.EngineConnection, seen: engines.ReceivedRequest
    ) -> None:
        if seen.target == '/v1/load':
            await wire.json(200, self._load)
        elif seen.target.startswith('/v1/cache/events'):
            await wire.json(200, self._events)
        else:
            await engines.serves(wire, seen)


async def _wait_polls(engine: engines.Engine, count: int) -> list[str]:
    with trio.fail_after(20):
        while True:
            targets = [s.target for s in engine.seen if s.method == 'GET']
            if len(targets) >= count:
                return targets
            await trio.sleep(0.01)


async def test_only_recently_used_engines_are_polled(
    nursery: trio.Nursery,
) -> None:
    events = {'next': 7, 'oldest': 1, 'events': []}
    events['events'] = [{'id': 6, 'added': [1, 2], 'removed': [3]}]
    script = PolledEngine(LOAD, events).script
    used, one = await engines.start(nursery, 'e1', script)
    unused, two = await engines.start(nursery, 'e2', script, service='till')
    fast = {'polls_per_second': 100.0}
    async with entry.running_host(one, two, backends=fast) as fixture:
        await entry.chat(fixture)
        targets = await _wait_polls(used, 4)
    assert targets[:3] == [
        '/v1/load',
        '/v1/cache/events?after=0',
        '/v1/load',
    ]
    assert targets[3] == '/v1/cache/events?after=7'
    assert not unused.seen
    report = fixture.dispatcher.reports[0]
    assert (report.running, report.waiting) == (3, 1)
    assert report.measured_at < trio.current_time() - 1.9
    assert fixture.dispatcher.cached[0] == ('e1', [1, 2], [3])


async def test_malformed_reports_are_ignored(nursery: trio.Nursery) -> None:
    script = PolledEngine({'running': 'x'}, [1]).script
    engine, one = await engines.start(nursery, 'e1', script)
    fast = {'polls_per_second': 100.0}
    async with entry.running_host(one, backends=fast) as fixture:
        await entry.chat(fixture)
        await _wait_polls(engine, 4)
        assert (await entry.chat(fixture)).status == 200
    assert not fixture.dispatcher.reports
    assert not fixture.dispatcher.cached
