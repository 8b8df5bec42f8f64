"""Serves an ASGI application: hypercorn's HTTP/1.1 on our own listeners."""

import collections.abc
import contextlib
import dataclasses
import functools
import logging
import socket
import ssl
import typing

from hypercorn import config as hypercorn_config
from hypercorn.trio import worker_context
from hypercorn import typing as hypercorn_typing
import trio

from corianderloft._internal.network import inbound

BACKLOG = 1024
CLOSE_TIME = 2.0
"""Time for connections to close when serving ends, in seconds."""

logger = logging.getLogger(__name__)

App = collections.abc.Callable[..., collections.abc.Awaitable[None]]


@dataclasses.dataclass(frozen=True)
class ServerLimits:
    """Bounds on what the other ends of the connections may use.

    Attributes
    ----------
    max_connections : int
        Connections held open at the same time; more wait in the backlog.
    max_header_bytes : int
        Largest request line with headers.
    idle_time : float
        Time for the headers of a request to arrive, in seconds.
    stalled_time : float
        Time after which a connection that acknowledges nothing is closed,
        in seconds.
    """

    max_connections: int
    max_header_bytes: int
    idle_time: float
    stalled_time: float


def bind(address: str, port: int) -> socket.socket:
    """Return a TCP socket bound to an IP number.

    Raises
    ------
    OSError
        If the address is not this host's or the port is taken.
    """
    sock = socket.create_server(
        (address, port), backlog=BACKLOG, reuse_port=False
    )
    sock.setblocking(False)
    return sock


class Server:
    """Serves one port.

    Parameters
    ----------
    app : App
        ASGI application.
    sock : socket
        Bound socket.
    limits : ServerLimits
        Bounds.
    tls : SSLContext or None
        Serves TLS when given.
    """

    def __init__(
        self,
        app: App,
        sock: socket.socket,
        limits: ServerLimits,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._app = app
        self._limits = limits
        self._tls = tls
        self._context = worker_context.WorkerContext(None)
        self._config = _config(limits)
        self._slots = trio.CapacityLimiter(limits.max_connections)
        _bound_stalls(sock, limits.stalled_time)
        self._listener = trio.SocketListener(
            trio.socket.from_stdlib_socket(sock)
        )

    def set_limits(self, max_header_bytes: int, idle_time: float) -> None:
        """Change the bounds on heads and idle time of callers.

        Parameters
        ----------
        max_header_bytes : int
            Largest request line with headers.
        idle_time : float
            Idle time of a connection in seconds.
        """
        self._config.h11_max_incomplete_size = max_header_bytes
        self._config.keep_alive_timeout = idle_time

    async def serve(self, stopped: trio.Event) -> None:
        """Serve until ``stopped`` is set, then close all connections."""
        async with trio.open_nursery() as connections:
            with trio.CancelScope() as accepting:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._accept, connections)
                    await stopped.wait()
                    accepting.cancel()
            await self._listener.aclose()
            await self._context.terminated.set()
            connections.cancel_scope.deadline = (
                trio.current_time() + CLOSE_TIME
            )

    async def _accept(self, connections: trio.Nursery) -> typing.NoReturn:
        while True:
            await self._slots.acquire_on_behalf_of(slot := object())
            try:
                stream = await self._listener.accept()
            except OSError:
                # Out of file descriptors, or the caller is already gone.
                self._slots.release_on_behalf_of(slot)
                await trio.sleep(0.01)
                continue
            except BaseException:
                self._slots.release_on_behalf_of(slot)
                raise
            connections.start_soon(self._handle, stream, slot)

    async def _handle(self, stream: trio.SocketStream, slot: object) -> None:
        try:
            secured = await self._secured(stream)
            if secured is not None:
                await self._connection(secured).run()
        except Exception:
            logger.exception('a connection failed')
        finally:
            self._slots.release_on_behalf_of(slot)
            with contextlib.suppress(OSError):
                stream.socket.close()

    async def _secured(
        self, stream: trio.SocketStream
    ) -> inbound.ByteStream | None:
        if self._tls is None:
            return stream
        secured = trio.SSLStream(
            stream, self._tls, server_side=True, https_compatible=True
        )
        with trio.move_on_after(self._limits.idle_time):
            try:
                await secured.do_handshake()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return None
            return secured
        return None

    def _connection(self, stream: inbound.ByteStream) -> inbound.Connection:
        return inbound.Connection(
            typing.cast(hypercorn_typing.AppWrapper, _wrap(self._app)),
            self._config,
            self._context,
            stream,
        )


def _config(limits: ServerLimits) -> hypercorn_config.Config:
    config = hypercorn_config.Config()
    config.h11_max_incomplete_size = limits.max_header_bytes
    config.keep_alive_timeout = limits.idle_time
    config.include_server_header = False
    config.errorlog = None
    config.accesslog = None
    return config


def _bound_stalls(sock: socket.socket, stalled_time: float) -> None:
    """Let the kernel close connections whose other end went silent."""
    milliseconds = int(stalled_time * 1000)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
    interval = max(1, int(stalled_time / 4))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, interval)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def _wrap(app: App) -> App:
    return functools.partial(_call, app)


async def _call(
    app: App,
    scope: typing.Any,
    receive: typing.Any,
    send: typing.Any,
    *_threads: typing.Any,
) -> None:
    try:
        await app(scope, receive, send)
    except Exception:
        logger.exception('no answer to %s', scope.get('path'))
        raise
