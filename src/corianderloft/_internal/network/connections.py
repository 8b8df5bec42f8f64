"""Kept connections, to backend servers or to entry hosts.

Each connection carries one request at a time and is kept only when the
whole answer to it was read.
"""

import collections
import ssl
import typing

import httpcore
import trio

from corianderloft._internal.network import streams
from corianderloft._internal.settings import backends as backend_settings

USE_KEPT_TIME = 3600.0
"""Time that the last use of a peer is remembered, in seconds."""

Address = tuple[str, int]


class Peer(typing.Protocol):
    """Where a connection goes: an IP number and a TCP port."""

    @property
    def address(self) -> str:
        """IP number."""

    @property
    def port(self) -> int:
        """TCP port."""


class Connection:
    """One connection to a peer.

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

    def __init__(self, peer: Peer, tls: ssl.SSLContext | None) -> None:
        self.network = streams.Network()
        self.idle_since = 0.0
        origin = httpcore.Origin(
            b'http' if tls is None else b'https',
            peer.address.encode('ascii'),
            peer.port,
        )
        self.http = httpcore.AsyncHTTPConnection(
            origin, ssl_context=tls, network_backend=self.network
        )

    def set_read_hook(self, hook: streams.Hook | None) -> None:
        """Await ``hook`` before each further read."""
        if self.network.stream is not None:
            self.network.stream.before_read = hook


class Connections:
    """Idle connections of this host, by peer.

    Parameters
    ----------
    settings : BackendSettings
        Bounds on their number and age.
    tls : SSLContext or None
        Speaks TLS when given.
    """

    def __init__(
        self,
        settings: backend_settings.BackendSettings,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._settings = settings
        self._tls = tls
        self._used: dict[Address, float] = {}
        self._idle: dict[Address, collections.deque[Connection]] = {}

    @property
    def scheme(self) -> bytes:
        """Scheme of the URLs that the connections serve."""
        return b'http' if self._tls is None else b'https'

    async def acquire(self, peer: Peer, idempotent: bool = True) -> Connection:
        """Return the connection used last, or a new one.

        Parameters
        ----------
        peer : Peer
            Where the request goes.
        idempotent : bool
            Without it, only a connection known to be live is used again.
        """
        kept = self._settings.idle_time
        usable = kept if idempotent else self._settings.live_time
        address = (peer.address, peer.port)
        idle = self._idle.get(address)
        now = trio.current_time()
        while idle and now - idle[-1].idle_since <= usable:
            connection = idle.pop()
            if not connection.http.has_expired():
                return connection
            await connection.http.aclose()
        return Connection(peer, self._tls)

    async def release(self, peer: Peer, connection: Connection) -> None:
        """Keep a connection whose answer was read whole; close any other."""
        connection.set_read_hook(None)
        if not connection.http.is_idle() or connection.http.is_closed():
            await connection.http.aclose()
            return
        connection.idle_since = trio.current_time()
        idle = self._idle.setdefault(
            (peer.address, peer.port), collections.deque()
        )
        idle.append(connection)
        if len(idle) > self._settings.idle_connections:
            await idle.popleft().http.aclose()

    def record_use(self, peer: Peer) -> None:
        """Note that a caller's request goes to a peer."""
        self._used[peer.address, peer.port] = trio.current_time()

    def used_within(self, peer: Peer, seconds: float) -> bool:
        """Return whether a caller's request went there recently."""
        used = self._used.get((peer.address, peer.port))
        return used is not None and trio.current_time() - used <= seconds

    async def close_expired(self) -> None:
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
