"""One request to a peer and the answer to it."""

import collections.abc
import dataclasses
import typing

import httpcore
import trio

from corianderloft._internal.decisions import interface
from corianderloft._internal.network import connections
from corianderloft._internal.network import silence
from corianderloft._internal.network import streams

_BROKEN = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
CLOSE_TIME = 1.0
"""Time for the end of an answer to be read, in seconds."""

Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True)
class Message:
    """A request as it is sent.

    Attributes
    ----------
    method : str
        HTTP method.
    target : bytes
        Path with query.
    headers : list of (bytes, bytes)
        Headers without host and length.
    body : bytes
        Body.
    idempotent : bool
        Without it, only a connection known to be live carries the request.
    """

    method: str
    target: bytes
    headers: Headers
    body: bytes
    idempotent: bool = True


@dataclasses.dataclass(frozen=True)
class Head:
    """Status and headers of an answer."""

    status: int
    headers: Headers

    def header(self, name: bytes) -> bytes | None:
        """Return the first header called ``name`` (lower case), or None."""
        return next((v for n, v in self.headers if n.lower() == name), None)


@dataclasses.dataclass(frozen=True)
class Failure:
    """No whole answer came.

    Attributes
    ----------
    end : AttemptEnd
        What happened.
    may_have_run : bool
        Whether a byte of the request may have reached the peer.
    detail : str
        Message that names the peer.
    """

    end: interface.AttemptEnd
    may_have_run: bool
    detail: str


class Outbound:
    """One request on one kept connection.

    Parameters
    ----------
    kept : Connections
        Where connections come from and go back to.
    watch : SilenceMonitor
        Notices a peer gone silent.
    peer : Peer
        Where the request goes.
    name : str
        Names the peer in messages.
    connect_time : float
        Time for a new connection to be made, in seconds.
    """

    def __init__(
        self,
        kept: connections.Connections,
        watch: silence.SilenceMonitor,
        peer: connections.Peer,
        name: str,
        connect_time: float,
    ) -> None:
        self._kept = kept
        self._watch = watch
        self._connect_time = connect_time
        self._connection: connections.Connection | None = None
        self._response: httpcore.Response | None = None
        self._chunks: collections.abc.AsyncIterator[bytes] | None = None
        self._peer = peer
        self._name = name

    async def send(self, message: Message, bound: float) -> Head | Failure:
        """Send a request and wait for the head of the answer.

        Parameters
        ----------
        message : Message
            The request.
        bound : float
            Longest silence of the peer in seconds.
        """
        connection = await self._kept.acquire(self._peer, message.idempotent)
        self._connection = connection
        with self._watch.guard(bound) as guard:
            guard.start_wait()
            try:
                response = await connection.http.handle_async_request(
                    self._request(message)
                )
            except (httpcore.ConnectError, httpcore.ConnectTimeout) as exc:
                return self._failure(
                    interface.AttemptEnd.CONNECT_FAILED, exc, False
                )
            except _BROKEN as exc:
                return self._failure(
                    interface.AttemptEnd.CONNECTION_LOST, exc, True
                )
            self._response = response
            self._chunks = response.aiter_stream().__aiter__()
            return Head(response.status, response.headers)
        return self.silence_failure(bound)

    async def read(self) -> bytes | Failure | None:
        """Return the next piece of the body; None at its end."""
        assert self._chunks is not None
        try:
            return await anext(self._chunks)
        except StopAsyncIteration:
            return None
        except _BROKEN as exc:
            return self._failure(
                interface.AttemptEnd.CONNECTION_LOST, exc, True
            )

    async def read_all(self, limit: int, bound: float) -> bytes | Failure:
        """Return the whole body.

        Parameters
        ----------
        limit : int
            Longest body in bytes.
        bound : float
            Longest silence of the peer in seconds.
        """
        parts: list[bytes] = []
        size = 0
        with self._watch.guard(bound) as guard:
            while True:
                guard.start_wait()
                part = await self.read()
                if part is None:
                    return b''.join(parts)
                if isinstance(part, Failure):
                    return part
                size += len(part)
                if size > limit:
                    return self._failure(
                        interface.AttemptEnd.BACKEND_ERROR,
                        f'its answer is longer than {limit} bytes',
                        True,
                    )
                parts.append(part)
        return self.silence_failure(bound)

    def set_read_hook(self, hook: streams.Hook | None) -> None:
        """Await ``hook`` whenever all that has arrived was read."""
        if self._connection is not None:
            self._connection.set_read_hook(hook)

    def silence_failure(self, bound: float) -> Failure:
        """Return the failure of a peer that sent nothing."""
        return self._failure(
            interface.AttemptEnd.SILENT, f'nothing for {bound:g} s', True
        )

    async def close(self) -> None:
        """Keep the connection if the answer was read whole, or close it."""
        connection, self._connection = self._connection, None
        if connection is None:
            return
        until = trio.current_time() + CLOSE_TIME
        with trio.CancelScope(deadline=until, shield=True):
            if self._response is not None:
                await self._response.aclose()
            await self._kept.release(self._peer, connection)

    def _request(self, message: Message) -> httpcore.Request:
        host = f'{self._peer.address}:{self._peer.port}'
        headers = [
            (b'host', host.encode('ascii')),
            *message.headers,
        ]
        if message.body or message.method not in ('GET', 'HEAD', 'DELETE'):
            headers.append((b'content-length', b'%d' % len(message.body)))
        url = httpcore.URL(
            scheme=self._kept.scheme,
            host=self._peer.address.encode('ascii'),
            port=self._peer.port,
            target=message.target,
        )
        extensions: dict[str, typing.Any] = {
            'timeout': {'connect': self._connect_time}
        }
        return httpcore.Request(
            message.method,
            url,
            headers=headers,
            content=message.body,
            extensions=extensions,
        )

    def _failure(
        self,
        end: interface.AttemptEnd,
        cause: object,
        may_have_run: bool,
    ) -> Failure:
        detail = f'{self._name}: {cause}'
        return Failure(end, may_have_run, detail)
