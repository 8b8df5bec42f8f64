"""Servers that say in their responses that they leave or want nothing.

Their entries still say that they are ready, and the store may be away or hold
an older entry.
"""

import pytest
import trio

from tests.lib import gateway
from tests.lib import processes

REFUSAL_S = 1.2


async def _hear_leaving(system, engine):
    """Send requests until the server has said that it leaves."""
    engine.leaving = True
    seen = len(engine.seen)

    async def has_said():
        assert (await system.request()).status == 200
        return len(engine.seen) > seen

    await processes.wait_for(has_said, 'it has said so')
    return len(engine.seen)


async def _assert_left_alone(system, engine, count):
    for _ in range(12):
        assert (await system.request()).status == 200
    assert len(engine.seen) == count


@pytest.mark.parametrize('mode', ['whole', 'stream'])
async def test_a_server_that_says_that_it_leaves_gets_no_requests(mode):
    # Its entry said ready, so it got requests until the entry changed.
    target = '/chat/1' if mode == 'stream' else '/look/1'
    async with gateway.running((mode, mode)) as system:
        for engine in system.engines:
            engine.leaving = engine is system.engines[0]
        for _ in range(12):
            response = await system.request('POST', target)
            assert response.complete
        assert len(system.engines[0].seen) <= 1
        assert len(system.engines[1].seen) >= 11


async def test_an_entry_written_again_does_not_bring_it_back():
    async with gateway.running(('whole', 'whole')) as system:
        engine = system.engines[0]
        count = await _hear_leaving(system, engine)
        system.register(engine, sequence=2)
        await trio.sleep(0.3)
        await _assert_left_alone(system, engine, count)
        system.store.remove(f'servers/{engine.engine_id}')
        await trio.sleep(0.3)
        system.register(engine, sequence=3)
        await trio.sleep(0.3)
        await _assert_left_alone(system, engine, count)


async def test_another_start_of_the_server_is_another_server():
    async with gateway.running(('whole', 'whole')) as system:
        engine = system.engines[0]
        await _hear_leaving(system, engine)
        engine.leaving = False
        system.register(engine, born=2000)
        count = len(engine.seen)

        async def is_used():
            await system.request()
            return len(engine.seen) > count

        await processes.wait_for(is_used, 'the new start gets requests')


async def test_it_holds_while_the_host_has_lost_the_store():
    async with gateway.running(('whole', 'whole')) as system:
        engine = system.engines[0]
        count = await _hear_leaving(system, engine)
        system.store.down = True
        await trio.sleep(0.3)
        await _assert_left_alone(system, engine, count)


async def test_a_stream_of_a_server_that_leaves_is_completed():
    async with gateway.running(('stream', 'stream')) as system:
        for engine in system.engines:
            engine.leaving, engine.pause = True, 0.1
        responses = [
            await system.request('POST', f'/quote/{n}') for n in range(2)
        ]
        runs = len(system.runs())
    assert all(response.complete for response in responses)
    assert runs == 2


async def test_a_server_that_wants_nothing_for_a_time_gets_nothing():
    # It got a request at each new one's turn and turned them all away.
    async with gateway.running(('reject', 'whole')) as system:
        engine = system.engines[0]
        engine.retry_after = str(REFUSAL_S)
        started_at = trio.current_time()
        while not engine.rejected_at:
            assert (await system.request()).status == 200
        while trio.current_time() < engine.rejected_at[0] + REFUSAL_S:
            assert (await system.request()).status == 200
            await trio.sleep(0.02)
        assert len(engine.rejected_at) == 1
        engine.mode = 'whole'
        await processes.wait_for(
            lambda: _is_used(system, engine), 'it is used again'
        )
        assert trio.current_time() > started_at + REFUSAL_S


async def _is_used(system, engine):
    await system.request()
    return bool(engine.seen)


async def test_callers_are_told_when_the_first_server_is_back():
    async with gateway.running(('reject', 'reject')) as system:
        for engine, time_s in zip(system.engines, ('5', '3'), strict=True):
            engine.retry_after = time_s
        first = await system.request('POST', '/book/1')
        assert first.status == 503
        sent_at = trio.current_time()
        second = await system.request('POST', '/book/2')
        # Nothing is gained by waiting for less than the servers said.
        assert trio.current_time() < sent_at + 0.5
        rejected = [len(engine.rejected_at) for engine in system.engines]
    assert second.status == 503
    assert 2.0 < float(second.headers['retry-after']) < 4.0
    assert rejected == [1, 1]
