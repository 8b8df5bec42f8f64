"""Connections to the key-value service, one call at a time on each."""

import collections
import dataclasses
import typing

import httpcore
import trio

from corianderloft._internal.metrics import control


@dataclasses.dataclass(frozen=True)
class Reply:
    """A whole HTTP reply."""

    status: int
    body: bytes


@dataclasses.dataclass(frozen=True)
class NotSent:
    """The call failed before any byte of the request was sent."""

    detail: str


@dataclasses.dataclass(frozen=True)
class ReplyLost:
    """The request may have been sent; its reply did not arrive."""

    detail: str


CallResult = Reply | NotSent | ReplyLost


class SendTrace:
    """Notes whether a request began to leave on its connection."""

    def __init__(self) -> None:
        self.sent = False

    async def __call__(self, event: str, _: typing.Any) -> None:
        """Take in one event of httpcore's ``trace`` extension."""
        if event == 'http11.send_request_headers.started':
            self.sent = True


class Connections:
    """Idle connections to one endpoint, newest first.

    Parameters
    ----------
    endpoint : str
        URL of the service, by IP number.
    connect_timeout, call_timeout : float
        Bounds in seconds.
    idle_limit : int
        Idle connections to keep.
    idle_expiry : float
        Time after which an idle connection is not used, in seconds.
    """

    def __init__(
        self,
        endpoint: str,
        connect_timeout: float,
        call_timeout: float,
        idle_limit: int,
        idle_expiry: float,
    ) -> None:
        self._url = httpcore.URL(endpoint)
        self._connect_timeout = connect_timeout
        self._call_timeout = call_timeout
        self._idle_limit = idle_limit
        self._idle_expiry = idle_expiry
        self._idle: collections.deque[httpcore.AsyncHTTPConnection] = (
            collections.deque()
        )

    def open(self) -> httpcore.AsyncHTTPConnection:
        """Return a new connection, which connects at its first request."""
        return httpcore.AsyncHTTPConnection(
            origin=self._url.origin, keepalive_expiry=self._idle_expiry
        )

    def request(
        self,
        path: str,
        content: bytes,
        trace: SendTrace,
        method: str = 'POST',
    ) -> httpcore.Request:
        """Return a request with ``content`` to ``path``, counted as sent."""
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
        """Send one call and read its whole reply."""
        return await self.call('POST', path, content)

    async def call(
        self, method: str, path: str, content: bytes, waits: float = 0.0
    ) -> CallResult:
        """Send one call and read its whole reply.

        Parameters
        ----------
        method, path, content
            The request.
        waits : float
            Time for which the service may hold the reply back, in seconds.
        """
        conn = await self._take()
        trace = SendTrace()
        result: CallResult | None = None
        req = self.request(path, content, trace, method)
        try:
            with trio.move_on_after(self._call_timeout + waits):
                result = await self._exchange(conn, req, trace)
        finally:
            await self._give_back(conn, result)
        if result is not None:
            return result
        # Other idle connections may have gone silent together with this one.
        await self.aclose()
        return _failed(trace, f'{path}: no reply in {self._call_timeout} s')

    async def _exchange(
        self,
        conn: httpcore.AsyncHTTPConnection,
        req: httpcore.Request,
        trace: SendTrace,
    ) -> CallResult:
        try:
            response = await conn.handle_async_request(req)
            try:
                body = await response.aread()
            finally:
                await response.aclose()
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as exc:
            return _failed(trace, f'{req.url.target.decode()}: {exc!r}')
        control.count_bytes(control.Direction.RECEIVED, len(body))
        return Reply(response.status, body)

    async def _take(self) -> httpcore.AsyncHTTPConnection:
        while self._idle:
            conn = self._idle.pop()
            if conn.is_available() and not conn.has_expired():
                return conn
            await close(conn)
        return self.open()

    async def _give_back(
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
    """Close a connection, also while the calling task is cancelled."""
    with trio.CancelScope(shield=True):
        await conn.aclose()


def _failed(trace: SendTrace, detail: str) -> NotSent | ReplyLost:
    return ReplyLost(detail) if trace.sent else NotSent(detail)
