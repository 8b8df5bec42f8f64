"""Serves an ASGI application with hypercorn's HTTP/1.1 protocol."""

import collections
import collections.abc
import contextlib
import dataclasses
import functools
import itertools
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
from corianderloft._internal.network import pending
from corianderloft._internal.network import pending_connections
from corianderloft._internal.network import slots
from corianderloft._internal.network import start_limit
from corianderloft._internal.network import streams

LISTEN_BACKLOG = 1024

SMALL_HOST_BACKLOG = 128
"""Backlog on a host that states its memory, where it also counts what clients
send before their connections are accepted."""

SMALL_HOST_RECEIVE_BUFFER = 8192
"""Receive buffer of connections on a host that states its memory. The kernel
doubles it. What clients send while nobody reads waits there, and that counts
as memory of the process. It is enlarged while a long body is read."""

SMALL_HOST_SEND_BUFFER = 16384
"""Send buffer of connections on a host that states its memory. The kernel
doubles it. It holds what a client does not read, up to some MB by default."""

MAX_PENDING = 256
"""Maximum number of accepted connections that wait for a slot, and of refused
ones that are not closed yet."""

SMALL_HOST_MAX_PENDING = 64
"""The same on a host that states its memory."""

MAX_ACCEPTS = 64
"""Connections that are accepted before other tasks run."""

PENDING_CHECK_INTERVAL_S = 0.05
"""Interval between checks for what clients of such connections have done."""

TRANSIENT_FRACTION = 1 / 8
"""Fraction of the slots for connections that carry one request: those opened
while no others are free. So clients that keep theirs lose none to those that
come and go."""

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
        Concurrent connections; further ones wait for others to end.
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
    max_pending : int
        Accepted connections that wait for a slot, and refused ones that are
        not closed yet.
    """

    max_connections: int
    max_header_bytes: int
    idle_time: float
    stalled_time: float
    receive_buffer: int = 0
    send_buffer: int = 0
    max_pending: int = MAX_PENDING


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
        max_pending=SMALL_HOST_MAX_PENDING,
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
    starts : StartLimit or None
        Limit of the process on connections that it begins to serve at once;
        None limits those of this port only.
    max_wait : float
        Time after which a request that gets no slot is refused, in seconds.
    max_wait_for_start : float
        The same while there are slots and only processor time is short.
    build_refusal : callable or None
        Returns the response to a request that gets no slot. Without one, and
        with TLS, requests wait until their clients give up.
    """

    def __init__(
        self,
        app: App,
        sock: socket.socket,
        limits: ServerLimits,
        tls: ssl.SSLContext | None = None,
        memory: process_memory.Memory | None = None,
        port_name: str = 'callers',
        starts: start_limit.StartLimit | None = None,
        max_wait: float = pending.MAX_WAIT_S,
        max_wait_for_start: float = math.inf,
        build_refusal: collections.abc.Callable[[], bytes] | None = None,
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
        self._port_name = port_name
        self._logged_at = -math.inf
        self._closed_at = -math.inf
        self._stats = connection_stats.ConnectionStats()
        self._stats.read_uses = self._count_uses
        self._stats.read_queued = self._count_queued
        connection_stats.PORTS[port_name] = self._stats
        self._sock = sock
        self._free = limits.max_connections
        self._starts = starts or start_limit.StartLimit()
        self._reserve = max(1, int(self._free * TRANSIENT_FRACTION))
        self._changed = trio.Event()
        self._pending = pending_connections.PendingConnections(
            limits.max_pending,
            self._stats,
            max_wait,
            max_wait_for_start,
            None if tls else build_refusal,
        )
        self._shortage_logged_at = -math.inf
        streams.set_stall_timeout(sock, limits.stalled_time)
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
                    nursery.start_soon(self._distribute, connections)
                    nursery.start_soon(self._end_abandoned)
                    try:
                        await stop_event.wait()
                    finally:
                        self._pending.refuse_all(trio.current_time())
                    accepting.cancel()
            await self._listener.aclose()
            await self._context.terminated.set()
            connections.cancel_scope.deadline = (
                trio.current_time() + SHUTDOWN_TIMEOUT_S
            )

    async def _accept(self, connections: trio.Nursery) -> typing.NoReturn:
        """Accept connections all the time, whether or not slots are free."""
        while True:
            try:
                stream = await self._listener.accept()
            except OSError:
                # Out of file descriptors, or the peer already disconnected.
                await trio.sleep(0.01)
                continue
            self._admit(stream, connections)
            for stream in self._accept_more():
                self._admit(stream, connections)

    def _accept_more(self) -> collections.abc.Iterator[trio.SocketStream]:
        """Accept connections without waiting, as many as wait in a queue."""
        for _ in range(MAX_ACCEPTS):
            try:
                sock, _address = self._sock.accept()
            except OSError:
                return
            sock.setblocking(False)
            yield trio.SocketStream(trio.socket.from_stdlib_socket(sock))

    def _admit(
        self, stream: trio.SocketStream, connections: trio.Nursery
    ) -> None:
        info = connection_stats.socket_info(stream.socket)
        self._stats.record_accepted(info)
        if info is not None and info.peer_has_closed:
            stream.socket.close()
            return
        now = trio.current_time()
        asks = info is not None and info.has_received
        is_calm = self._starts.is_relaxed() and not len(self._pending)
        if (
            self._free
            and is_calm
            and (asks or self._starts.try_begin_silent(now))
        ):
            self._start(stream, connections, is_limited=asks)
            return
        self._pending.add(stream, info, now)
        if len(self._pending) > self._limits.max_pending:
            self._pending.decide(0, 0, now)
        self._wake()

    def _start(
        self,
        stream: trio.SocketStream,
        connections: trio.Nursery,
        is_limited: bool = False,
    ) -> None:
        self._free -= 1
        keeps = self._free >= self._reserve
        limit = self._starts if is_limited else None
        started = start_limit.Start(limit, trio.current_time, self._wake)
        connections.start_soon(self._handle, stream, keeps, started)

    def _wake(self) -> None:
        """Let connections that wait be considered again."""
        self._changed.set()

    async def _distribute(self, connections: trio.Nursery) -> typing.NoReturn:
        """Give slots to connections that wait, after the work at hand.

        A process that is short of processor time would otherwise begin more
        requests than it answers before their clients give up.
        """
        while True:
            self._changed = trio.Event()
            self._serve_pending(connections)
            timeout = PENDING_CHECK_INTERVAL_S
            if self._pending.is_empty():
                timeout = math.inf
            with trio.move_on_after(timeout):
                await self._changed.wait()

    def _serve_pending(self, connections: trio.Nursery) -> None:
        served = self._pending.decide(
            self._free, self._starts.free(), trio.current_time()
        )
        for stream in served.asking:
            self._start(stream, connections, is_limited=True)
        for stream in served.silent:
            self._start(stream, connections)
        if served.lacking and not self._free:
            self._close_for_others(served.lacking)

    async def _end_abandoned(self) -> typing.NoReturn:
        while True:
            due = trio.current_time() + ABANDONED_CHECK_INTERVAL_S
            await trio.sleep_until(due)
            self._stats.record_loop_delay(trio.current_time() - due)
            for connection in tuple(self._connections):
                connection.end_if_abandoned()
            self._log_shortage()

    def _close_for_others(self, count: int) -> None:
        """Close the connections that are used the least."""
        now = trio.current_time()
        if now - self._closed_at < PENDING_CHECK_INTERVAL_S:
            return
        self._closed_at = now
        open_ = [c for c in self._connections if not c.is_closed]
        # Those that are about to end leave their slots as well.
        count -= len(self._connections) - len(open_)
        by_slot = {conn.slot(): conn for conn in open_}
        closable = (
            slot
            for slot in slots.closable(by_slot, now)
            if slot.use is not slots.Use.KEPT
            or not by_slot[slot].has_received()
        )
        for slot in itertools.islice(closable, max(0, count)):
            by_slot[slot].abort()
            UNUSED_CLOSED[slot.use.value] += 1
            self._stats.record_closed(slot.use.value)
            self._log_closed(slot, now)

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
        if now - self._shortage_logged_at < LOG_INTERVAL_S:
            return
        if not self._stats.connections_were_short():
            return
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

    async def _handle(
        self,
        stream: trio.SocketStream,
        keeps: bool,
        started: start_limit.Start,
    ) -> None:
        try:
            if self._tls is not None:
                # From here on it depends on the client.
                started.end()
            tls_stream = await self._accept_tls(stream)
            if tls_stream is not None:
                await self._run(self._connection(tls_stream, keeps, started))
        except Exception:
            logger.exception('unexpected error on a connection')
        finally:
            with contextlib.suppress(OSError):
                stream.socket.close()
            started.end()
            self._free += 1
            self._wake()

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

    def _connection(
        self,
        stream: inbound.ByteStream,
        keeps: bool,
        started: start_limit.Start,
    ) -> inbound.Connection:
        return inbound.Connection(
            typing.cast(hypercorn_typing.AppWrapper, self._app),
            self._config,
            self._context,
            stream,
            self._limits.receive_buffer,
            lambda: not keeps and self._free < self._reserve,
            self._stats,
            started.end,
        )


def _config(limits: ServerLimits) -> hypercorn_config.Config:
    config = hypercorn_config.Config()
    config.h11_max_incomplete_size = limits.max_header_bytes
    config.keep_alive_timeout = limits.idle_time
    config.include_server_header = False
    config.errorlog = None
    config.accesslog = None
    return config


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
    connection.on_begun()
    try:
        with memory.account(connection.abort) as connection.memory:
            await app(scope, receive, send)
    except Exception:
        logger.exception(
            'request to %s failed with an unexpected error', scope.get('path')
        )
        raise
