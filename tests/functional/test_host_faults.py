"""Entry hosts that are killed, paused, isolated or started in an outage.

A host without fresh state must not be listed for callers, and must not serve
a configuration that may have been replaced.
"""

import orjson
import trio

from corianderloft._internal.cli import exit_codes
from tests.lib import calls
from tests.lib import processes
from tests.lib import system as systems

STALE_AFTER_S = 2.0


async def test_killed_host_is_removed_from_addresses() -> None:
    async with systems.running(3, 1) as system:

        async def addresses() -> set[int]:
            return await system.addresses('host-2')

        ports = {system.port(host_id) for host_id in system.hosts}
        await processes.wait_for(
            lambda: _returns(addresses, ports), 'all hosts are listed'
        )
        system.hosts['host-1'].kill()
        rest = ports - {system.port('host-1')}
        await processes.wait_for(
            lambda: _returns(addresses, rest), 'the killed host is removed'
        )


async def _returns(read: processes.Condition, expected: object) -> bool:
    return bool(await read() == expected)


async def test_host_without_the_store_gets_state_from_peers() -> None:
    async with systems.running(2, 1) as system:
        await calls.set_faults(system.kv.port, outage='refuse')
        seeds = [
            f"{systems.ADDRESS}:{host.announced['peer_port']}"
            for host in system.hosts.values()
        ]
        await system.add_host(
            'host-3', registered=False, peers={'seeds': seeds}
        )
        await system.wait_serving('host-3')


async def test_isolated_host_refuses_new_requests() -> None:
    stale_soon = {'stale_after_s': STALE_AFTER_S}
    async with systems.running(2, 1, configuration=stale_soon) as system:
        await calls.set_faults(system.kv.port, outage='silent')
        assert (await system.chat('host-1')).status == 200
        system.hosts['host-2'].pause()

        async def refused() -> bool:
            reply = await system.chat('host-1')
            if reply.status == 200:
                return False
            error = orjson.loads(reply.content)['error']
            assert error['reason'] == 'stale_configuration', error
            assert error['run'] == 'not_run'
            return True

        await processes.wait_for(refused, 'new requests are refused')
        await calls.set_faults(system.kv.port, outage='none')
        await system.wait_serving('host-1')


async def test_resumed_host_never_serves_an_old_configuration() -> None:
    async with systems.running(
        2, 1, configuration={'stale_after_s': STALE_AFTER_S}
    ) as system:
        frozen = system.hosts['host-2']
        frozen.pause()
        renamed = system.edited_declarations({'groom-answer': 'gate-answer'})
        applied = await system.apply(renamed)
        assert applied.code is exit_codes.ExitCode.OK, applied
        await trio.sleep(STALE_AFTER_S)
        statuses: list[int] = []

        async def send_request() -> None:
            statuses.append((await system.chat('host-2')).status)

        async with trio.open_nursery() as nursery:
            for _ in range(8):
                nursery.start_soon(send_request)
            await trio.sleep(0.2)
            frozen.resume()
        assert 200 not in statuses

        async def in_force() -> bool:
            reply = await system.chat('host-2', class_name='gate-answer')
            return reply.status == 200

        await processes.wait_for(in_force, 'the new configuration is in force')
