"""Kept connections to backend servers.

Each connection carries one request at a time and is kept only when the
whole answer to it was read.
"""

import collections

import httpcore
import trio

from corianderloft._internal.models import backends
from corianderloft._internal.network import streams
from corianderloft._internal.settings import backends as backend_settings

USE_KEPT_TIME = 3600.0
"""Time that the last use of a backend server is remembered, in seconds."""

Address = tuple[str, int]


class Connection:
    """One connection to a backend server.

    Attributes
    ----------
    http : AsyncHTTPConnection
        Speaks HTTP on it.
    network : Network
        Holds its socket.
    idle_since : float
        When its last answer ended, on trio's clock.
    """

    __slots__ = ('http', 'idle_since', 'network')

    def __init__(self, backend: backends.Backend) -> None:
        self.network = streams.Network()
        self.idle_since = 0.0
        origin = httpcore.Origin(
            b'http', backend.address.encode('ascii'), backend.port
        )
        self.http = httpcore.AsyncHTTPConnection(
            origin, network_backend=self.network
        )

    def hook(self, hook: streams.Hook | None) -> None:
        """Await ``hook`` before each further read."""
        if self.network.stream is not None:
            self.network.stream.before_read = hook


class Connections:
    """Idle connections of this host, by backend server.

    Parameters
    ----------
    settings : BackendSettings
        Bounds on their number and age.
    """

    def __init__(self, settings: backend_settings.BackendSettings) -> None:
        self._settings = settings
        self._used: dict[Address, float] = {}
        self._idle: dict[Address, collections.deque[Connection]] = {}

    async def take(
        self, backend: backends.Backend, idempotent: bool = True
    ) -> Connection:
        """Return the connection used last, or a new one.

        Parameters
        ----------
        backend : Backend
            Where the request goes.
        idempotent : bool
            Without it, only a connection known to be live is used again.
        """
        kept = self._settings.idle_time
        usable = kept if idempotent else self._settings.live_time
        address = (backend.address, backend.port)
        idle = self._idle.get(address)
        now = trio.current_time()
        while idle and now - idle[-1].idle_since <= usable:
            connection = idle.pop()
            if not connection.http.has_expired():
                return connection
            await connection.http.aclose()
        return Connection(backend)

    async def give_back(
        self, backend: backends.Backend, connection: Connection
    ) -> None:
        """Keep a connection whose answer was read whole; close any other."""
        connection.hook(None)
        if not connection.http.is_idle() or connection.http.is_closed():
            await connection.http.aclose()
            return
        connection.idle_since = trio.current_time()
        idle = self._idle.setdefault(
            (backend.address, backend.port), collections.deque()
        )
        idle.append(connection)
        if len(idle) > self._settings.idle_connections:
            await idle.popleft().http.aclose()

    def note_use(self, backend: backends.Backend) -> None:
        """Note that a caller's request goes to a backend server."""
        self._used[backend.address, backend.port] = trio.current_time()

    def used_within(self, backend: backends.Backend, seconds: float) -> bool:
        """Return whether a caller's request went there recently."""
        used = self._used.get((backend.address, backend.port))
        return used is not None and trio.current_time() - used <= seconds

    async def close_old(self) -> None:
        """Close connections that were idle for too long."""
        now = trio.current_time()
        self._used = {
            address: used
            for address, used in self._used.items()
            if now - used <= USE_KEPT_TIME
        }
        oldest = trio.current_time() - self._settings.idle_time
        for address, idle in list(self._idle.items()):
            while idle and idle[0].idle_since < oldest:
                await idle.popleft().http.aclose()
            if not idle:
                self._idle.pop(address, None)

    async def close(self) -> None:
        """Close all idle connections."""
        for idle in list(self._idle.values()):
            while idle:
                await idle.popleft().http.aclose()
