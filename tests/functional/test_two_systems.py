"""Hosts of two systems on one network do not form one cluster.

This could happen when a host takes over an address and port that the other
system still lists.
"""

import re

from tests.lib import processes
from tests.lib import system as systems

DISCARDED_MESSAGES = re.compile(
    r'corianderloft_peer_messages_thrown_away\{[^}]*\} [1-9]'
)


async def test_a_host_of_another_system_does_not_join() -> None:
    async with systems.running(1, 1) as one, systems.running(0, 1) as other:
        await other.add_host('host-9')
        # The other system lists the address and port of this host.
        one.hosts['host-9'] = other.hosts['host-9']
        await one.register_host('host-9', systems.FAILURE_DOMAINS[1])

        async def messages_arrived() -> bool:
            joined = len(await one.addresses('host-1')) > 1
            metrics = await other.metrics('host-9')
            return joined or DISCARDED_MESSAGES.search(metrics) is not None

        await processes.wait_for(
            messages_arrived, 'the hosts receive messages from each other'
        )
        assert await one.addresses('host-1') == {one.port('host-1')}
        assert await other.addresses('host-9') == {other.port('host-9')}
