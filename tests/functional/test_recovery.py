"""Recovery after the loss of all hosts or of the key-value service."""

import trio

from corianderloft._internal.cli import exit_codes
from tests.lib import calls
from tests.lib import processes
from tests.lib import system as systems

HOST_COUNT = 4


async def test_all_hosts_killed_at_once_serve_again_when_restarted() -> None:
    async with systems.running(HOST_COUNT, 1) as system:
        booked = await system.book('host-1', 'before', 'k-before')
        assert booked.status == 200
        for host in system.hosts.values():
            host.kill()
        async with trio.open_nursery() as nursery:
            for host_id in list(system.hosts):
                nursery.start_soon(system.add_host, host_id)
        for host_id in system.hosts:
            await system.wait_serving(host_id)
        again = await system.book('host-2', 'before', 'k-before')
        assert again.content == booked.content
        assert await system.run_count('before') == 1


async def test_changes_are_accepted_after_a_store_outage() -> None:
    async with systems.running(2, 1) as system:
        await calls.set_faults(system.kv.port, outage='silent')
        renamed = system.edited_declarations({'groom-answer': 'gate-answer'})
        refused = await system.apply(renamed)
        assert refused.code is not exit_codes.ExitCode.OK
        for host_id in system.hosts:
            assert (await system.chat(host_id)).status == 200
        await calls.set_faults(system.kv.port, outage='none')
        applied = await system.apply(renamed)
        assert applied.code is exit_codes.ExitCode.OK, applied

        async def in_force() -> bool:
            replies = [
                await system.chat(host_id, class_name='gate-answer')
                for host_id in system.hosts
            ]
            return all(reply.status == 200 for reply in replies)

        await processes.wait_for(in_force, 'the change is in force')
