"""An edit of one service template swaps the supplier under load."""

import trio

from corianderloft._internal.cli import exit_codes
from tests.lib import calls
from tests.lib import processes
from tests.lib import streams
from tests.lib import system as systems

WEIGHT_THREE = 'supplier: ravi-cloud, model: rug-8b-v3, weight: 3'
WEIGHT_ZERO = 'supplier: ravi-cloud, model: rug-8b-v3, weight: 0'
QUESTION = 'question [tokens:20]'
APPLY_TIME_S = 2.0


async def test_supplier_swap_under_load_fails_no_request() -> None:
    async with systems.running(2, 1) as system:
        await system.add_engine('engine-2', supplier='chenab-gpu')
        directory = system.edited_declarations({WEIGHT_THREE: WEIGHT_ZERO})
        answers: list[streams.StreamedAnswer] = []
        swapped = trio.Event()

        async def load(host_id: str) -> None:
            while not swapped.is_set():
                answers.extend(
                    await streams.stream_all(system, host_id, [QUESTION] * 4)
                )

        async def requests() -> int:
            port = system.backends['engine-1'].port
            return int((await calls.get(port, '/control/counts'))['requests'])

        async with trio.open_nursery() as nursery:
            for host_id in system.hosts:
                nursery.start_soon(load, host_id)
            applied = await system.apply(directory)
            assert applied.code is exit_codes.ExitCode.OK
            # The users' brief requires the change on all hosts within 8 s.
            await trio.sleep(APPLY_TIME_S)
            before = await requests()
            served = len(answers)
            await processes.wait_for(
                lambda: len(answers) > served + 16,
                'more requests are answered',
            )
            swapped.set()
        assert all(a.status == 200 and a.done for a in answers)
        expected_text = await streams.expected(system, 'engine-2', QUESTION)
        assert {a.text for a in answers} == {expected_text}
        assert before > 0
        assert await requests() == before
