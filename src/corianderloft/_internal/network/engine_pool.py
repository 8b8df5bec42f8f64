"""Idle connections to backend servers, kept for the next requests."""

import collections

import trio

from corianderloft._internal.models import ids
from corianderloft._internal.network import engine_connection

LONGEST_IDLE = 8.0
"""Idle time after which a connection is not used again, in seconds; backend
servers that name no limit of their own close later."""

SAFE_IDLE = 1.5
"""The same for a request that must not be sent twice, in seconds."""

Key = tuple[ids.EngineId, int]
"""A backend server and its start."""


class EnginePool:
    """Idle connections by backend server, newest first."""

    def __init__(self) -> None:
        self._idle: dict[
            Key, collections.deque[engine_connection.EngineConnection]
        ] = {}
        self.opened = 0

    def acquire(
        self, key: Key, repeatable: bool
    ) -> engine_connection.EngineConnection | None:
        """Return an idle connection that is still usable, or None."""
        idle = self._idle.get(key)
        now = trio.current_time()
        longest = LONGEST_IDLE if repeatable else SAFE_IDLE
        while idle:
            conn = idle[-1]
            if conn.usable(now, longest):
                return idle.pop()
            if conn.usable(now, LONGEST_IDLE):
                return None
            idle.pop().close()
        return None

    def release(
        self, key: Key, conn: engine_connection.EngineConnection
    ) -> None:
        """Keep a connection whose answer was read whole; close any other."""
        if conn.finish():
            self._idle.setdefault(key, collections.deque()).append(conn)
        else:
            conn.close()

    def drop(self, key: Key) -> None:
        """Close the idle connections to a backend server."""
        for conn in self._idle.pop(key, ()):
            conn.close()

    def close_expired(self) -> None:
        """Close connections that will not be used again."""
        now = trio.current_time()
        for key, idle in list(self._idle.items()):
            while idle and not idle[0].usable(now, LONGEST_IDLE):
                idle.popleft().close()
            if not idle:
                del self._idle[key]

    def close(self) -> None:
        """Close all idle connections."""
        for key in list(self._idle):
            self.drop(key)
