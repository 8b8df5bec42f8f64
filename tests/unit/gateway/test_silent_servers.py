"""Servers that send nothing for longer than a timeout, but are sound.

An engine preempts a request for others and goes on with it later. A host that
left it although no other server could take the request over cut the streams
of its callers, and answered others that their outcome was unknown.
"""

import signal

import pytest
import trio
import trio.testing

from corianderloft._internal.gateway import silence
from tests.lib import gateway

STALL_S = 0.8
"""More than the timeouts of the routes, less than their deadlines."""

TIMEOUT_S = 0.5
GAP_TIMEOUT_S = 0.3


async def _add_other(system, state):
    """Add a server that cannot take a request over."""
    if state is None:
        return
    other = await system.add_engine('stream', register=False)
    system.register(other, state=state)
    await trio.sleep(system.bounds().drain_time / 4)


@pytest.mark.parametrize('other', [None, 'draining'])
@pytest.mark.parametrize('stalls_before', [0, 2])
async def test_a_stalled_stream_is_kept_if_no_server_takes_it_over(
    other, stalls_before
):
    async with gateway.running(('stream',)) as system:
        engine = system.engines[0]
        engine.stall, engine.cut_after = STALL_S, stalls_before
        await _add_other(system, other)
        response = await system.request('POST', '/quote/1', deadline_ms=3000)
        assert len(system.runs()) == 1
    assert (response.status, response.complete) == (200, True)
    assert response.body.count(b'data: token') == 4


async def test_a_late_answer_is_delivered_if_no_server_takes_over():
    async with gateway.running(('whole',)) as system:
        system.engines[0].stall = STALL_S
        responses = [await system.request() for _ in range(3)]
        assert len(system.runs()) == 3
    assert [response.status for response in responses] == [200] * 3


async def test_a_stalled_stream_is_kept_while_the_host_stops():
    async with gateway.running(('stream',)) as system:
        engine = system.engines[0]
        engine.stall, engine.pause = STALL_S, 0.05
        responses = []

        async def ask():
            responses.append(
                await system.request('POST', '/quote/1', deadline_ms=3000)
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await trio.sleep(0.1)
            signal.raise_signal(signal.SIGTERM)
        await system.host_done.wait()
    (response,) = responses
    assert (response.status, response.complete) == (200, True)


async def test_a_silent_server_is_left_if_another_takes_over():
    async with gateway.running(('whole', 'whole')) as system:
        system.engines[0].stall = 1.9
        responses = [await system.request() for _ in range(4)]
    assert {response.status for response in responses} == {200}
    assert {response.body for response in responses} == {b'answer of e-1'}


async def test_new_requests_reach_the_only_server_while_it_stalls():
    # It was ejected after two silent streams, and all others were refused.
    async with gateway.running(('stream',)) as system:
        system.engines[0].stall = STALL_S
        responses = []

        async def ask(number):
            responses.append(
                await system.request(
                    'POST', f'/quote/{number}', deadline_ms=3000
                )
            )

        async with trio.open_nursery() as nursery:
            for number in range(8):
                nursery.start_soon(ask, number)
                await trio.sleep(0.1)
    assert [r.status for r in responses] == [200] * 8
    assert all(response.complete for response in responses)


class Successors:
    """Records the searches for a server that takes over."""

    def __init__(self, found_at=None):
        self._found_at = found_at
        self.searched_at = []

    def take_over(self):
        now = trio.current_time()
        self.searched_at.append(now)
        return self._found_at is not None and now >= self._found_at


async def _watch(successors, script, mock_clock):
    mock_clock.autojump_threshold = 0
    watch = silence.SilenceWatch(
        TIMEOUT_S, GAP_TIMEOUT_S, successors.take_over
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch.run, nursery.cancel_scope)
        await script(watch)
        nursery.cancel_scope.cancel()
    return watch


async def test_silence_ends_nothing_without_a_successor(mock_clock):
    successors = Successors()

    async def script(watch):
        await trio.sleep(60)

    watch = await _watch(successors, script, mock_clock)
    assert not watch.expired
    assert successors.searched_at[0] == pytest.approx(TIMEOUT_S)
    assert len(successors.searched_at) > 100


async def test_silence_ends_once_a_successor_is_found(mock_clock):
    successors = Successors(found_at=3.0)

    async def script(watch):
        await trio.sleep(60)

    watch = await _watch(successors, script, mock_clock)
    assert watch.expired
    assert trio.current_time() == pytest.approx(
        3.0, abs=silence.RECHECK_INTERVAL_S
    )


async def test_progress_restarts_the_timeout(mock_clock):
    successors = Successors(found_at=0.0)

    async def script(watch):
        for _ in range(20):
            await trio.sleep(0.9 * GAP_TIMEOUT_S)
            watch.restart()
        await trio.sleep(60)

    watch = await _watch(successors, script, mock_clock)
    assert watch.expired
    assert successors.searched_at == [pytest.approx(19 * GAP_TIMEOUT_S)]


async def test_time_in_which_nobody_waits_does_not_count(mock_clock):
    successors = Successors(found_at=0.0)

    async def script(watch):
        await trio.sleep(0.1)
        watch.pause()
        await trio.sleep(10)
        assert not watch.expired
        watch.restart()
        await trio.sleep(60)

    await _watch(successors, script, mock_clock)
    assert successors.searched_at == [pytest.approx(10.1 + GAP_TIMEOUT_S)]


async def test_a_process_that_was_held_up_reads_before_it_leaves(mock_clock):
    """After a pause of the process, the answer may wait in the socket."""
    successors = Successors(found_at=0.0)

    async def script(watch):
        await trio.testing.wait_all_tasks_blocked()
        mock_clock.jump(5.0)
        # The answer is read now.
        await trio.sleep(0.05)
        assert not watch.expired
        watch.restart()

    watch = await _watch(successors, script, mock_clock)
    assert not watch.expired
    assert successors.searched_at == []
