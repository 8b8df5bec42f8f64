"""Engines that are killed, stopped or drained while they stream.

Callers must not see a truncated or repeated answer: the host resumes the
stream on another engine.
"""

import collections.abc

import trio

from tests.lib import calls
from tests.lib import processes
from tests.lib import streams
from tests.lib import system as systems

STREAMS = 12
TOKENS = 80
SHORT_SILENCE_TIMEOUTS = {'silent_gaps': 10.0, 'silent_floor': 0.5}
Fault = collections.abc.Callable[[processes.Process], None]


async def _check_answers_complete(fault: Fault) -> None:
    """Inject ``fault`` into one of two engines while both stream."""
    async with systems.running(
        1, 2, backends=SHORT_SILENCE_TIMEOUTS
    ) as system:
        contents = [f'question {n} [tokens:{TOKENS}]' for n in range(STREAMS)]
        expected_texts = await streams.expected_all(
            system, 'engine-2', contents
        )

        async def inject() -> None:
            port = system.backends['engine-1'].port

            async def streaming() -> bool:
                report = await calls.get(port, '/control/counts')
                return bool(report['tokens_delivered'] > STREAMS)

            await processes.wait_for(streaming, 'engine-1 is streaming')
            fault(system.backends['engine-1'])

        answers: list[streams.StreamedAnswer] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(inject)
            answers += await streams.stream_all(system, 'host-1', contents)
    assert [answer.text for answer in answers] == expected_texts
    assert all(answer.done for answer in answers)
    counts = tuple(range(1, TOKENS + 1))
    assert [a.counts for a in answers] == [counts] * STREAMS


async def test_killed_engine_truncates_no_answer() -> None:
    await _check_answers_complete(processes.Process.kill)


async def test_paused_engine_truncates_no_answer() -> None:
    await _check_answers_complete(processes.Process.pause)


async def test_leaving_engine_finishes_streams_without_new_requests() -> None:
    async with systems.running(2, 2) as system:
        port = system.backends['engine-1'].port
        answers: list[streams.StreamedAnswer] = []

        async def stream() -> None:
            contents = [f'question {n} [tokens:200]' for n in range(8)]
            answers.extend(
                await streams.stream_all(system, 'host-1', contents)
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stream)
            await processes.wait_for(
                system.running_on_engines, 'an engine is streaming'
            )
            await system.register_backend(
                'engine-1', systems.MODEL_SERVICE, 'ravi-cloud', 'leaving'
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
