"""Hosts of two systems on one network stay apart."""

from tests.lib import processes
from tests.lib import system as whole

THROWN_AWAY = 'corianderloft_peer_messages_thrown_away'


async def test_a_host_of_another_system_does_not_join() -> None:
    async with whole.running(1, 1) as one, whole.running(1, 1) as other:
        # The other host took over an address and port that the list names.
        one.hosts['host-2'] = other.hosts['host-1']
        await one.list_host('host-2', whole.FAILURE_DOMAINS[1])

        async def thrown_away() -> bool:
            return THROWN_AWAY in await other.metrics('host-1')

        await processes.wait_for(thrown_away, 'the hosts hear each other')
        assert await one.addresses('host-1') == {one.port('host-1')}
        assert await other.addresses('host-1') == {other.port('host-1')}
