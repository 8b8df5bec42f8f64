"""Engines that die, freeze or leave while they stream."""

import collections.abc

import trio

from tests.lib import calls
from tests.lib import processes
from tests.lib import streams
from tests.lib import system as whole

STREAMS = 12
TOKENS = 80
QUICK_SILENCE = {'silent_gaps': 10.0, 'silent_floor': 0.5}
Fault = collections.abc.Callable[[processes.Process], None]


async def _answers_stay_whole(fault: Fault) -> None:
    """Bring about ``fault`` on one of two engines that both stream."""
    async with whole.running(1, 2, backends=QUICK_SILENCE) as system:
        contents = [f'question {n} [tokens:{TOKENS}]' for n in range(STREAMS)]
        wanted = await streams.expected_all(system, 'engine-2', contents)

        async def strike() -> None:
            port = system.backends['engine-1'].port

            async def streaming() -> bool:
                report = await calls.get(port, '/control/counts')
                return bool(report['tokens_delivered'] > STREAMS)

            await processes.wait_for(streaming, 'engine-1 streams')
            fault(system.backends['engine-1'])

        answers: list[streams.Streamed] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(strike)
            answers += await streams.stream_all(system, 'host-1', contents)
    assert [answer.text for answer in answers] == wanted
    assert all(answer.done for answer in answers)
    counts = tuple(range(1, TOKENS + 1))
    assert [a.counts for a in answers] == [counts] * STREAMS


async def test_a_killed_engine_cuts_no_answer() -> None:
    await _answers_stay_whole(processes.Process.kill)


async def test_a_frozen_engine_cuts_no_answer() -> None:
    await _answers_stay_whole(processes.Process.stop)


async def test_a_leaving_engine_gets_no_new_work_and_keeps_streams() -> None:
    async with whole.running(2, 2) as system:
        port = system.backends['engine-1'].port
        answers: list[streams.Streamed] = []

        async def stream() -> None:
            contents = [f'question {n} [tokens:200]' for n in range(8)]
            answers.extend(
                await streams.stream_all(system, 'host-1', contents)
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stream)
            await processes.wait_for(system.running_on_engines, 'it streams')
            await system.list_backend(
                'engine-1', whole.MODEL_SERVICE, 'ravi-cloud', 'leaving'
            )
            await trio.sleep(3)
            before = await calls.get(port, '/control/counts')
            for host_id in system.hosts:
                await streams.stream_all(
                    system, host_id, ['new [tokens:3]'] * 12
                )
        after = await calls.get(port, '/control/counts')
    assert after['requests'] == before['requests']
    assert all(answer.done for answer in answers)
