"""Hosts of two systems on one network stay apart."""

import re

from tests.lib import processes
from tests.lib import system as whole

THROWN_AWAY = re.compile(
    r'corianderloft_peer_messages_thrown_away\{[^}]*\} [1-9]'
)


async def test_a_host_of_another_system_does_not_join() -> None:
    async with whole.running(1, 1) as one, whole.running(0, 1) as other:
        await other.add_host('host-9')
        # The host took over an address and port that the other list names.
        one.hosts['host-9'] = other.hosts['host-9']
        await one.list_host('host-9', whole.FAILURE_DOMAINS[1])

        async def heard() -> bool:
            joined = len(await one.addresses('host-1')) > 1
            metrics = await other.metrics('host-9')
            return joined or THROWN_AWAY.search(metrics) is not None

        await processes.wait_for(heard, 'the hosts hear each other')
        assert await one.addresses('host-1') == {one.port('host-1')}
        assert await other.addresses('host-9') == {other.port('host-9')}
