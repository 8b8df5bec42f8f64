"""Entry hosts that die, freeze, or start while the platform is down."""

import orjson
import trio

from corianderloft._internal.cli import exit_codes
from tests.lib import calls
from tests.lib import processes
from tests.lib import system as whole

STALE_AFTER = 2.0  # s


async def test_a_killed_host_leaves_the_address_answers() -> None:
    async with whole.running(3, 1) as system:

        async def addresses() -> set[int]:
            return await system.addresses('host-2')

        ports = {system.port(host_id) for host_id in system.hosts}
        await processes.wait_for(
            lambda: _equal(addresses, ports), 'all hosts are named'
        )
        system.hosts['host-1'].kill()
        rest = ports - {system.port('host-1')}
        await processes.wait_for(
            lambda: _equal(addresses, rest), 'the killed host is gone'
        )


async def _equal(read: processes.Condition, wanted: object) -> bool:
    return bool(await read() == wanted)


async def test_a_host_without_the_service_learns_from_its_peers() -> None:
    async with whole.running(2, 1) as system:
        await calls.set_faults(system.kv.port, outage='refuse')
        seeds = [
            f"{whole.ADDRESS}:{host.announced['peer_port']}"
            for host in system.hosts.values()
        ]
        await system.add_host('host-3', listed=False, peers={'seeds': seeds})
        await system.served('host-3')


async def test_a_host_that_reaches_nobody_refuses_new_work() -> None:
    cut_off = {'stale_after_s': STALE_AFTER}
    async with whole.running(2, 1, configuration=cut_off) as system:
        await calls.set_faults(system.kv.port, outage='silent')
        assert (await system.chat('host-1')).status == 200
        system.hosts['host-2'].stop()

        async def refused() -> bool:
            reply = await system.chat('host-1')
            if reply.status == 200:
                return False
            error = orjson.loads(reply.content)['error']
            assert error['reason'] == 'stale_configuration', error
            assert error['run'] == 'not_run'
            return True

        await processes.wait_for(refused, 'new work is refused')
        await calls.set_faults(system.kv.port, outage='none')
        await system.served('host-1')


async def test_a_frozen_host_never_serves_an_old_configuration() -> None:
    async with whole.running(
        2, 1, configuration={'stale_after_s': STALE_AFTER}
    ) as system:
        frozen = system.hosts['host-2']
        frozen.stop()
        renamed = system.edited({'groom-answer': 'gate-answer'})
        applied = await system.apply(renamed)
        assert applied.code is exit_codes.ExitCode.OK, applied
        await trio.sleep(STALE_AFTER)
        statuses: list[int] = []

        async def ask() -> None:
            statuses.append((await system.chat('host-2')).status)

        async with trio.open_nursery() as nursery:
            for _ in range(8):
                nursery.start_soon(ask)
            await trio.sleep(0.2)
            frozen.resume()
        assert 200 not in statuses

        async def in_force() -> bool:
            reply = await system.chat('host-2', class_name='gate-answer')
            return reply.status == 200

        await processes.wait_for(in_force, 'the new configuration is there')
