"""Second attempts of requests whose server is slow, end to end.

They guard against second runs of what may not be repeated, of streams that
have begun, or without the operator's consent, and against two servers that
work on one stream.
"""

import contextlib

import pytest
import trio

from corianderloft._internal.gateway import metrics
from corianderloft._internal.gateway import sending
from corianderloft._internal.placement import engines
from tests.lib import gateway
from tests.lib import processes

STALL_S = 0.25
"""Less than the silence timeouts of the routes."""

SLOW_REQUESTS = 6


@contextlib.asynccontextmanager
async def running(mode, target, extra_work=1.0):
    """Run two servers, the first answers of which the host knows."""
    async with gateway.running((mode, mode), start=False) as system:
        await system.start_host(hedge_extra_work=extra_work)
        for number in range(80):
            await system.request(*_request(target, number))
        assert all(len(engine.seen) >= 20 for engine in system.engines)
        for engine in system.engines:
            engine.seen.clear()
        yield system


def _request(target, number):
    method = 'GET' if target == '/look/' else 'POST'
    return method, f'{target}w{number}'


async def _ask_slow(system, target):
    """Make the first server slow; return responses and longest time."""
    slow = system.engines[0]
    slow.stall = STALL_S
    responses, times = [], []
    for number in range(SLOW_REQUESTS):
        sent_at = trio.current_time()
        response = await system.request(*_request(target, number))
        times.append(trio.current_time() - sent_at)
        responses.append(response)
    return responses, max(times)


async def test_a_call_at_a_slow_server_is_answered_by_another_one():
    before = metrics.hedges['desk', 'won']
    async with running('whole', '/look/') as system:
        slow = system.engines[0]
        connections = slow.connections
        responses, longest = await _ask_slow(system, '/look/')
        assert slow.seen
        # Losers are cancelled: their connections are not used again.
        assert slow.connections - connections >= len(slow.seen) - 1
        # Every request that the slow server got was sent to the other too.
        assert len(system.engines[1].seen) == SLOW_REQUESTS
    assert [r.status for r in responses] == [200] * SLOW_REQUESTS
    assert {r.body for r in responses} == {b'answer of e-1'}
    assert longest < STALL_S
    assert metrics.hedges['desk', 'won'] - before == len(slow.seen)


async def test_a_stream_leaves_a_slow_server_before_its_first_event():
    async with running('stream', '/quote/') as system:
        slow = system.engines[0]
        slow.cut_after = 0
        responses, longest = await _ask_slow(system, '/quote/')
        assert slow.seen
        await processes.wait_for(
            lambda: slow.disconnects == len(slow.seen), 'first runs have ended'
        )
        assert len(system.engines[1].seen) == SLOW_REQUESTS
    assert all(response.complete for response in responses)
    for response in responses:
        assert response.body.count(b'data: token') == 4
    assert longest < STALL_S


async def test_a_stream_that_has_begun_is_not_hedged():
    async with running('stream', '/quote/') as system:
        system.engines[0].cut_after = 2
        responses, _ = await _ask_slow(system, '/quote/')
        assert system.engines[0].seen
        assert len(system.runs()) == SLOW_REQUESTS
    assert all(response.complete for response in responses)


@pytest.mark.parametrize(
    ('mode', 'target'), [('whole', '/book/'), ('stream', '/chat/')]
)
async def test_what_may_not_be_repeated_is_not_hedged(mode, target):
    async with running(mode, target) as system:
        system.engines[0].cut_after = 0
        responses, _ = await _ask_slow(system, target)
        assert system.engines[0].seen
        assert len(system.runs()) == SLOW_REQUESTS
    assert [r.status for r in responses] == [200] * SLOW_REQUESTS


@pytest.mark.parametrize(
    ('mode', 'target'), [('whole', '/look/'), ('stream', '/quote/')]
)
async def test_nothing_is_hedged_unless_it_is_configured(mode, target):
    before = metrics.hedges.copy(), metrics.work.copy()
    async with running(mode, target, extra_work=0.0) as system:
        system.engines[0].cut_after = 0
        responses, _ = await _ask_slow(system, target)
        assert system.engines[0].seen
        assert len(system.runs()) == SLOW_REQUESTS
    assert [r.status for r in responses] == [200] * SLOW_REQUESTS
    assert (metrics.hedges, metrics.work) == before


async def test_the_first_good_answer_wins_if_the_other_attempt_fails():
    async with running('whole', '/look/') as system:
        system.engines[1].mode = 'error'
        responses, _ = await _ask_slow(system, '/look/')
        assert len(system.runs()) > SLOW_REQUESTS
    assert [r.status for r in responses] == [200] * SLOW_REQUESTS
    assert {r.body for r in responses} == {b'answer of e-0'}


async def test_hedges_take_from_the_retry_budget():
    async with gateway.running(('whole', 'whole'), start=False) as system:
        await system.start_host(
            hedge_extra_work=1.0, retry_ratio=0.0, retry_slack=0.0
        )
        before = metrics.hedges_refused['desk', 'retry_budget']
        for number in range(80):
            await system.request(*_request('/look/', number))
        for engine in system.engines:
            engine.seen.clear()
        responses, _ = await _ask_slow(system, '/look/')
        assert system.engines[0].seen
        assert len(system.runs()) == SLOW_REQUESTS
    assert [r.status for r in responses] == [200] * SLOW_REQUESTS
    assert metrics.hedges_refused['desk', 'retry_budget'] > before


async def test_the_first_run_of_a_stream_ends_before_the_second_starts(
    monkeypatch,
):
    events = []

    class Recorded(sending.SendAttempt):
        """Records when attempts of one request begin and end."""

        async def open(self, resume_after):
            events.append(('open', self._engine.engine_id))
            return await super().open(resume_after)

        def close(self):
            events.append(('close', self._engine.engine_id))
            super().close()

    async with running('stream', '/quote/') as system:
        system.engines[0].cut_after = 0
        monkeypatch.setattr(sending, 'SendAttempt', Recorded)
        await _ask_slow(system, '/quote/')
    kinds = [kind for kind, _ in events]
    assert kinds == ['open', 'close'] * (len(kinds) // 2)
    assert len(kinds) > 2 * SLOW_REQUESTS


@pytest.mark.parametrize(
    ('mode', 'target'), [('whole', '/look/'), ('stream', '/quote/')]
)
async def test_no_attempt_outlives_its_caller(mode, target):
    # A grant that is not closed occupies a slot of its server for ever.
    async with running(mode, target) as system:
        opened, closed = [], []
        for engine in system.engines:
            engine.cut_after = 0
        slow, other = system.engines
        slow.stall, other.stall = STALL_S, 2 * STALL_S

        async def leave(number):
            with trio.move_on_after(0.15):
                await system.request(*_request(target, number))

        with _counted_grants(opened, closed):
            for number in range(SLOW_REQUESTS):
                await leave(number)
            await processes.wait_for(
                lambda: set(opened) <= set(closed), 'all attempts have ended'
            )
        assert len(opened) > SLOW_REQUESTS


@contextlib.contextmanager
def _counted_grants(opened, closed):
    """Record the permissions that are given and those that end.

    One that was given before may still end.
    """
    add, remove = engines.Engine.add, engines.Engine.remove

    def counted_add(engine, number, request):
        opened.append(number)
        add(engine, number, request)

    def counted_remove(engine, number):
        removed = remove(engine, number)
        if removed:
            closed.append(number)
        return removed

    engines.Engine.add, engines.Engine.remove = counted_add, counted_remove
    try:
        yield
    finally:
        engines.Engine.add, engines.Engine.remove = add, remove
