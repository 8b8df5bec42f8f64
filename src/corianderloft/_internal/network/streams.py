"""The sockets under httpcore's connections."""

import collections.abc
import errno
import os
import ssl
import typing

import httpcore
import trio

SocketOption = typing.Any
_BROKEN = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)

Hook = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class Stream(httpcore.AsyncNetworkStream):
    """One TCP connection to a backend server.

    Reads of an answer come once a token, so they take the shortest way
    through trio.

    Attributes
    ----------
    before_read : Hook or None
        Awaited when all that has arrived was parsed and the next read may
        wait.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._tls: trio.SSLStream[trio.SocketStream] | None = None
        self._fileno = stream.socket.fileno()
        self.before_read: Hook | None = None

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        """Return what has arrived, or wait for it.

        Raises
        ------
        httpcore.ReadError
            If the connection is broken.
        """
        if self.before_read is not None:
            await self.before_read()
        try:
            if self._tls is not None:
                return bytes(await self._tls.receive_some(max_bytes))
            # Asking first whether there is something to read costs a call
            # and an exception for each token.
            await trio.lowlevel.wait_readable(self._fileno)
            if self._stream.socket.fileno() != self._fileno:
                raise httpcore.ReadError('closed while it was read')
            return os.read(self._fileno, max_bytes)
        except _BROKEN as exc:
            raise httpcore.ReadError(str(exc)) from exc

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send all of ``buffer``.

        Raises
        ------
        httpcore.WriteError
            If the connection is broken.
        """
        try:
            await (self._tls or self._stream).send_all(buffer)
        except _BROKEN as exc:
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
        """Speak TLS from now on.

        Raises
        ------
        httpcore.ConnectError
            If the other end does not prove who it is.
        """
        self._tls = trio.SSLStream(
            self._stream,
            ssl_context,
            server_hostname=server_hostname,
            https_compatible=True,
        )
        within = float('inf') if timeout is None else timeout
        try:
            with trio.fail_after(within):
                await self._tls.do_handshake()
        except (*_BROKEN, trio.TooSlowError) as exc:
            await trio.aclose_forcefully(self._stream)
            raise httpcore.ConnectError(f'TLS: {exc!r}') from exc
        return self

    def get_extra_info(self, info: str) -> typing.Any:
        """Return what httpcore asks about the socket, or None."""
        if info == 'is_readable':
            return self._stream.socket.is_readable()
        if info == 'socket':
            return self._stream.socket
        if info == 'ssl_object' and self._tls is not None:
            return self._tls
        return None


class Network(httpcore.AsyncNetworkBackend):
    """Makes the TCP connection under one of httpcore's connections.

    Attributes
    ----------
    stream : Stream or None
        The connection, once it is made.
    """

    def __init__(self) -> None:
        self.stream: Stream | None = None

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: typing.Iterable[SocketOption] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Connect to an IP number.

        Raises
        ------
        httpcore.ConnectError
            If nothing listens there.
        httpcore.ConnectTimeout
            If the connection was not made within ``timeout`` seconds.
        """
        within = float('inf') if timeout is None else timeout
        try:
            with trio.fail_after(within):
                stream = await trio.open_tcp_stream(host, port)
        except trio.TooSlowError as exc:
            raise httpcore.ConnectTimeout(f'{host}:{port}') from exc
        except OSError as exc:
            raise httpcore.ConnectError(f'{host}:{port}: {exc}') from exc
        self.stream = Stream(stream)
        return self.stream

    async def connect_unix_socket(
        self,
        path: str,
        timeout: float | None = None,
        socket_options: typing.Iterable[SocketOption] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Refuse: hosts talk over TCP only."""
        raise httpcore.UnsupportedProtocol('UNIX sockets')

    async def sleep(self, seconds: float) -> None:
        """Sleep, for httpcore's own retries, which stay unused."""
        await trio.sleep(seconds)


def write_now(fileno: int, data: bytes) -> int:
    """Write what a non-blocking socket takes at once.

    Returns
    -------
    int
        Bytes taken, possibly 0.

    Raises
    ------
    OSError
        If the connection is broken.
    """
    try:
        return os.write(fileno, data)
    except BlockingIOError:
        return 0
    except OSError as exc:
        if exc.errno == errno.EINTR:
            return 0
        raise
