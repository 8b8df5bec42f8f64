"""Connections that show whether a server outlived a response."""

import dataclasses

import trio

from corianderloft._internal.gateway import life_watch
from corianderloft._internal.network import engine_connection
from corianderloft._internal.network import engine_pool
from tests.lib import processes


@dataclasses.dataclass
class Instance:
    """Address of a server."""

    address: str
    port: int


class Server:
    """Accepts connections and closes them when told, or when idle."""

    def __init__(self, idle_s=None):
        self.key = ('s', 1)
        self.idle_s = idle_s
        self.accepted = []
        self.instance = None

    async def serve(self, task_status):
        """Accept connections until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = listeners[0].socket.getsockname()[1]
        self.instance = Instance('127.0.0.1', port)
        task_status.started()
        await trio.serve_listeners(self._hold, listeners)

    async def _hold(self, stream):
        self.accepted.append(stream)
        await trio.sleep(self.idle_s or 3600)
        stream.socket.close()

    def close_all(self):
        """Close all connections, and go on."""
        for stream in self.accepted:
            stream.socket.close()


async def test_responses_at_the_same_time_share_one_connection(nursery):
    server, pool = Server(), engine_pool.EnginePool()
    await nursery.start(server.serve)
    async with life_watch.watching(pool, server) as first:
        assert not await first.server_has_ended()
        async with life_watch.watching(pool, server) as second:
            assert not await second.server_has_ended()
            server.close_all()
            assert await second.server_has_ended()
        assert await first.server_has_ended()
    assert len(server.accepted) == 1
    assert pool.acquire(server.key, True) is None


async def test_the_connection_is_kept_for_requests(nursery):
    server, pool = Server(), engine_pool.EnginePool()
    await nursery.start(server.serve)
    async with life_watch.watching(pool, server) as watch:
        assert not await watch.server_has_ended()
        assert pool.acquire(server.key, True) is None
    assert pool.acquire(server.key, True) is not None


async def test_a_connection_that_ends_of_age_shows_no_end(
    nursery, monkeypatch
):
    monkeypatch.setattr(engine_pool, 'MAX_IDLE_S', 0.2)
    server, pool = Server(idle_s=0.4), engine_pool.EnginePool()
    await nursery.start(server.serve)
    async with life_watch.watching(pool, server) as watch:
        await trio.sleep(1.0)
        assert not await watch.server_has_ended()
        assert len(server.accepted) > 2


async def test_another_process_at_the_address_is_not_the_server(nursery):
    server, pool = Server(), engine_pool.EnginePool()
    await nursery.start(server.serve)
    async with life_watch.watching(pool, server) as watch:
        while not server.accepted:
            await trio.sleep(0.001)
        server.close_all()
        assert await watch.server_has_ended()


async def test_a_connection_that_was_not_needed_is_kept_for_requests(nursery):
    server, pool = Server(), engine_pool.EnginePool()
    await nursery.start(server.serve)
    async with life_watch.watching(pool, server):
        while not server.accepted:
            await trio.sleep(0.001)
    assert pool.acquire(server.key, True) is not None
    assert len(server.accepted) == 1


async def test_an_end_while_the_connection_is_tested_is_noticed(
    nursery, monkeypatch
):
    # The end came just when the time had passed in which a server closes
    # connections over its limit. The next connection reached the process that
    # had taken its place, and the response counted as complete.
    server, pool = Server(), engine_pool.EnginePool()
    await nursery.start(server.serve)
    closes_within = engine_connection.EngineConnection.closes_within
    ended = []

    async def closes_afterwards(conn, seconds):
        result = await closes_within(conn, seconds)
        if not ended:
            ended.append(conn)
            server.close_all()
            await processes.wait_for(lambda: not conn.is_open(), 'it ends')
        return result

    monkeypatch.setattr(
        engine_connection.EngineConnection, 'closes_within', closes_afterwards
    )
    async with life_watch.watching(pool, server) as watch:
        await processes.wait_for(lambda: ended, 'it was tested')
        assert await watch.server_has_ended()
