"""Pool of HTTP connections to the key-value service."""

import collections
import collections.abc
import dataclasses
import typing

import httpcore
import trio

from corianderloft._internal.metrics import control
from corianderloft._internal.network import streams

Headers = collections.abc.Sequence[tuple[bytes, bytes]]

MIN_BYTES_PER_S = 32 * 1024
"""Mean rate below which a reply counts as lost although bytes arrive; a
fraction of the narrowest link that carries other traffic as well."""

OnReceive = collections.abc.Callable[[int], None]
"""Called with the size of each part of a reply that arrives."""

MaySend = collections.abc.Callable[[], bool]
"""Returns whether a request may still be written."""

SocketOption = tuple[int, int, int] | tuple[int, int, bytes]
"""Level, name and value."""


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header; ``name`` is in lower case."""
    return next((v for n, v in headers if n.lower() == name), None)


@dataclasses.dataclass(frozen=True)
class Reply:
    """A complete HTTP reply; header names are as received."""

    status: int
    body: bytes
    headers: Headers = ()

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header; ``name`` is in lower case."""
        return find_header(self.headers, name)


@dataclasses.dataclass(frozen=True)
class NotSent:
    """The call failed before any byte of the request was sent."""

    detail: str


@dataclasses.dataclass(frozen=True)
class ReplyLost:
    """The request may have been sent; its reply did not arrive."""

    detail: str


CallResult = Reply | NotSent | ReplyLost


class Withheld(httpcore.LocalProtocolError):
    """A request was not written, or not completely, as it came too late."""


_WRITES = (
    'http11.send_request_headers.started',
    'http11.send_request_body.started',
)


class SendTrace:
    """Records whether httpcore started to send a request, and its reply.

    Parameters
    ----------
    may_send : callable or None
        Asked immediately before the head and the body are written; the
        request is abandoned if it returns false.

    Attributes
    ----------
    sent : bool
        Whether a part of the request may have been sent.
    received_bytes : int
        Bytes of the body of the reply that have arrived.
    """

    def __init__(self, may_send: MaySend | None = None) -> None:
        self._may_send = may_send
        self.sent = False
        self.received_bytes = 0

    async def __call__(self, event: str, _: typing.Any) -> None:
        """Handle an event of httpcore's ``trace`` extension."""
        if self._may_send and event in _WRITES and not self._may_send():
            raise Withheld('the request came too late')
        if event == 'http11.send_request_headers.started':
            self.sent = True


class _Deadline:
    """Time limit of a call, which what arrives of its reply extends.

    The reply must begin within the timeout, no two parts of it may be further
    apart, and all of it must arrive at a mean rate of `MIN_BYTES_PER_S`.

    Parameters
    ----------
    scope : CancelScope
        Scope of the call.
    timeout : float
        Timeout in seconds.
    """

    def __init__(self, scope: trio.CancelScope, timeout: float) -> None:
        self._scope = scope
        self._timeout = timeout
        self._latest = 0.0

    def note_head(self) -> None:
        """Record that the head of the reply has arrived."""
        self._latest = trio.current_time() + self._timeout
        self._scope.deadline = self._latest

    def note_part(self, size: int) -> None:
        """Record that a part of the body has arrived."""
        self._latest += size / MIN_BYTES_PER_S
        self._scope.deadline = min(
            self._latest, trio.current_time() + self._timeout
        )


class Connections:
    """Connections to one endpoint; each carries one call at a time.

    The most recently used idle connection is reused first.

    Parameters
    ----------
    endpoint : str
        URL of the service, with an IP address.
    connect_timeout, call_timeout : float
        Timeouts in seconds; the latter is for the beginning of a reply, and
        between two parts of it.
    idle_limit : int
        Maximum number of idle connections.
    idle_expiry : float
        Time after which an idle connection is not reused, in seconds.
    socket_options : sequence of SocketOption
        Options of each socket.
    """

    def __init__(
        self,
        endpoint: str,
        connect_timeout: float,
        call_timeout: float,
        idle_limit: int,
        idle_expiry: float,
        socket_options: collections.abc.Sequence[SocketOption] = (),
    ) -> None:
        self._socket_options = socket_options
        self._url = httpcore.URL(endpoint)
        self._connect_timeout = connect_timeout
        self._call_timeout = call_timeout
        self._idle_limit = idle_limit
        self._idle_expiry = idle_expiry
        self._idle: collections.deque[httpcore.AsyncHTTPConnection] = (
            collections.deque()
        )

    def open(self) -> httpcore.AsyncHTTPConnection:
        """Return a new connection, which is opened by its first request."""
        return streams.HttpConnection(
            self._url.origin,
            self._idle_expiry,
            socket_options=self._socket_options,
        )

    def request(
        self,
        path: str,
        content: bytes,
        trace: SendTrace,
        method: str = 'POST',
        extra_headers: Headers = (),
    ) -> httpcore.Request:
        """Build a request and count its bytes as sent."""
        control.count_bytes(control.Direction.SENT, len(path) + len(content))
        url = httpcore.URL(
            scheme=self._url.scheme,
            host=self._url.host,
            port=self._url.port,
            target=path.encode(),
        )
        host = self._url.host + b':%d' % (self._url.port or 80)
        headers = [
            (b'host', host),
            (b'content-type', b'application/json'),
            (b'content-length', str(len(content)).encode()),
            *extra_headers,
        ]
        extensions = {
            'trace': trace,
            'timeout': {'connect': self._connect_timeout},
        }
        return httpcore.Request(
            method,
            url,
            headers=headers,
            content=content,
            extensions=extensions,
        )

    async def post(self, path: str, content: bytes) -> CallResult:
        """Send a POST request and read the complete reply."""
        return await self.call('POST', path, content)

    async def call(
        self,
        method: str,
        path: str,
        content: bytes,
        hold_time: float = 0.0,
        on_receive: OnReceive | None = None,
        extra_headers: Headers = (),
        may_send: MaySend | None = None,
    ) -> CallResult:
        """Send a request and read the complete reply.

        The reply may take any time as long as it keeps arriving.

        Parameters
        ----------
        method, path, content
            The request.
        hold_time : float
            Time for which the service may delay the reply, in seconds.
        on_receive : callable or None
            Called for each part of the reply that arrives.
        extra_headers : sequence of tuple
            Further headers of the request.
        may_send : callable or None
            Whether the request may still be written; see `SendTrace`.
        """
        conn = await self._acquire()
        trace = SendTrace(may_send)
        result: CallResult | None = None
        req = self.request(path, content, trace, method, extra_headers)
        try:
            with trio.move_on_after(self._call_timeout + hold_time) as scope:
                deadline = _Deadline(scope, self._call_timeout)
                result = await self._exchange(
                    conn, req, trace, deadline, on_receive
                )
        finally:
            await self._release(conn, result)
        if result is not None:
            return result
        # Other idle connections may be dead as well.
        await self.aclose()
        return _failed(
            trace,
            f'{path}: no reply in {self._call_timeout} s, '
            f'{trace.received_bytes} bytes had arrived',
        )

    async def _exchange(
        self,
        conn: httpcore.AsyncHTTPConnection,
        req: httpcore.Request,
        trace: SendTrace,
        deadline: _Deadline,
        on_receive: OnReceive | None,
    ) -> CallResult:
        chunks = []
        try:
            response = await conn.handle_async_request(req)
            deadline.note_head()
            try:
                async for chunk in response.aiter_stream():
                    trace.received_bytes += len(chunk)
                    deadline.note_part(len(chunk))
                    if on_receive is not None:
                        on_receive(len(chunk))
                    chunks.append(chunk)
            finally:
                await response.aclose()
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as exc:
            return _failed(trace, f'{req.url.target.decode()}: {exc!r}')
        body = b''.join(chunks)
        control.count_bytes(control.Direction.RECEIVED, len(body))
        return Reply(response.status, body, response.headers)

    async def _acquire(self) -> httpcore.AsyncHTTPConnection:
        while self._idle:
            conn = self._idle.pop()
            if conn.is_available() and not conn.has_expired():
                return conn
            await close(conn)
        return self.open()

    async def _release(
        self,
        conn: httpcore.AsyncHTTPConnection,
        result: CallResult | None,
    ) -> None:
        reusable = isinstance(result, Reply) and conn.is_available()
        if reusable and len(self._idle) < self._idle_limit:
            self._idle.append(conn)
            return
        await close(conn)

    async def aclose(self) -> None:
        """Close all idle connections."""
        while self._idle:
            await close(self._idle.pop())


async def close(conn: httpcore.AsyncHTTPConnection) -> None:
    """Close a connection even if the calling task is cancelled."""
    with trio.CancelScope(shield=True):
        await conn.aclose()


def _failed(trace: SendTrace, detail: str) -> NotSent | ReplyLost:
    return ReplyLost(detail) if trace.sent else NotSent(detail)
