"""A supplier is swapped by an edit of one template, unseen by callers."""

import trio

from corianderloft._internal.cli import exit_codes
from tests.lib import calls
from tests.lib import processes
from tests.lib import streams
from tests.lib import system as whole

OWN_SUPPLIER = 'supplier: ravi-cloud, model: rug-8b-v3, weight: 3'
NO_NEW_WORK = 'supplier: ravi-cloud, model: rug-8b-v3, weight: 0'
QUESTION = 'question [tokens:20]'
IN_FORCE = 2.0  # s


async def test_a_supplier_is_swapped_unseen_under_load() -> None:
    async with whole.running(2, 1) as system:
        await system.add_engine('engine-2', supplier='chenab-gpu')
        directory = system.edited({OWN_SUPPLIER: NO_NEW_WORK})
        answers: list[streams.Streamed] = []
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
            # In force everywhere within seconds: the brief's bound is 8.
            await trio.sleep(IN_FORCE)
            before = await requests()
            served = len(answers)
            await processes.wait_for(
                lambda: len(answers) > served + 16, 'the load goes on'
            )
            swapped.set()
        assert all(a.status == 200 and a.done for a in answers)
        wanted = await streams.expected(system, 'engine-2', QUESTION)
        assert {a.text for a in answers} == {wanted}
        assert before > 0
        assert await requests() == before
