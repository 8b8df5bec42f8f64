"""Pool of idle connections to backend servers."""

import collections

import trio

from corianderloft._internal.models import ids
from corianderloft._internal.network import engine_connection

MAX_IDLE_S = 8.0
"""Idle time after which a connection is not reused. Backend servers that send
no ``Keep-Alive`` timeout close idle connections later than this."""

MAX_IDLE_NOT_REPEATABLE_S = 1.5
"""The same limit for a request that must not be sent twice."""

NO_LENGTH_MEMORY_S = 60.0
"""Time for which it is remembered that a server sent a response without a
length; it may send others."""

Key = tuple[ids.EngineId, int]
"""ID of a backend server and number of its start."""


class Witness:
    """An idle connection that shows by its end that of the server.

    Attributes
    ----------
    users : int
        Number of responses that rely on it.
    """

    def __init__(self, conn: engine_connection.EngineConnection) -> None:
        self.conn = conn
        self.users = 1

    def is_open(self) -> bool:
        """Return whether the server has not closed it."""
        return self.conn.is_open()

    def time_left(self) -> float:
        """Return how long the server keeps it open at least, in seconds."""
        return self.conn.idle_time_left(trio.current_time(), MAX_IDLE_S)


class EnginePool:
    """Idle connections by backend server; the newest is used first.

    Attributes
    ----------
    receive_buffer : int
        Size of the kernel's receive buffer of new connections in bytes; 0
        leaves it as it is.
    """

    def __init__(self) -> None:
        self.receive_buffer = 0
        self._witnesses: dict[Key, Witness] = {}
        self._without_length: dict[Key, float] = {}
        self._idle: dict[
            Key, collections.deque[engine_connection.EngineConnection]
        ] = {}
        self.opened = 0

    def acquire(
        self, key: Key, repeatable: bool
    ) -> engine_connection.EngineConnection | None:
        """Return an idle connection that can be reused, or None."""
        idle = self._idle.get(key)
        now = trio.current_time()
        max_idle = MAX_IDLE_S if repeatable else MAX_IDLE_NOT_REPEATABLE_S
        while idle:
            conn = idle[-1]
            if conn.usable(now, max_idle):
                return idle.pop()
            if conn.usable(now, MAX_IDLE_S):
                return None
            idle.pop().close()
        return None

    def release(
        self, key: Key, conn: engine_connection.EngineConnection
    ) -> None:
        """Keep a connection after a complete response, otherwise close it."""
        if conn.finish():
            self._idle.setdefault(key, collections.deque()).append(conn)
        else:
            conn.close()

    def add(self, key: Key, conn: engine_connection.EngineConnection) -> None:
        """Keep a connection that has carried no request yet."""
        conn.idle_since = trio.current_time()
        self._idle.setdefault(key, collections.deque()).append(conn)

    def has_open(self, key: Key) -> bool:
        """Return whether an idle connection to a server is still open."""
        now = trio.current_time()
        return any(
            conn.usable(now, MAX_IDLE_S) for conn in self._idle.get(key, ())
        )

    def record_no_length(self, key: Key) -> None:
        """Record that a server sent a response without a length."""
        self._without_length[key] = trio.current_time()

    def sends_without_length(self, key: Key) -> bool:
        """Return whether a server has sent such a response recently."""
        return key in self._without_length

    def hold_witness(self, key: Key) -> Witness | None:
        """Return a connection that is open and carries no request, if any.

        It is not used for requests until all its users have released it.
        """
        witness = self._witnesses.get(key)
        if witness is not None and witness.is_open():
            witness.users += 1
            return witness
        conn = self.acquire(key, True)
        return None if conn is None else self.add_witness(key, conn)

    def add_witness(
        self, key: Key, conn: engine_connection.EngineConnection
    ) -> Witness:
        """Hold a new connection as a witness."""
        if not conn.idle_since:
            conn.idle_since = trio.current_time()
        self._witnesses[key] = Witness(conn)
        return self._witnesses[key]

    def release_witness(self, key: Key, witness: Witness) -> None:
        """Return a witness after a response."""
        witness.users -= 1
        if witness.users:
            return
        if self._witnesses.get(key) is witness:
            del self._witnesses[key]
        if witness.conn.usable(trio.current_time(), MAX_IDLE_S):
            self._idle.setdefault(key, collections.deque()).append(
                witness.conn
            )
        else:
            witness.conn.close()

    def drop(self, key: Key) -> None:
        """Close the idle connections to a backend server."""
        for conn in self._idle.pop(key, ()):
            conn.close()

    def close_expired(self) -> None:
        """Close connections that can no longer be reused."""
        now = trio.current_time()
        self._without_length = {
            key: at
            for key, at in self._without_length.items()
            if now - at < NO_LENGTH_MEMORY_S
        }
        for key, idle in list(self._idle.items()):
            while idle and not idle[0].usable(now, MAX_IDLE_S):
                idle.popleft().close()
            if not idle:
                del self._idle[key]

    def close(self) -> None:
        """Close all idle connections."""
        for key in list(self._idle):
            self.drop(key)
