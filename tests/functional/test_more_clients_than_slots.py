"""More clients than a gateway process takes connections, each of them sound.

Guards against a host that says ready and answers nobody on a new connection:
the clients in its queue of new connections have given up when their turn
comes. The number of connections is lowered by the limit on descriptors.
"""

import trio

from corianderloft._internal.gateway import host
from tests.lib import crowds
from tests.lib import processes

SLOTS = 16
CLIENTS = 4 * SLOTS
PATIENCE_S = 1.0  # shorter than a request to /slow/ takes
PAUSE_S = 0.3
WATCHED_S = 12.0
STABLE_S = 3.0
MEMORY_MB = {'gateway': 128}
LIMITS = crowds.Limits(
    MEMORY_MB, host.RESERVED_FILE_DESCRIPTORS + SLOTS, 2**20, 2**10
)


async def _client(target, taken, tried):
    """Open a connection for each request, give up, and come back."""
    while True:
        tried.append(trio.current_time())
        with trio.move_on_after(PATIENCE_S):
            async with await trio.open_tcp_stream(
                '127.0.0.1', target.port
            ) as stream:
                await stream.send_all(target.head('GET', '/slow/1'))
                if await stream.receive_some(4096):
                    taken.append(trio.current_time())
        await trio.sleep(PAUSE_S)


def test_new_connections_are_taken_while_clients_give_up(tmp_path):
    taken, tried = [], []

    async def run():
        async with crowds.running('gateway', tmp_path, LIMITS) as target:
            async with trio.open_nursery() as nursery:
                begin = trio.current_time()
                for _ in range(CLIENTS):
                    nursery.start_soon(_client, target, taken, tried)
                await trio.sleep(WATCHED_S)
                nursery.cancel_scope.cancel()
            assert not target.ended()
            await processes.wait_for(
                lambda: crowds.answers(target), 'an ordinary request'
            )
            return [begin, *taken, begin + WATCHED_S]

    times = trio.run(run)
    longest = max(b - a for a, b in zip(times, times[1:]))
    assert len(tried) > CLIENTS
    assert longest < STABLE_S, f'no connection was taken for {longest:.1f} s'
