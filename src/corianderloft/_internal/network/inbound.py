"""Connection from a caller or an operator, using hypercorn's protocol."""

import collections
import collections.abc
import contextlib
import fcntl
import logging
import socket
import struct
import termios
import typing

import h11
from hypercorn import config as hypercorn_config
from hypercorn import events
from hypercorn.protocol import events as protocol_events
from hypercorn.protocol import h11 as hypercorn_h11
from hypercorn.trio import task_group
from hypercorn.trio import worker_context
from hypercorn import typing as hypercorn_typing
import orjson
import trio

from corianderloft._internal.models import reasons
from corianderloft._internal.models import states
from corianderloft._internal.network import byte_budget
from corianderloft._internal.network import connection_stats
from corianderloft._internal.network import memory
from corianderloft._internal.network import slots
from corianderloft._internal.network import streams

MAX_RECEIVE_BYTES = 16384
"""Bytes read at once. hypercorn queues ten such parts for a request that does
not read its body yet."""

BRIEF_SEND_S = 0.1
"""A client that takes what is written in this time reads."""

LARGE_RECEIVE_BUFFER = 65536
"""Receive buffer for a long body on a host that states its memory. The kernel
doubles it. A smaller one would not let the largest body arrive in time over a
line with a delay of 0.1 s."""

MAX_SEND_BYTES = 65536
"""Bytes after which the progress of a slow reader is recorded."""

CLOSE_TIMEOUT_S = 1.0

LINGER_S = 1.0
"""Time for the peer to read the last response before the connection closes."""

CONNECTION_STATE = 'connection'
"""Key of the connection in the ``state`` of an ASGI scope."""

PROTOCOL_ERRORS: collections.Counter[int] = collections.Counter()
"""Requests that were not valid HTTP, by status."""

ByteStream = trio.SocketStream | trio.SSLStream[trio.SocketStream]

logger = logging.getLogger(__name__)


class Http(hypercorn_h11.H11Protocol):
    """hypercorn's HTTP/1.1 protocol with this system's error responses.

    Attributes
    ----------
    closes_after_response : callable
        Returns whether the connection is to end with the present response.
    on_response : callable
        Called before the head of a response is sent.
    """

    closes_after_response: collections.abc.Callable[[], bool]
    on_response: collections.abc.Callable[[], None]

    async def stream_send(self, event: protocol_events.Event) -> None:
        """Send an event; announce the end of the connection if it is due."""
        if isinstance(event, protocol_events.Response):
            self.on_response()
            if self.closes_after_response():
                event.headers.append((b'connection', b'close'))
        await super().stream_send(event)

    async def _check_protocol(self, event: h11.Request) -> None:
        """Skip the upgrade to HTTP/2; only HTTP/1.1 is served."""

    async def _send_error_response(self, status_code: int) -> None:
        PROTOCOL_ERRORS[status_code] += 1
        reason = reasons.RefusalReason.BAD_REQUEST
        if status_code == 431:
            reason = reasons.RefusalReason.TOO_LARGE
        body = orjson.dumps(
            {
                'error': {
                    'reason': reason.value,
                    'run': states.RunState.NOT_RUN.value,
                    'detail': 'the request is not valid HTTP/1.1',
                    'retry_after_s': None,
                    'request_id': None,
                }
            }
        )
        headers = [
            (b'content-type', b'application/json'),
            (b'content-length', b'%d' % len(body)),
            (b'connection', b'close'),
        ]
        await self._send_h11_event(
            h11.Response(
                status_code=status_code,
                headers=headers + self.config.response_headers('h11'),
            )
        )
        await self._send_h11_event(h11.Data(data=body))
        await self._send_h11_event(h11.EndOfMessage())


class Connection:
    """Passes bytes between a stream and hypercorn's protocol.

    Parameters
    ----------
    app : AppWrapper
        ASGI application in hypercorn's wrapper.
    config : Config
        hypercorn's settings.
    context : WorkerContext
        Signals when the server shuts down.
    stream : ByteStream
        Accepted connection.
    receive_buffer : int
        Size of the kernel's receive buffer in bytes, which is enlarged for
        long bodies; 0 leaves the buffer as it is.
    closes_after_response : callable
        Returns whether the connection is to end with the present response.
    stats : ConnectionStats or None
        Times of the port.
    on_begun : callable
        Called when a request is passed to the application, or when bytes that
        are none have been read.

    Attributes
    ----------
    memory : RequestMemory or None
        Bytes held for the present request.
    """

    def __init__(
        self,
        app: hypercorn_typing.AppWrapper,
        config: hypercorn_config.Config,
        context: worker_context.WorkerContext,
        stream: ByteStream,
        receive_buffer: int = 0,
        closes_after_response: collections.abc.Callable[[], bool] = (
            lambda: False
        ),
        stats: connection_stats.ConnectionStats | None = None,
        on_begun: collections.abc.Callable[[], None] = lambda: None,
    ) -> None:
        self._app = app
        self._config = config
        self._context = context
        self._stream = stream
        self._idle = worker_context.TrioSingleTask()
        self._sending = trio.Lock()
        self._secure = not isinstance(stream, trio.SocketStream)
        self._socket = _socket_of(stream)
        self._fileno = None if self._secure else self._socket.fileno()
        self._receive_buffer = receive_buffer
        self._received_long_body = False
        self._closed = False
        self._last_response_sent = False
        self._reading = trio.CancelScope()
        self._handling = trio.CancelScope()
        self._reader: trio.lowlevel.Task | None = None
        self._resumed: trio.Event | None = None
        self._read_all = False
        self._reader_held_since: float | None = None
        self._closes_after_response = closes_after_response
        self._stats = stats or connection_stats.ConnectionStats()
        self._opened_at = trio.current_time()
        self.on_begun = on_begun
        self._has_read = False
        self._has_answered = False
        self._use = slots.Use.UNUSED
        self._used_since = trio.current_time()
        self._unread_since: float | None = None
        self.memory: memory.RequestMemory | None = None

    async def run(self) -> None:
        """Serve requests until either side closes the connection."""
        try:
            async with task_group.TaskGroup() as group:
                self._group = group
                self._protocol = self._new_protocol(group)
                await self._idle.restart(group, self._close_when_idle)
                await self._receive()
        except OSError as exc:
            logger.debug('connection from a caller failed: %s', exc)
        finally:
            await self._close()

    async def send_chunk(self, data: bytes) -> None:
        """Send a chunk of a response with chunked transfer encoding.

        There is one chunk for each token. hypercorn's protocol does not track
        chunks, so they bypass it.
        """
        if data and not self._last_response_sent and not self._closed:
            await self._send_bytes(b'%x\r\n%b\r\n' % (len(data), data))

    def peer_has_closed(self) -> bool:
        """Return whether the peer has closed the connection, without waiting.

        A process that is short of processor time reads requests late. The
        end of the connection then waits in the socket behind the request.
        """
        if self._closed:
            return True
        if self._fileno is None or not self._socket.is_readable():
            return False
        closed = streams.peer_has_closed(self._socket)
        if closed is not None:
            return closed
        with socket.fromfd(
            self._fileno, socket.AF_INET, socket.SOCK_STREAM
        ) as peeked:
            try:
                return not peeked.recv(1, socket.MSG_PEEK)
            except BlockingIOError:
                return False
            except OSError:
                return True

    def reset_on_close(self, resets: bool) -> None:
        """Choose whether the kernel resets the connection when it closes.

        That also holds when the process ends.
        """
        if not self._closed:
            linger = struct.pack('ii', int(resets), 0)
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )

    @contextlib.contextmanager
    def reading_paused(self) -> collections.abc.Iterator[None]:
        """Leave received bytes in the socket, so that the peer waits."""
        self._resumed = trio.Event()
        try:
            yield
        finally:
            resumed, self._resumed = self._resumed, None
            resumed.set()

    def enlarge_receive_buffer(self, body_bytes: int) -> None:
        """Enlarge the receive buffer for a long body, if there is memory.

        The bytes that wait in it are held until the request ends.

        Parameters
        ----------
        body_bytes : int
            Bytes of the body, as announced or received so far.
        """
        if (
            body_bytes <= self._receive_buffer
            or not self._receive_buffer
            or self._received_long_body
            or self.memory is None
        ):
            return
        extra = 2 * (LARGE_RECEIVE_BUFFER - self._receive_buffer)
        if self.memory.try_reserve(byte_budget.Part.BODIES, extra):
            self._received_long_body = True
            self._set_receive_buffer(LARGE_RECEIVE_BUFFER)

    def restore_receive_buffer(self) -> None:
        """Reduce the receive buffer again after a long body."""
        if self._received_long_body and not self._closed:
            self._set_receive_buffer(self._receive_buffer)

    def _set_receive_buffer(self, size: int) -> None:
        with contextlib.suppress(OSError):
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
            # The kernel does not open the window beyond the first buffer.
            self._socket.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_WINDOW_CLAMP, 2 * size
            )

    def _has_unasked_bytes(self) -> bool:
        """Return whether more bytes wait than the small buffer holds."""
        if not self._received_long_body or self._closed:
            return False
        self._received_long_body = False
        try:
            unread = fcntl.ioctl(self._socket, termios.FIONREAD, bytes(4))
        except OSError:
            return False
        (size,) = struct.unpack('i', unread)
        return bool(size > 2 * self._receive_buffer)

    def abort(self) -> None:
        """Close the socket immediately; pending sends and reads then fail."""
        self._closed = True
        self._fileno = None
        self._socket.close()
        # The reader may wait for the end of a request that takes long.
        self._reading.cancel()

    def _new_protocol(self, group: task_group.TaskGroup) -> Http:
        protocol = Http(
            self._app,
            self._config,
            self._context,
            group,
            hypercorn_typing.ConnectionState({CONNECTION_STATE: self}),
            self._secure,
            self._socket.getpeername()[:2],
            self._socket.getsockname()[:2],
            self._send,
        )
        protocol.closes_after_response = self._closes_after_response
        protocol.on_response = self._record_response
        return protocol

    def end_if_abandoned(self) -> None:
        """End a request whose client has gone and left bytes unread.

        Nothing else notices before a response is written, as the end of the
        connection waits behind these bytes.
        """
        if self._reader_held_since is not None and self.peer_has_closed():
            self._stop_reading()

    def slot(self) -> slots.Slot:
        """Return what the connection is used for."""
        urgency = 0 if self.memory is None else self.memory.urgency
        if self._use is slots.Use.ACTIVE:
            held_since, unread_since = (
                self._reader_held_since,
                self._unread_since,
            )
            if held_since is not None and self._has_bytes_behind_request():
                return slots.Slot(slots.Use.UNASKED, held_since, urgency)
            if unread_since is not None:
                return slots.Slot(slots.Use.UNREAD, unread_since, urgency)
        return slots.Slot(self._use, self._used_since, urgency)

    def _has_bytes_behind_request(self) -> bool:
        """Return whether more has been read than the present request.

        That the reader is held does not tell: it also is while a complete
        request is handled, for long if the process is short of processor time.
        """
        connection = self._protocol.connection
        return connection.their_state is h11.DONE and bool(
            connection.trailing_data[0]
        )

    @property
    def is_closed(self) -> bool:
        """Whether the socket is closed; its request may still be ending."""
        return self._closed

    def has_received(self) -> bool:
        """Return whether bytes have arrived that were not read yet."""
        return not self._closed and self._socket.is_readable()

    def _record_response(self) -> None:
        if not self._has_answered:
            self._has_answered = True
            self._record_stage(connection_stats.Stage.ANSWER)

    def _record_stage(self, stage: connection_stats.Stage) -> None:
        self._stats.record(stage, trio.current_time() - self._opened_at)

    def _start_use(self, use: slots.Use) -> None:
        self._use = use
        self._used_since = trio.current_time()
        self._unread_since = None

    async def _receive(self) -> None:
        self._reader = trio.lowlevel.current_task()
        with self._reading:
            while not self._closed:
                data = await self._receive_some()
                if data and not self._has_read:
                    self._has_read = True
                    self._record_stage(connection_stats.Stage.FIRST_READ)
                if not self._last_response_sent:
                    self._reader_held_since = trio.current_time()
                    with trio.CancelScope() as self._handling:
                        await self._protocol.handle(events.RawData(data))
                    self._reader_held_since = None
                    self.on_begun()
                if not data:
                    break
        self._read_all = True
        await self._protocol.handle(events.Closed())
        # Nothing can follow, so the connection takes no slot any longer.
        await self._idle.stop()

    async def _receive_some(self) -> bytes:
        if self._resumed is not None:
            await self._resumed.wait()
        try:
            return bytes(await self._stream.receive_some(MAX_RECEIVE_BYTES))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return b''

    async def _send(self, event: events.Event) -> None:
        if isinstance(event, events.RawData):
            await self._send_bytes(event.data)
        elif isinstance(event, events.Closed):
            await self._finish_last_response()
            await self._protocol.handle(events.Closed())
        elif isinstance(event, events.Updated):
            self._start_use(slots.Use.KEPT if event.idle else slots.Use.ACTIVE)
            if event.idle and self._has_unasked_bytes():
                await self._finish_last_response()
            elif event.idle and not self._read_all:
                await self._idle.restart(self._group, self._close_when_idle)
            else:
                await self._idle.stop()

    async def _send_bytes(self, data: bytes) -> None:
        try:
            if self._fileno is not None and not self._sending.locked():
                written = streams.write_now(self._fileno, data)
                if written == len(data):
                    self._unread_since = None
                    return
                # A copy of a large response would take as much memory.
                await self._send_rest(memoryview(data)[written:])
            elif data:
                await self._send_rest(memoryview(data))
        except (
            OSError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
        ):
            await self._end_broken()

    async def _end_broken(self) -> None:
        """Stop reading as well; the peer has gone.

        The reader may wait for a request to end that has ended with the
        stream, and requests that were received are not answered any more.
        """
        self._stop_reading()
        await self._protocol.handle(events.Closed())

    def _stop_reading(self) -> None:
        """Let the reader end the present request and the connection."""
        self._last_response_sent = True
        self._reading.cancel()

    async def _send_rest(self, data: memoryview) -> None:
        started = trio.current_time()
        if self._unread_since is None:
            self._unread_since = started
        await self._send_shielded(data)
        if trio.current_time() - started < BRIEF_SEND_S:
            self._unread_since = None

    async def _send_shielded(self, data: memoryview) -> None:
        # A cancelled send would leave an incomplete chunk on the connection.
        with trio.CancelScope(shield=True):
            async with self._sending:
                if self.memory is None:
                    await self._stream.send_all(data)
                    return
                with self.memory.writing(len(data)):
                    for start in range(0, len(data), MAX_SEND_BYTES):
                        piece = data[start : start + MAX_SEND_BYTES]
                        await self._stream.send_all(piece)
                        self.memory.record_progress(len(piece))

    async def _finish_last_response(self) -> None:
        """Close after the peer has had time to read the last response.

        If a socket is closed while it holds unread data, the kernel resets
        the connection and the peer loses data that it has not read yet.
        """
        self._last_response_sent = True
        self._reading.deadline = trio.current_time() + LINGER_S
        if trio.lowlevel.current_task() is not self._reader:
            # The reader may be blocked on a body that nobody consumes.
            self._handling.cancel()
        if isinstance(self._stream, trio.SocketStream):
            try:
                await self._stream.send_eof()
            except (
                trio.BrokenResourceError,
                trio.BusyResourceError,
                trio.ClosedResourceError,
            ):
                self._reading.cancel()

    async def _close_when_idle(self) -> None:
        with trio.move_on_after(self._config.keep_alive_timeout):
            await self._context.terminated.wait()
        with trio.CancelScope(shield=True):
            await self._protocol.handle(events.Closed())
            await self._close()

    async def _close(self) -> None:
        self._closed = True
        self._fileno = None
        deadline = trio.current_time() + CLOSE_TIMEOUT_S
        with trio.CancelScope(deadline=deadline, shield=True):
            await self._stream.aclose()


def _socket_of(stream: ByteStream) -> trio.socket.SocketType:
    transport: typing.Any = stream
    if not isinstance(stream, trio.SocketStream):
        transport = transport.transport_stream
    return typing.cast(trio.socket.SocketType, transport.socket)


__all__ = ['CONNECTION_STATE', 'ByteStream', 'Connection', 'Http']
