"""HTTP/1.1 connection to a backend server, based on h11.

A backend server may send a second response to a request, which then arrives
in place of the response to the next request. The user of a connection tells
responses apart by their request ID and skips one for an earlier request.
"""

import collections.abc
import dataclasses
import enum
import io
import socket
import typing

import h11
import trio

from corianderloft._internal.network import streams
from corianderloft._internal.network import turns

Headers = list[tuple[bytes, bytes]]
Reserve = collections.abc.Callable[[int], collections.abc.Awaitable[bool]]

MAX_RECEIVE_BYTES = 4096
"""Bytes read at once. A stream whose caller does not read holds several copies
of them."""

SMALL_HOST_RECEIVE_BUFFER = 8192
"""Receive buffer of connections on a host that states its memory. The kernel
doubles it. It fills while a caller does not read, and that counts as memory of
the process."""

MAX_JOINED_BYTES = 65536
"""Largest body that is copied to be sent together with the head."""

MAX_HEAD_BYTES = 65536
"""Largest response head."""

MAX_INFORMATIONAL_RESPONSES = 16
"""Responses with a status below 200 that are skipped before the response."""

STATUSES_WITHOUT_BODY = (204, 304)

KEEPALIVE_IDLE_S = 1
"""Idle time before the kernel sends the first TCP keep-alive probe."""

KEEPALIVE_PROBES = 3
"""Unanswered probes, one second apart, after which a connection is dead."""

END_SETTLING_S = 0.05
"""Time in which all sockets of a process that has ended are closed. The one
that listens may be the last of them."""

IDLE_TIMEOUT_FRACTION = 0.6
"""Fraction of a backend server's idle timeout for which a connection is
reused. The rest is a margin for bytes in transit."""


class FailureKind(enum.Enum):
    """Reasons why a connection failed."""

    REFUSED = 'refused'
    CONNECT_TIMEOUT = 'connect_timeout'
    RESET = 'reset'
    CLOSED = 'closed'
    MALFORMED = 'malformed'


@dataclasses.dataclass(frozen=True)
class ConnectionFailure:
    """The connection failed.

    Attributes
    ----------
    kind : FailureKind
        Reason.
    may_have_run : bool
        Whether any byte of the request may have been sent.
    detail : str
        Message of the operating system or of the parser.
    """

    kind: FailureKind
    may_have_run: bool
    detail: str


@dataclasses.dataclass(frozen=True)
class Head:
    """Status and headers of a response.

    Attributes
    ----------
    status : int
        HTTP status code.
    headers : list of (bytes, bytes)
        Headers.
    ends_with_connection : bool
        Whether the body has no length and ends with the connection.
    """

    status: int
    headers: Headers
    ends_with_connection: bool = False

    @property
    def length(self) -> int | None:
        """Announced length of the body; None if there is none."""
        return announced_length(self.headers)


def announced_length(headers: Headers) -> int | None:
    """Return the length in the headers of a response; None without one."""
    for name, value in headers:
        if name.lower() == b'content-length' and value.isdigit():
            return int(value)
    return None


def ends_with_connection(method: str, status: int, headers: Headers) -> bool:
    """Return whether the end of a response is that of its connection.

    Parameters
    ----------
    method : str
        Method of the request.
    status : int
        HTTP status code.
    headers : list of (bytes, bytes)
        Headers of the response.
    """
    if method == 'HEAD' or status in STATUSES_WITHOUT_BODY:
        return False
    return not any(
        name.lower() in (b'content-length', b'transfer-encoding')
        for name, _ in headers
    )


class EngineConnection:
    """A connection that carries one request at a time.

    Parameters
    ----------
    stream : SocketStream
        TCP connection.

    Attributes
    ----------
    idle_since : float
        When the last response ended, on trio's clock.
    idle_limit : float or None
        Idle time after which the connection is not reused, in seconds, derived
        from the timeout in the backend server's ``Keep-Alive`` header.
    used : bool
        Whether the connection has carried a request.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._method = ''
        self._sent = False
        self._send_failed = False
        self._ended = False
        self._parsed_ahead: h11.Event | ConnectionFailure | None = None
        self._turns = turns.Turns()
        self._placeholder_request: h11.Request | None = None
        self.idle_since = 0.0
        self.idle_limit: float | None = None
        self.used = False

    async def send(
        self, method: str, target: bytes, headers: Headers, body: bytes
    ) -> ConnectionFailure | None:
        """Send a request; return None on success."""
        fields = list(headers)
        if body or method not in ('GET', 'HEAD', 'DELETE'):
            fields.append((b'content-length', b'%d' % len(body)))
        req = h11.Request(method=method, target=target, headers=fields)
        self._placeholder_request = h11.Request(
            method=method, target=target, headers=[(b'host', b'-')]
        )
        data = self._http.send(req) or b''
        if body:
            self._http.send(h11.Data(data=body))
        self._http.send(h11.EndOfMessage())
        self._method = method
        self._sent = True
        try:
            if len(body) <= MAX_JOINED_BYTES:
                await self._stream.send_all(data + body)
            else:
                await self._stream.send_all(data)
                await self._stream.send_all(body)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            # The response may have arrived before the request was read.
            self._send_failed = True
            return self._failure(FailureKind.RESET, exc)
        return None

    async def head(self) -> Head | ConnectionFailure:
        """Wait for the head of the response."""
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            event = await self._next()
            if isinstance(event, ConnectionFailure):
                return event
            if isinstance(event, h11.Response):
                self._update_idle_limit(event)
                headers = [(n, v) for n, v in event.headers.raw_items()]
                return Head(
                    event.status_code,
                    headers,
                    ends_with_connection(
                        self._method, event.status_code, headers
                    ),
                )
            if not isinstance(event, h11.InformationalResponse):
                return self._failure(FailureKind.MALFORMED, repr(event))
        return self._failure(
            FailureKind.MALFORMED, 'too many informational responses'
        )

    async def read(self) -> bytes | ConnectionFailure | None:
        """Return the next part of the body; None at its end.

        Chunks that have arrived together are returned together.
        """
        event = await self._next()
        if isinstance(event, ConnectionFailure):
            return event
        if isinstance(event, h11.Data):
            return b''.join([event.data, *self._buffered_chunks()])
        if isinstance(event, h11.EndOfMessage):
            return None
        return self._failure(FailureKind.MALFORMED, repr(event))

    async def read_all(
        self, limit: int, reserve: Reserve | None = None
    ) -> bytes | ConnectionFailure:
        """Return the complete body.

        Parameters
        ----------
        limit : int
            Maximum size of the body in bytes.
        reserve : callable, optional
            Awaited with the size of each part before it is kept; returns
            whether there is memory for it.
        """
        # Its value is returned without a copy.
        body = io.BytesIO()
        while (chunk := await self.read()) is not None:
            if isinstance(chunk, ConnectionFailure):
                return chunk
            if body.tell() + len(chunk) > limit:
                return self._failure(
                    FailureKind.MALFORMED, f'its body exceeds {limit} bytes'
                )
            if reserve is not None and not await reserve(len(chunk)):
                return self._failure(
                    FailureKind.MALFORMED, 'no memory for its body'
                )
            body.write(chunk)
        return body.getvalue()

    async def skip_response(self, limit: int) -> ConnectionFailure | None:
        """Discard the rest of a response to an earlier request.

        The h11 parser accepts one response for each request, so a new parser
        receives the bytes that follow the discarded response.
        """
        size = 0
        while (chunk := await self.read()) is not None:
            if isinstance(chunk, ConnectionFailure):
                return chunk
            size += len(chunk)
            if size > limit:
                return self._failure(
                    FailureKind.MALFORMED, f'its body exceeds {limit} bytes'
                )
        assert self._placeholder_request is not None
        if self._http.their_state is h11.MUST_CLOSE:
            return self._failure(
                FailureKind.CLOSED, 'closed after a late answer'
            )
        rest, ended = self._http.trailing_data
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._http.send(self._placeholder_request)
        self._http.send(h11.EndOfMessage())
        if rest:
            self._http.receive_data(rest)
        if ended:
            self._http.receive_data(b'')
        return None

    def finish(self) -> bool:
        """Prepare for the next request; return False if that is impossible."""
        if self._http.their_state is not h11.DONE:
            return False
        if self._http.our_state is not h11.DONE or self._send_failed:
            return False
        if self._http.trailing_data[0]:
            return False
        self._http.start_next_cycle()
        self._sent = False
        self.used = True
        self.idle_since = trio.current_time()
        return True

    def usable(self, now: float, max_idle: float) -> bool:
        """Return whether an idle connection may carry another request."""
        return self.idle_time_left(now, max_idle) > 0 and self.is_open()

    def idle_time_left(self, now: float, max_idle: float) -> float:
        """Return how long it may stay idle, in seconds."""
        limit = max_idle
        if self.idle_limit is not None:
            limit = min(limit, self.idle_limit)
        return max(0.0, self.idle_since + limit - now)

    def is_open(self) -> bool:
        """Return whether nothing came on an idle connection, nor its end."""
        return not self._stream.socket.is_readable()

    def was_reset(self) -> bool:
        """Return whether the server has reset the connection by now."""
        return streams.was_reset(self._stream.socket)

    async def closes_within(self, seconds: float) -> bool:
        """Return whether an idle connection has ended, or ends in time."""
        if not self.is_open():
            return True
        with trio.move_on_after(max(0.0, seconds)):
            await trio.lowlevel.wait_readable(self._stream.socket)
            return True
        return False

    def close(self) -> None:
        """Close immediately; the backend server then cancels the request."""
        self._stream.socket.close()

    async def _next(self) -> h11.Event | ConnectionFailure:
        await self._turns.wait()
        event, self._parsed_ahead = self._parsed_ahead, None
        while event is None:
            event = self._parse()
            if event is None:
                failure = await self._receive()
                if failure is not None:
                    return failure
        self._turns.spend(1)
        return event

    def _buffered_chunks(self) -> typing.Iterator[bytes]:
        """Yield the chunks that have been received, for one turn at most."""
        for _ in range(turns.MAX_PARTS_PER_TURN):
            event = self._parse()
            if not isinstance(event, h11.Data):
                self._parsed_ahead = event
                return
            self._turns.spend(1)
            yield event.data

    def _parse(self) -> h11.Event | ConnectionFailure | None:
        """Return the next event in the received data, if it is complete."""
        try:
            event = self._http.next_event()
        except h11.RemoteProtocolError as exc:
            return self._failure(self._protocol_failure(), exc)
        if event is h11.PAUSED:
            return self._failure(FailureKind.MALFORMED, 'bytes after its end')
        if isinstance(event, h11.ConnectionClosed):
            return self._failure(FailureKind.CLOSED, 'closed')
        if event is h11.NEED_DATA:
            return None
        return event  # type: ignore[return-value]

    async def _receive(self) -> ConnectionFailure | None:
        try:
            data = await self._stream.receive_some(MAX_RECEIVE_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            return self._failure(FailureKind.RESET, exc)
        self._turns.received()
        self._ended = not data
        if self._ended and self._send_failed:
            # The failed send has consumed the error of the socket, so the
            # connection seems to have ended in order.
            return self._failure(FailureKind.RESET, 'the send has failed')
        try:
            self._http.receive_data(data)
        except h11.RemoteProtocolError as exc:
            return self._failure(self._protocol_failure(), exc)
        return None

    def _protocol_failure(self) -> FailureKind:
        """Tell a response that ends early from one that is malformed."""
        return FailureKind.CLOSED if self._ended else FailureKind.MALFORMED

    def _update_idle_limit(self, res: h11.Response) -> None:
        for name, value in res.headers:
            if name != b'keep-alive':
                continue
            for item in value.split(b','):
                key, _, number = item.strip().partition(b'=')
                if key.lower() == b'timeout' and number.strip().isdigit():
                    self.idle_limit = float(number) * IDLE_TIMEOUT_FRACTION

    def _failure(self, kind: FailureKind, detail: object) -> ConnectionFailure:
        return ConnectionFailure(kind, self._sent, str(detail))


async def connect(
    address: str, port: int, timeout: float, receive_buffer: int = 0
) -> EngineConnection | ConnectionFailure:
    """Open a connection to an IP address.

    Parameters
    ----------
    address : str
        IP address.
    port : int
        TCP port.
    timeout : float
        Timeout in seconds.
    receive_buffer : int
        Size of the kernel's receive buffer in bytes; 0 leaves it as it is.
    """
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        with trio.move_on_after(timeout):
            _set_options(sock)
            if receive_buffer:
                # The window that is offered in the handshake depends on it.
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer
                )
            await sock.connect((address, port))
            return EngineConnection(trio.SocketStream(sock))
    except OSError as exc:
        sock.close()
        return ConnectionFailure(FailureKind.REFUSED, False, str(exc))
    except BaseException:
        sock.close()
        raise
    sock.close()
    return ConnectionFailure(
        FailureKind.CONNECT_TIMEOUT, False, f'not connected in {timeout:g} s'
    )


async def connect_unless_ended(
    address: str, port: int, timeout: float
) -> EngineConnection | ConnectionFailure | None:
    """Open a connection; return None if the peer's process has just ended.

    Parameters
    ----------
    address : str
        IP address.
    port : int
        TCP port.
    timeout : float
        Timeout in seconds.
    """
    for _ in range(2):
        conn = await connect(address, port, timeout)
        if isinstance(conn, ConnectionFailure):
            return None if conn.kind is FailureKind.REFUSED else conn
        if not await conn.closes_within(END_SETTLING_S):
            return conn
        conn.close()
    # Something listens there: a server closes connections over its limit.
    return ConnectionFailure(FailureKind.RESET, False, 'closed at once')


async def has_ended_since(
    earlier: EngineConnection | ConnectionFailure,
    address: str,
    port: int,
    timeout: float,
) -> bool:
    """Return whether a peer's process has ended since a connection to it.

    A peer over its limit of connections closes the earlier one at once, and
    the next one too. If it takes the next one, another process has taken its
    place.

    Parameters
    ----------
    earlier : EngineConnection or ConnectionFailure
        What came of the earlier connection, which has carried no request.
    address : str
        IP address.
    port : int
        TCP port.
    timeout : float
        Timeout for another connection, in seconds.
    """
    if isinstance(earlier, ConnectionFailure):
        return earlier.kind is FailureKind.REFUSED
    if not await earlier.closes_within(END_SETTLING_S):
        return False
    conn = await connect(address, port, timeout)
    if isinstance(conn, ConnectionFailure):
        return conn.kind is FailureKind.REFUSED
    try:
        return not await conn.closes_within(END_SETTLING_S)
    finally:
        conn.close()


def _set_options(sock: trio.socket.SocketType) -> None:
    """Disable Nagle's algorithm and enable TCP keep-alive probes."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
