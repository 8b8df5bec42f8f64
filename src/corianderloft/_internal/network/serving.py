"""Serves an ASGI application with hypercorn's HTTP/1.1 protocol."""

import collections
import collections.abc
import contextlib
import dataclasses
import functools
import logging
import math
import socket
import ssl
import typing

from hypercorn import config as hypercorn_config
from hypercorn.trio import worker_context
from hypercorn import typing as hypercorn_typing
import trio

from corianderloft._internal.network import byte_budget
from corianderloft._internal.network import connection_stats
from corianderloft._internal.network import inbound
from corianderloft._internal.network import memory as process_memory
from corianderloft._internal.network import slots

LISTEN_BACKLOG = 1024

SMALL_HOST_BACKLOG = 256
"""Backlog on a host that states its memory, where it also counts what clients
send before their connections are accepted."""

SMALL_HOST_RECEIVE_BUFFER = 8192
"""Receive buffer of connections on a host that states its memory. The kernel
doubles it. What clients send while nobody reads waits there, and that counts
as memory of the process. It is enlarged while a long body is read."""

SMALL_HOST_SEND_BUFFER = 16384
"""Send buffer of connections on a host that states its memory. The kernel
doubles it. It holds what a client does not read, up to some MB by default."""

SLOT_CHECK_INTERVAL_S = 0.1
"""Interval between checks for such connections."""

ABANDONED_CHECK_INTERVAL_S = 1.0
"""Interval between checks for requests whose clients have gone."""

LOG_INTERVAL_S = 5.0
"""Shortest time between two log lines about closed connections."""

UNUSED_CLOSED: collections.Counter[str] = collections.Counter()
"""Connections that were closed for others, by reason."""

SHUTDOWN_TIMEOUT_S = 2.0
"""Time for open connections to close at shutdown."""

logger = logging.getLogger(__name__)

App = collections.abc.Callable[..., collections.abc.Awaitable[None]]


@dataclasses.dataclass(frozen=True)
class ServerLimits:
    """Limits on the connections of a server.

    Attributes
    ----------
    max_connections : int
        Concurrent connections; further ones wait in the listen backlog.
    max_header_bytes : int
        Maximum size of the request line and headers.
    idle_time : float
        Time for the headers of a request to arrive, in seconds.
    stalled_time : float
        Time after which a connection whose peer acknowledges no data is
        closed, in seconds.
    receive_buffer : int
        Size of the kernel's receive buffer of a connection in bytes; 0 leaves
        it as it is.
    send_buffer : int
        The same for the send buffer.
    """

    max_connections: int
    max_header_bytes: int
    idle_time: float
    stalled_time: float
    receive_buffer: int = 0
    send_buffer: int = 0


def small_buffers(limits: ServerLimits, memory: int) -> ServerLimits:
    """Return limits with small buffers if the memory is stated.

    Parameters
    ----------
    limits : ServerLimits
        Limits on connections.
    memory : int
        Memory of the host in bytes; 0 if it is not stated.
    """
    if not memory:
        return limits
    return dataclasses.replace(
        limits,
        receive_buffer=SMALL_HOST_RECEIVE_BUFFER,
        send_buffer=SMALL_HOST_SEND_BUFFER,
    )


def bind(address: str, port: int) -> socket.socket:
    """Return a listening TCP socket on an IP address.

    Raises
    ------
    OSError
        If the address does not belong to this host or the port is in use.
    """
    sock = socket.create_server(
        (address, port), backlog=LISTEN_BACKLOG, reuse_port=False
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
        Limits on connections.
    tls : SSLContext or None
        Enables TLS.
    memory : Memory or None
        Byte budget of the process; None counts the bytes of this port only.
    port_name : str
        Name of the port in metrics and log lines.
    """

    def __init__(
        self,
        app: App,
        sock: socket.socket,
        limits: ServerLimits,
        tls: ssl.SSLContext | None = None,
        memory: process_memory.Memory | None = None,
        port_name: str = 'callers',
    ) -> None:
        if memory is None:
            budget = byte_budget.ByteBudget(byte_budget.sizes(0))
            memory = process_memory.Memory(budget)
        self._app = _wrap(app, memory)
        self._limits = limits
        self._tls = tls
        self._context = worker_context.WorkerContext(None)
        self._config = _config(limits)
        self._connections: set[inbound.Connection] = set()
        self._logged_at = -math.inf
        self._slots = trio.CapacityLimiter(limits.max_connections)
        self._slots_are_short = False
        self._were_short = False
        self._shortage_logged_at = -math.inf
        self._port_name = port_name
        self._stats = connection_stats.ConnectionStats()
        self._stats.read_uses = self._count_uses
        self._stats.read_queued = self._count_queued
        connection_stats.PORTS[port_name] = self._stats
        _set_stall_timeout(sock, limits.stalled_time)
        for option, size in (
            (socket.SO_RCVBUF, limits.receive_buffer),
            (socket.SO_SNDBUF, limits.send_buffer),
        ):
            if size:
                # Connections inherit it.
                sock.setsockopt(socket.SOL_SOCKET, option, size)
        if limits.receive_buffer:
            sock.listen(SMALL_HOST_BACKLOG)
        self._listener = trio.SocketListener(
            trio.socket.from_stdlib_socket(sock)
        )

    def set_limits(self, max_header_bytes: int, idle_time: float) -> None:
        """Change the limits on request heads and idle connections.

        Parameters
        ----------
        max_header_bytes : int
            Maximum size of the request line and headers.
        idle_time : float
            Maximum idle time of a connection in seconds.
        """
        self._config.h11_max_incomplete_size = max_header_bytes
        self._config.keep_alive_timeout = idle_time

    async def serve(self, stop_event: trio.Event) -> None:
        """Serve until ``stop_event`` is set, then close all connections."""
        async with trio.open_nursery() as connections:
            with trio.CancelScope() as accepting:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._accept, connections)
                    nursery.start_soon(self._end_abandoned)
                    await stop_event.wait()
                    accepting.cancel()
            await self._listener.aclose()
            await self._context.terminated.set()
            connections.cancel_scope.deadline = (
                trio.current_time() + SHUTDOWN_TIMEOUT_S
            )

    async def _accept(self, connections: trio.Nursery) -> typing.NoReturn:
        while True:
            await self._take_slot(slot := object())
            try:
                stream = await self._listener.accept()
            except OSError:
                # Out of file descriptors, or the peer already disconnected.
                self._slots.release_on_behalf_of(slot)
                await trio.sleep(0.01)
                continue
            except BaseException:
                self._slots.release_on_behalf_of(slot)
                raise
            self._stats.record_accepted(
                connection_stats.socket_info(stream.socket)
            )
            connections.start_soon(self._handle, stream, slot)

    async def _end_abandoned(self) -> typing.NoReturn:
        while True:
            due = trio.current_time() + ABANDONED_CHECK_INTERVAL_S
            await trio.sleep_until(due)
            self._stats.record_loop_delay(trio.current_time() - due)
            for connection in tuple(self._connections):
                connection.end_if_abandoned()
            self._log_shortage()

    async def _take_slot(self, slot: object) -> None:
        """Wait for a slot; make one free if another client waits for it."""
        with contextlib.suppress(trio.WouldBlock):
            self._slots.acquire_on_behalf_of_nowait(slot)
            return
        while True:
            await trio.lowlevel.wait_readable(self._listener.socket)
            self._slots_are_short = self._were_short = True
            self._close_for_another()
            with trio.move_on_after(SLOT_CHECK_INTERVAL_S):
                await self._slots.acquire_on_behalf_of(slot)
                self._slots_are_short = False
                return

    def _close_for_another(self) -> None:
        """Close the connection that is used the least."""
        now = trio.current_time()
        by_slot = {
            conn.slot(): conn
            for conn in self._connections
            if not conn.is_closed
        }
        for slot in slots.closable(by_slot, now):
            connection = by_slot[slot]
            if slot.use is slots.Use.KEPT and connection.has_received():
                continue
            connection.abort()
            UNUSED_CLOSED[slot.use.value] += 1
            self._stats.record_closed(slot.use.value)
            self._log_closed(slot, now)
            return

    def _log_closed(self, slot: slots.Slot, now: float) -> None:
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        logger.warning(
            'connection closed for another client',
            extra={
                'reason': slot.use.value,
                'unused_s': round(now - slot.since, 3),
                'connections': len(self._connections),
            },
        )

    def _log_shortage(self) -> None:
        """Log what keeps clients waiting, if connections were short."""
        now = trio.current_time()
        if (
            not self._were_short
            or now - self._shortage_logged_at < LOG_INTERVAL_S
        ):
            return
        self._were_short = self._slots_are_short
        self._shortage_logged_at = now
        logger.warning(
            'clients wait for connections',
            extra={'port': self._port_name, **self._stats.take_log_fields()},
        )

    def _count_uses(self) -> collections.Counter[str]:
        return collections.Counter(
            connection.slot().use.value for connection in self._connections
        )

    def _count_queued(self) -> int:
        info = connection_stats.socket_info(self._listener.socket)
        return 0 if info is None else info.queued

    async def _handle(self, stream: trio.SocketStream, slot: object) -> None:
        try:
            tls_stream = await self._accept_tls(stream)
            if tls_stream is not None:
                await self._run(self._connection(tls_stream))
        except Exception:
            logger.exception('unexpected error on a connection')
        finally:
            self._slots.release_on_behalf_of(slot)
            with contextlib.suppress(OSError):
                stream.socket.close()

    async def _run(self, connection: inbound.Connection) -> None:
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)

    async def _accept_tls(
        self, stream: trio.SocketStream
    ) -> inbound.ByteStream | None:
        if self._tls is None:
            return stream
        tls_stream = trio.SSLStream(
            stream, self._tls, server_side=True, https_compatible=True
        )
        with trio.move_on_after(self._limits.idle_time):
            try:
                await tls_stream.do_handshake()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return None
            return tls_stream
        return None

    def _connection(self, stream: inbound.ByteStream) -> inbound.Connection:
        return inbound.Connection(
            typing.cast(hypercorn_typing.AppWrapper, self._app),
            self._config,
            self._context,
            stream,
            self._limits.receive_buffer,
            lambda: self._slots_are_short,
            self._stats,
        )


def _config(limits: ServerLimits) -> hypercorn_config.Config:
    config = hypercorn_config.Config()
    config.h11_max_incomplete_size = limits.max_header_bytes
    config.keep_alive_timeout = limits.idle_time
    config.include_server_header = False
    config.errorlog = None
    config.accesslog = None
    return config


def _set_stall_timeout(sock: socket.socket, stalled_time: float) -> None:
    """Make the kernel close connections whose peer stops responding."""
    timeout_ms = int(stalled_time * 1000)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
    interval = max(1, int(stalled_time / 4))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, interval)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, interval)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def _wrap(app: App, memory: process_memory.Memory) -> App:
    return functools.partial(_call, app, memory)


async def _call(
    app: App,
    memory: process_memory.Memory,
    scope: typing.Any,
    receive: typing.Any,
    send: typing.Any,
    *_threads: typing.Any,
) -> None:
    connection: inbound.Connection = scope['state'][inbound.CONNECTION_STATE]
    try:
        with memory.account(connection.abort) as connection.memory:
            await app(scope, receive, send)
    except Exception:
        logger.exception(
            'request to %s failed with an unexpected error', scope.get('path')
        )
        raise
