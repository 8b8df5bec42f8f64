"""Tells whether a server outlived a response without a length.

The operating system closes all connections of a process that ends, and
another process may listen at its address at once. A second connection that
was open before the response ended, and still is afterwards, shows that the
process that sent it goes on.
"""

import collections.abc
import contextlib

import trio

from corianderloft._internal.network import engine_connection
from corianderloft._internal.network import engine_pool
from corianderloft._internal.placement import engines

CONNECT_TIMEOUT_S = 0.5
"""Timeout for connecting to a backend server."""


class LifeWatch:
    """Watches one server during one response.

    Parameters
    ----------
    pool : EnginePool
        Connections to backend servers.
    engine : Engine
        The server.
    """

    def __init__(
        self, pool: engine_pool.EnginePool, engine: engines.Engine
    ) -> None:
        self._pool = pool
        self._engine = engine
        self._witness = pool.hold_witness(engine.key)
        self._has_tried = trio.Event()
        self._replaced = False

    async def run(self) -> None:
        """Keep a second connection to the server open until cancelled.

        A server closes idle connections, so a new one takes the place of the
        old one in time, while both are open.
        """
        if self._witness is None:
            self._witness = await self._open()
        self._has_tried.set()
        while self._witness is not None:
            await trio.sleep(self._witness.time_left())
            successor = await self._open()
            if successor is None or not self._witness.is_open():
                self._release(successor)
                return
            self._release(self._witness)
            self._witness = successor

    async def server_has_ended(self) -> bool:
        """Return whether the server may have ended with its response."""
        settled_at = trio.current_time() + engine_connection.END_SETTLING_S
        await self._has_tried.wait()
        await trio.sleep_until(settled_at)
        if self._replaced:
            return True
        if self._witness is None:
            return await self._refuses_connections()
        if self._witness.is_open():
            return False
        # An idle connection may also end because of its age.
        if self._witness.time_left() > 0:
            return True
        return await self._refuses_connections()

    def close(self) -> None:
        """Keep the second connection for requests."""
        witness, self._witness = self._witness, None
        self._release(witness)

    async def _refuses_connections(self) -> bool:
        """Return whether nothing listens at the server's address."""
        self._pool.opened += 1
        instance = self._engine.instance
        conn = await engine_connection.connect_unless_ended(
            instance.address, instance.port, CONNECT_TIMEOUT_S
        )
        if isinstance(conn, engine_connection.EngineConnection):
            self._pool.add(self._engine.key, conn)
        if conn is not None or not self._pool.has_open(self._engine.key):
            return conn is None
        # The ends of idle connections may be on their way.
        await trio.sleep(engine_connection.END_SETTLING_S)
        return not self._pool.has_open(self._engine.key)

    async def _open(self) -> engine_pool.Witness | None:
        """Open a connection that stays open, if the server allows one."""
        self._pool.opened += 1
        instance = self._engine.instance
        peer = instance.address, instance.port, CONNECT_TIMEOUT_S
        conn = await engine_connection.connect(*peer)
        if isinstance(conn, engine_connection.ConnectionFailure):
            self._replaced = conn.kind is engine_connection.FailureKind.REFUSED
            return None
        try:
            stayed = not await conn.closes_within(
                engine_connection.END_SETTLING_S
            )
            # A connection over a limit of the server is closed before.
            self._replaced = (
                not conn.is_open()
                if stayed
                else await engine_connection.has_ended_since(conn, *peer)
            )
        except trio.Cancelled:
            # The response has ended before the connection was needed.
            self._pool.add(self._engine.key, conn)
            raise
        if conn.is_open():
            return self._pool.add_witness(self._engine.key, conn)
        conn.close()
        return None

    def _release(self, witness: engine_pool.Witness | None) -> None:
        if witness is not None:
            self._pool.release_witness(self._engine.key, witness)


@contextlib.asynccontextmanager
async def watching(
    pool: engine_pool.EnginePool, engine: engines.Engine
) -> collections.abc.AsyncIterator[LifeWatch]:
    """Watch a server while a response without a length arrives."""
    watch = LifeWatch(pool, engine)
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch.run)
            yield watch
            nursery.cancel_scope.cancel()
    finally:
        watch.close()
