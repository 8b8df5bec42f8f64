"""Non-idempotent requests run at most once, whichever part fails.

A retry or a second host could run a booking again after a lost response, a
lost claim reply, a store outage or a killed host.
"""

import collections
import typing

import httpcore
import orjson
import trio

from tests.lib import calls
from tests.lib import system as systems

CALLERS = 8


def _error(reply: httpcore.Response) -> dict[str, typing.Any]:
    return dict(orjson.loads(reply.content)['error'])


async def test_lost_response_is_unknown_and_never_retried() -> None:
    async with systems.running(2, 1) as system:
        await calls.set_faults(
            system.backends['counter-1'].port, lose_answers=1
        )
        first = await system.book('host-1', 'lost', 'k-lost')
        assert _error(first)['run'] == 'unknown'
        second = await system.book('host-2', 'lost', 'k-lost')
        assert _error(second)['run'] != 'not_run'
        assert await system.run_count('lost') == 1


async def test_concurrent_requests_at_all_hosts_run_once() -> None:
    async with systems.running(2, 1) as system:
        port = system.backends['counter-1'].port
        await calls.set_faults(port, delay=0.3)
        replies: list[httpcore.Response] = []

        async def book(host_id: str) -> None:
            replies.append(await system.book(host_id, 'race', 'k-race'))

        async with trio.open_nursery() as nursery:
            for number in range(CALLERS):
                nursery.start_soon(book, f'host-{number % 2 + 1}')
        again = await system.book('host-2', 'race', 'k-race')
        assert await system.run_count('race') == 1
    assert orjson.loads(again.content)['runs'] == 1
    seen = collections.Counter(reply.status for reply in replies)
    assert seen[200] >= 1
    others = [reply for reply in replies if reply.status != 200]
    assert all(_error(reply)['run'] == 'unknown' for reply in others)


async def test_same_key_with_another_body_is_refused() -> None:
    async with systems.running(1, 1) as system:
        await system.book('host-1', 'one', 'k-same')
        other = await system.book('host-1', 'two', 'k-same')
        assert _error(other)['reason'] == 'key_reused'
        assert await system.run_count('two') == 0


async def test_booking_is_refused_and_not_run_without_store() -> None:
    async with systems.running(1, 1) as system:
        await calls.set_faults(system.kv.port, outage='refuse')
        refused = await system.book('host-1', 'outage', 'k-outage')
        assert _error(refused)['reason'] == 'claim_unavailable'
        assert _error(refused)['run'] == 'not_run'
        assert await system.run_count('outage') == 0
        chat = await system.chat('host-1')
        assert chat.status == 200
        await calls.set_faults(system.kv.port, outage='none')
        booked = await system.book('host-1', 'outage', 'k-outage')
        assert booked.status == 200
        assert await system.run_count('outage') == 1


async def test_booking_runs_at_most_once_after_a_lost_claim_reply() -> None:
    async with systems.running(2, 1) as system:
        await calls.set_faults(system.kv.port, lose_replies=1)
        first = await system.book('host-1', 'claim', 'k-claim')
        ran = await system.run_count('claim')
        assert ran == (1 if first.status == 200 else 0)
        await system.book('host-2', 'claim', 'k-claim')
        assert await system.run_count('claim') <= 1


async def test_booking_on_a_killed_host_runs_at_most_once() -> None:
    async with systems.running(2, 1) as system:
        port = system.backends['counter-1'].port
        await calls.set_faults(port, delay=0.5)
        with trio.move_on_after(0.3):
            await system.book('host-1', 'killed', 'k-killed')
        system.hosts['host-1'].kill()
        second = await system.book('host-2', 'killed', 'k-killed')
        await trio.sleep(0.5)
        assert await system.run_count('killed') == 1
        assert second.status == 200 or _error(second)['run'] == 'unknown'
