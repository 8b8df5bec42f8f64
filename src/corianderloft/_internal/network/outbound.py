"""One outgoing request and its response."""

import collections.abc
import dataclasses
import io
import typing

import httpcore
import trio

from corianderloft._internal.decisions import interface
from corianderloft._internal.network import connections
from corianderloft._internal.network import engine_connection
from corianderloft._internal.network import silence
from corianderloft._internal.network import streams

_BROKEN = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
CLOSE_TIMEOUT_S = 1.0
"""Time to close a response and to release its connection."""

Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True)
class Message:
    """A request to send.

    Attributes
    ----------
    method : str
        HTTP method.
    target : bytes
        Path and query.
    headers : list of (bytes, bytes)
        Headers except ``Host`` and ``Content-Length``.
    body : bytes
        Body.
    idempotent : bool
        Whether the request may be repeated. If not, only a connection that
        was used a moment ago is reused.
    """

    method: str
    target: bytes
    headers: Headers
    body: bytes
    idempotent: bool = True


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

    def header(self, name: bytes) -> bytes | None:
        """Return the first header called ``name`` (lower case), or None."""
        return next((v for n, v in self.headers if n.lower() == name), None)


@dataclasses.dataclass(frozen=True)
class Failure:
    """No complete response was received.

    Attributes
    ----------
    end : AttemptEnd
        How the attempt ended.
    may_have_run : bool
        Whether any byte of the request may have reached the peer.
    detail : str
        Error message with the name of the peer.
    """

    end: interface.AttemptEnd
    may_have_run: bool
    detail: str


class _Withdrawn(Exception):
    """Stops a request within httpcore before any of it is sent."""


class Outbound:
    """One request on a pooled connection.

    Parameters
    ----------
    pool : Connections
        Pool of connections.
    monitor : SilenceMonitor
        Detects that the peer sends nothing.
    peer : Peer
        Destination of the request.
    name : str
        Name of the peer in error messages.
    connect_timeout : float
        Timeout for a new connection in seconds.
    may_send : callable
        Returns whether the peer still accepts new work; called right before
        the request is sent, once there is a connection.
    """

    def __init__(
        self,
        pool: connections.Connections,
        monitor: silence.SilenceMonitor,
        peer: connections.Peer,
        name: str,
        connect_timeout: float,
        may_send: collections.abc.Callable[[], bool] = lambda: True,
    ) -> None:
        self._may_send = may_send
        self._pool = pool
        self._monitor = monitor
        self._connect_timeout = connect_timeout
        self._connection: connections.Connection | None = None
        self._response: httpcore.Response | None = None
        self._chunks: collections.abc.AsyncIterator[bytes] | None = None
        self._peer = peer
        self._name = name

    async def send(self, message: Message, timeout: float) -> Head | Failure:
        """Send a request and wait for the head of the response.

        Parameters
        ----------
        message : Message
            The request.
        timeout : float
            Timeout without data from the peer, in seconds.
        """
        connection = await self._pool.acquire(self._peer, message.idempotent)
        self._connection = connection
        with self._monitor.guard(timeout) as guard:
            guard.start_wait()
            try:
                response = await connection.http.handle_async_request(
                    self._request(message)
                )
            except (
                httpcore.ConnectError,
                httpcore.ConnectTimeout,
                _Withdrawn,
            ) as exc:
                return self._failure(
                    interface.AttemptEnd.CONNECT_FAILED, exc, False
                )
            except _BROKEN as exc:
                return self._failure(
                    interface.AttemptEnd.CONNECTION_LOST, exc, True
                )
            self._response = response
            self._chunks = response.aiter_stream().__aiter__()
            return Head(
                response.status,
                response.headers,
                engine_connection.ends_with_connection(
                    message.method, response.status, response.headers
                ),
            )
        return self.silence_failure(timeout)

    async def read(self) -> bytes | Failure | None:
        """Return the next chunk of the body; None at its end."""
        assert self._chunks is not None
        assert self._connection is not None
        connection_turns = self._connection.network.turns
        await connection_turns.wait()
        connection_turns.spend(1)
        try:
            return await anext(self._chunks)
        except StopAsyncIteration:
            return None
        except _BROKEN as exc:
            return self._failure(
                interface.AttemptEnd.CONNECTION_LOST, exc, True
            )

    async def read_all(
        self,
        limit: int,
        timeout: float,
        reserve: engine_connection.Reserve | None = None,
    ) -> bytes | Failure:
        """Return the complete body.

        Parameters
        ----------
        limit : int
            Maximum size of the body in bytes.
        timeout : float
            Timeout without data from the peer, in seconds.
        reserve : callable, optional
            Awaited with the size of each part before it is kept; returns
            whether there is memory for it.
        """
        # Its value is returned without a copy.
        body = io.BytesIO()
        with self._monitor.guard(timeout) as guard:
            while True:
                guard.start_wait()
                chunk = await self.read()
                if chunk is None:
                    return body.getvalue()
                if isinstance(chunk, Failure):
                    return chunk
                if body.tell() + len(chunk) > limit:
                    return self._failure(
                        interface.AttemptEnd.BACKEND_ERROR,
                        f'its answer is longer than {limit} bytes',
                        True,
                    )
                # The peer waits for this host, which is not its silence.
                guard.end_wait()
                if reserve is not None and not await reserve(len(chunk)):
                    return self._failure(
                        interface.AttemptEnd.BACKEND_ERROR,
                        'no memory for its answer',
                        True,
                    )
                body.write(chunk)
        return self.silence_failure(timeout)

    def was_reset(self) -> bool:
        """Return whether the peer has reset the connection by now."""
        connection = self._connection
        if connection is None or connection.network.stream is None:
            return False
        return connection.network.stream.was_reset()

    def set_read_hook(self, hook: streams.Hook | None) -> None:
        """Set the hook that is awaited before each read of the socket."""
        if self._connection is not None:
            self._connection.set_read_hook(hook)

    def silence_failure(self, timeout: float) -> Failure:
        """Return the failure of a peer that sent nothing for ``timeout`` s."""
        return self._failure(
            interface.AttemptEnd.SILENT, f'nothing for {timeout:g} s', True
        )

    async def close(self) -> None:
        """Keep the connection after a complete response, or close it."""
        connection, self._connection = self._connection, None
        # The response refers to the request, and that to this object, a cycle
        # that would keep the body until the next garbage collection.
        response, self._response = self._response, None
        self._chunks = None
        if connection is None:
            return
        deadline = trio.current_time() + CLOSE_TIMEOUT_S
        with trio.CancelScope(deadline=deadline, shield=True):
            if response is not None:
                await response.aclose()
            await self._pool.release(self._peer, connection)

    def _request(self, message: Message) -> httpcore.Request:
        host = f'{self._peer.address}:{self._peer.port}'
        headers = [
            (b'host', host.encode('ascii')),
            *message.headers,
        ]
        if message.body or message.method not in ('GET', 'HEAD', 'DELETE'):
            headers.append((b'content-length', b'%d' % len(message.body)))
        url = httpcore.URL(
            scheme=self._pool.scheme,
            host=self._peer.address.encode('ascii'),
            port=self._peer.port,
            target=message.target,
        )
        extensions: dict[str, typing.Any] = {
            'timeout': {'connect': self._connect_timeout},
            'trace': self._check_before_send,
        }
        return httpcore.Request(
            message.method,
            url,
            headers=headers,
            content=message.body,
            extensions=extensions,
        )

    async def _check_before_send(self, event: str, _: typing.Any) -> None:
        """Handle an event of httpcore's ``trace`` extension."""
        starts = event == 'http11.send_request_headers.started'
        if starts and not self._may_send():
            raise _Withdrawn('it has left since it was chosen')

    def _failure(
        self,
        end: interface.AttemptEnd,
        cause: object,
        may_have_run: bool,
    ) -> Failure:
        detail = f'{self._name}: {cause}'
        return Failure(end, may_have_run, detail)
