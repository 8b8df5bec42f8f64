"""Sockets of httpcore's connections."""

import collections.abc
import errno
import os
import socket
import ssl
import typing

import httpcore
import trio

from corianderloft._internal.network import connection_stats
from corianderloft._internal.network import turns

SocketOption = typing.Any

MAX_BYTES_BEFORE_RESPONSE = 2**18
"""Largest number of bytes read before the head of a response. httpcore
limits each head to 100 KiB, but not the number of informational responses."""

MAX_RECEIVE_BYTES = 16384
"""Bytes read at once; a stream whose caller does not read holds several copies
of them."""

SMALL_HOST_RECEIVE_BUFFER = 8192
"""Receive buffer of connections on a host that states its memory. The kernel
doubles it."""

_CONNECTION_ERRORS = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)

Hook = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class Stream(httpcore.AsyncNetworkStream):
    """TCP connection to a backend server.

    There is one read for each token of a response, so reads take the
    shortest path through trio.

    Attributes
    ----------
    before_read : Hook or None
        Awaited before each read, when all received data has been parsed and
        the read may block.
    awaits_response : bool
        Whether the head of the response to a request has not arrived.
    """

    def __init__(
        self, stream: trio.SocketStream, connection_turns: turns.Turns
    ) -> None:
        self._stream = stream
        self._turns = connection_turns
        self._tls: trio.SSLStream[trio.SocketStream] | None = None
        self._fileno = stream.socket.fileno()
        self._write_failed = False
        self._bytes_before_response = 0
        self.before_read: Hook | None = None
        self.awaits_response = False

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        """Return received data; wait if there is none.

        Raises
        ------
        httpcore.ReadError
            If the connection failed.
        """
        if self._bytes_before_response > MAX_BYTES_BEFORE_RESPONSE:
            raise httpcore.ReadError('too many bytes before the response')
        data = await self._read(max_bytes)
        if self.awaits_response:
            self._bytes_before_response += len(data)
        if not data and self._write_failed:
            # httpcore reads the response although the request could not be
            # sent. That has consumed the error of the socket, so the
            # connection seems to have ended in order.
            raise httpcore.ReadError('the request could not be sent')
        return data

    async def _read(self, max_bytes: int) -> bytes:
        self._turns.received()
        max_bytes = min(max_bytes, MAX_RECEIVE_BYTES)
        if self.before_read is not None:
            await self.before_read()
        try:
            if self._tls is not None:
                return bytes(await self._tls.receive_some(max_bytes))
            # Trying to read before waiting would cost a system call and an
            # exception for each token.
            await trio.lowlevel.wait_readable(self._fileno)
            if self._stream.socket.fileno() != self._fileno:
                raise httpcore.ReadError(
                    'the connection was closed during a read'
                )
            return os.read(self._fileno, max_bytes)
        except _CONNECTION_ERRORS as exc:
            raise httpcore.ReadError(str(exc)) from exc

    def note_response(self) -> None:
        """Record that the head of a response has arrived."""
        self.awaits_response = False
        self._bytes_before_response = 0

    def was_reset(self) -> bool:
        """Return whether the peer has reset the connection."""
        return was_reset(self._stream.socket)

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send all of ``buffer``.

        Raises
        ------
        httpcore.WriteError
            If the connection failed.
        """
        self.awaits_response = True
        try:
            await (self._tls or self._stream).send_all(buffer)
        except _CONNECTION_ERRORS as exc:
            self._write_failed = True
            raise httpcore.WriteError(str(exc)) from exc

    async def aclose(self) -> None:
        """Close the connection."""
        await (self._tls or self._stream).aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Start TLS on the connection.

        Raises
        ------
        httpcore.ConnectError
            If the handshake fails or the peer cannot be authenticated.
        """
        self._tls = trio.SSLStream(
            self._stream,
            ssl_context,
            server_hostname=server_hostname,
            https_compatible=True,
        )
        timeout_s = float('inf') if timeout is None else timeout
        try:
            with trio.fail_after(timeout_s):
                await self._tls.do_handshake()
        except (*_CONNECTION_ERRORS, trio.TooSlowError) as exc:
            await trio.aclose_forcefully(self._stream)
            raise httpcore.ConnectError(f'TLS: {exc!r}') from exc
        return self

    def get_extra_info(self, info: str) -> typing.Any:
        """Return the information that httpcore requests, or None."""
        if info == 'is_readable':
            return self._stream.socket.is_readable()
        if info == 'socket':
            return self._stream.socket
        if info == 'ssl_object' and self._tls is not None:
            return self._tls
        return None


class Network(httpcore.AsyncNetworkBackend):
    """Opens the TCP connection of one of httpcore's connections.

    Attributes
    ----------
    stream : Stream or None
        The connection, once it is open.
    turns : Turns
        Counts the parts of responses that are parsed.
    receive_buffer : int
        Size of the kernel's receive buffer in bytes; 0 leaves it as it is.
    """

    def __init__(self) -> None:
        self.stream: Stream | None = None
        self.receive_buffer = 0
        self.turns = turns.Turns()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: typing.Iterable[SocketOption] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Connect to an IP address.

        Raises
        ------
        httpcore.ConnectError
            If the connection is refused or fails.
        httpcore.ConnectTimeout
            If the connection is not open within ``timeout`` seconds.
        """
        timeout_s = float('inf') if timeout is None else timeout
        try:
            with trio.fail_after(timeout_s):
                stream = await self._open(host, port)
        except trio.TooSlowError as exc:
            raise httpcore.ConnectTimeout(f'{host}:{port}') from exc
        except OSError as exc:
            raise httpcore.ConnectError(f'{host}:{port}: {exc}') from exc
        self.stream = Stream(stream, self.turns)
        return self.stream

    async def _open(self, host: str, port: int) -> trio.SocketStream:
        if not self.receive_buffer:
            return await trio.open_tcp_stream(host, port)
        family = socket.AF_INET6 if ':' in host else socket.AF_INET
        sock = trio.socket.socket(family, socket.SOCK_STREAM)
        try:
            # The window that is offered in the handshake depends on it.
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer
            )
            await sock.connect((host, port))
        except BaseException:
            sock.close()
            raise
        return trio.SocketStream(sock)

    async def connect_unix_socket(
        self,
        path: str,
        timeout: float | None = None,
        socket_options: typing.Iterable[SocketOption] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Raise an error, as hosts communicate over TCP only."""
        raise httpcore.UnsupportedProtocol('UNIX sockets')

    async def sleep(self, seconds: float) -> None:
        """Sleep; httpcore needs it only for its retries, which are off."""
        await trio.sleep(seconds)


class HttpConnection(httpcore.AsyncHTTPConnection):
    """HTTP connection that bounds what precedes a response.

    Parameters
    ----------
    origin : Origin
        Scheme, IP address and port.
    keepalive_expiry : float or None
        Time after which an idle connection is not reused, in seconds.
    ssl_context : SSLContext or None
        Enables TLS.
    socket_options : iterable of SocketOption or None
        Options of the socket.

    Attributes
    ----------
    network : Network
        Holds the socket of the connection.
    """

    def __init__(
        self,
        origin: httpcore.Origin,
        keepalive_expiry: float | None = None,
        ssl_context: ssl.SSLContext | None = None,
        socket_options: collections.abc.Iterable[SocketOption] | None = None,
    ) -> None:
        self.network = Network()
        super().__init__(
            origin,
            ssl_context,
            keepalive_expiry,
            network_backend=self.network,
            socket_options=socket_options,
        )

    async def handle_async_request(
        self, request: httpcore.Request
    ) -> httpcore.Response:
        """Send a request and wait for the head of its response."""
        response = await super().handle_async_request(request)
        if self.network.stream is not None:
            self.network.stream.note_response()
        return response


def was_reset(sock: trio.socket.SocketType) -> bool:
    """Return whether the peer of a socket has reset the connection.

    A reset may follow an orderly end, for instance when the peer closes its
    socket before it has read all of a request.
    """
    if sock.fileno() < 0:
        return False
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0


def peer_has_closed(sock: trio.socket.SocketType) -> bool | None:
    """Return whether the peer has closed or reset a connection.

    The state of the connection tells so even if bytes that were received
    before have not been read. None if the system does not tell the state.
    """
    try:
        state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    except OSError:
        return None
    return state in connection_stats.CLOSED_STATES if state else None


def set_stall_timeout(sock: socket.socket, stalled_time: float) -> None:
    """Make the kernel close connections whose peer stops responding."""
    timeout_ms = int(stalled_time * 1000)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
    interval = max(1, int(stalled_time / 4))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, interval)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def write_now(fileno: int, data: bytes) -> int:
    """Write as much as a non-blocking socket accepts immediately.

    Returns
    -------
    int
        Number of bytes written, possibly 0.

    Raises
    ------
    OSError
        If the connection failed.
    """
    try:
        return os.write(fileno, data)
    except BlockingIOError:
        return 0
    except OSError as exc:
        if exc.errno == errno.EINTR:
            return 0
        raise
