"""Pool of connections to backend servers or entry hosts.

Each connection carries one request at a time and is reused only after the
complete response has been read.
"""

import collections
import ssl
import typing

import httpcore
import trio

from corianderloft._internal.network import streams
from corianderloft._internal.settings import backends as backend_settings

USE_RETENTION_S = 3600.0
"""How long the last use of a peer is remembered."""

Address = tuple[str, int]


class Peer(typing.Protocol):
    """Address that a connection is made to."""

    @property
    def address(self) -> str:
        """IP address."""

    @property
    def port(self) -> int:
        """TCP port."""


class Connection:
    """One connection to a peer.

    Attributes
    ----------
    http : AsyncHTTPConnection
        HTTP connection.
    network : Network
        Holds the socket of the connection.
    idle_since : float
        When the last response ended, on trio's clock.
    """

    __slots__ = ('http', 'idle_since', 'network')

    def __init__(
        self,
        peer: Peer,
        tls: ssl.SSLContext | None,
        receive_buffer: int = 0,
    ) -> None:
        self.idle_since = 0.0
        origin = httpcore.Origin(
            b'http' if tls is None else b'https',
            peer.address.encode('ascii'),
            peer.port,
        )
        self.http = streams.HttpConnection(origin, ssl_context=tls)
        self.network = self.http.network
        self.network.receive_buffer = receive_buffer

    def set_read_hook(self, hook: streams.Hook | None) -> None:
        """Set the hook that is awaited before each read of the socket."""
        if self.network.stream is not None:
            self.network.stream.before_read = hook


class Connections:
    """Idle connections of this process, by peer.

    Parameters
    ----------
    settings : BackendSettings
        Limits on the number and idle time of connections.
    tls : SSLContext or None
        Enables TLS.
    small_buffers : bool
        Whether the kernel's receive buffers are small, as they count as memory
        of the process.
    """

    def __init__(
        self,
        settings: backend_settings.BackendSettings,
        tls: ssl.SSLContext | None = None,
        small_buffers: bool = False,
    ) -> None:
        self._receive_buffer = 0
        if small_buffers:
            self._receive_buffer = streams.SMALL_HOST_RECEIVE_BUFFER
        self._settings = settings
        self._tls = tls
        self._last_used: dict[Address, float] = {}
        self._idle: dict[Address, collections.deque[Connection]] = {}

    @property
    def scheme(self) -> bytes:
        """URL scheme of requests on these connections."""
        return b'http' if self._tls is None else b'https'

    async def acquire(self, peer: Peer, idempotent: bool = True) -> Connection:
        """Return the most recently used idle connection, or a new one.

        Parameters
        ----------
        peer : Peer
            Destination of the request.
        idempotent : bool
            Whether the request may be repeated. If not, only a connection
            that was used a moment ago is reused.
        """
        idle_time = self._settings.idle_time
        max_idle = idle_time if idempotent else self._settings.live_time
        address = (peer.address, peer.port)
        idle = self._idle.get(address)
        now = trio.current_time()
        while idle and now - idle[-1].idle_since <= max_idle:
            connection = idle.pop()
            if not connection.http.has_expired():
                return connection
            await connection.http.aclose()
        return Connection(peer, self._tls, self._receive_buffer)

    async def release(self, peer: Peer, connection: Connection) -> None:
        """Keep a connection after a complete response, otherwise close it."""
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
        """Record that a caller's request is sent to a peer."""
        self._last_used[peer.address, peer.port] = trio.current_time()

    def used_within(self, peer: Peer, seconds: float) -> bool:
        """Return whether a caller's request was sent to a peer recently."""
        last_used = self._last_used.get((peer.address, peer.port))
        return (
            last_used is not None
            and trio.current_time() - last_used <= seconds
        )

    async def close_expired(self) -> None:
        """Close connections that have been idle for too long."""
        now = trio.current_time()
        self._last_used = {
            address: last_used
            for address, last_used in self._last_used.items()
            if now - last_used <= USE_RETENTION_S
        }
        idle_since_limit = trio.current_time() - self._settings.idle_time
        for address, idle in list(self._idle.items()):
            while idle and idle[0].idle_since < idle_since_limit:
                await idle.popleft().http.aclose()
            if not idle:
                self._idle.pop(address, None)

    async def close(self) -> None:
        """Close all idle connections."""
        for idle in list(self._idle.values()):
            while idle:
                await idle.popleft().http.aclose()
