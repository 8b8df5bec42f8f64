"""One incoming request and its response, over ASGI."""

import collections.abc
import contextlib
import dataclasses
import io
import logging
import typing

from hypercorn import utils as hypercorn_utils
import orjson
import trio

from corianderloft._internal.network import byte_budget
from corianderloft._internal.network import engine_connection
from corianderloft._internal.network import inbound
from corianderloft._internal.network import memory

logger = logging.getLogger(__name__)

JSON = b'application/json'
EVENT_STREAM = b'text/event-stream'

BODY_WAIT_S = 1.0
"""Time that a request waits for memory for its body before it is refused."""

Headers = list[tuple[bytes, bytes]]
Message = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class BodyTooLarge:
    """The request body is longer than ``limit`` bytes."""

    limit: int


@dataclasses.dataclass(frozen=True)
class BodyTooSlow:
    """The request body did not arrive within ``seconds``."""

    seconds: float


@dataclasses.dataclass(frozen=True)
class NoMemory:
    """This process had no memory for the body within ``seconds``."""

    seconds: float


@dataclasses.dataclass(frozen=True)
class CallerDisconnected:
    """The caller closed the connection before the body was complete."""


Body = bytes | BodyTooLarge | BodyTooSlow | NoMemory | CallerDisconnected


class Exchange:
    """One request and its response.

    Parameters
    ----------
    scope, receive, send
        The arguments of an ASGI application.

    Attributes
    ----------
    method : str
        HTTP method.
    path : str
        Decoded path without query.
    http_version : str
        Version of HTTP that the caller speaks.
    started : bool
        Whether the headers of the response were sent.
    memory : RequestMemory or None
        Bytes held for the request.
    """

    def __init__(
        self,
        scope: Message,
        receive: collections.abc.Callable[
            [], collections.abc.Awaitable[Message]
        ],
        send: collections.abc.Callable[
            [Message], collections.abc.Awaitable[None]
        ],
    ) -> None:
        self._receive = receive
        self._send_message = send
        self._connection: inbound.Connection | None = scope.get(
            'state', {}
        ).get(inbound.CONNECTION_STATE)
        self.memory: memory.RequestMemory | None = None
        if self._connection is not None:
            self.memory = self._connection.memory
        self.method: str = scope['method']
        self.path: str = scope['path']
        self.raw_path: bytes = scope['raw_path']
        self.query: bytes = scope['query_string']
        self.headers: Headers = scope['headers']
        self.started = False
        self.http_version: str = scope['http_version']
        self._chunked = self.http_version == '1.1'

    async def _send(self, message: Message) -> None:
        """Send an ASGI message, unless the caller has disconnected."""
        try:
            await self._send_message(message)
        except hypercorn_utils.UnexpectedMessageError as exc:
            logger.debug(
                'caller disconnected before the response ended: %s', exc
            )

    def header(self, name: bytes) -> str | None:
        """Return the first header called ``name`` (lower case), or None."""
        value = next((v for n, v in self.headers if n == name), None)
        return None if value is None else value.decode('latin-1')

    async def body(self, limit: int, timeout: float) -> Body:
        """Read the complete body.

        Its memory is reserved by the announced length before it is read, or
        as it arrives.

        Parameters
        ----------
        limit : int
            Maximum size of the body in bytes.
        timeout : float
            Timeout in seconds.
        """
        announced = self._announced_length()
        if announced is not None and announced > limit:
            return BodyTooLarge(limit)
        if not await self.reserve_body(announced or 0):
            return NoMemory(BODY_WAIT_S)
        with self._receiving(announced or 0), trio.move_on_after(timeout):
            return await self._read_body(limit, announced is not None)
        return BodyTooSlow(timeout)

    @contextlib.contextmanager
    def _receiving(self, announced: int) -> collections.abc.Iterator[None]:
        if self.memory is None or self._connection is None:
            yield
            return
        self.memory.start_receiving()
        self._connection.enlarge_receive_buffer(announced)
        try:
            yield
        finally:
            self._connection.restore_receive_buffer()
            self.memory.stop_receiving()

    def _announced_length(self) -> int | None:
        length = self.header(b'content-length')
        # Chunks take precedence over a length.
        if length is None or self.header(b'transfer-encoding') is not None:
            return None
        return int(length)

    async def _read_body(self, limit: int, reserved: bool) -> Body:
        # A list would need many times the memory of a body that arrives in
        # tiny parts. The value is returned without a copy.
        body = io.BytesIO()
        while True:
            message = await self._receive()
            if message['type'] == 'http.disconnect':
                return CallerDisconnected()
            part = message.get('body', b'')
            if body.tell() + len(part) > limit:
                return BodyTooLarge(limit)
            if not reserved and not await self.reserve_body(len(part)):
                return NoMemory(BODY_WAIT_S)
            body.write(part)
            if self.memory is not None:
                self.memory.record_progress(len(part))
            if self._connection is not None:
                self._connection.enlarge_receive_buffer(body.tell())
            if not message.get('more_body', False):
                return body.getvalue()

    async def reserve_body(self, size: int) -> bool:
        """Reserve memory for the body; return False if there is none in time.

        Parameters
        ----------
        size : int
            Further bytes that the body takes.
        """
        if self.memory is None or self._connection is None:
            return True
        bodies = byte_budget.Part.BODIES
        if self.memory.try_reserve(bodies, size):
            return True
        with self._connection.reading_paused():
            return await self.memory.reserve(bodies, size, BODY_WAIT_S)

    async def wait_for_disconnect(self) -> None:
        """Wait until the caller closes the connection."""
        while True:
            message = await self._receive()
            if message['type'] == 'http.disconnect':
                return

    def caller_has_left(self) -> bool:
        """Return whether the caller has closed the connection by now."""
        return (
            self._connection is not None and self._connection.peer_has_closed()
        )

    async def respond(
        self,
        status: int,
        body: bytes,
        content_type: bytes = JSON,
        headers: collections.abc.Sequence[tuple[bytes, bytes]] = (),
    ) -> None:
        """Send a complete response."""
        fields = [(b'content-type', content_type), *headers]
        await self.respond_raw(status, fields, body)

    async def respond_raw(
        self,
        status: int,
        headers: collections.abc.Sequence[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Send a complete response; ``Content-Length`` is added."""
        length = (b'content-length', b'%d' % len(body))
        has_started = self.started
        await self.start(status, [*headers, length])
        if has_started:
            return
        await self._send({'type': 'http.response.body', 'body': body})

    async def start(
        self,
        status: int,
        headers: collections.abc.Sequence[tuple[bytes, bytes]],
    ) -> None:
        """Send the status and headers of a response.

        A second head would be added to the body of the response that has
        started, so the connection is closed instead.
        """
        if self.started:
            logger.error('a second response to a request was not sent')
            self.abort()
            return
        self.started = True
        if not self._chunked and not _has_length(status, headers):
            self._reset_on_close(True)
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': list(headers),
            }
        )

    async def respond_json(
        self,
        status: int,
        value: typing.Any,
        headers: collections.abc.Sequence[tuple[bytes, bytes]] = (),
    ) -> None:
        """Send a complete response as JSON."""
        await self.respond(status, orjson.dumps(value), JSON, headers)

    async def start_stream(
        self, headers: collections.abc.Sequence[tuple[bytes, bytes]] = ()
    ) -> None:
        """Send the headers of an event stream."""
        fields = [
            (b'content-type', EVENT_STREAM),
            (b'cache-control', b'no-store'),
            *headers,
        ]
        await self.start(200, fields)

    async def send_events(self, data: bytes) -> None:
        """Send a part of a started event stream."""
        if self._chunked and self._connection is not None:
            await self._connection.send_chunk(data)
            return
        await self._send(
            {'type': 'http.response.body', 'body': data, 'more_body': True}
        )

    async def end_stream(self) -> None:
        """End a started event stream."""
        self._reset_on_close(False)
        await self._send({'type': 'http.response.body', 'body': b''})

    def _reset_on_close(self, resets: bool) -> None:
        """Choose how the end of the connection looks to the caller.

        Without chunks or a length, the response ends with its connection. A
        cut one must not end as a complete one does, even if it is cut by the
        end of this process.
        """
        if self._connection is not None and not self._chunked:
            self._connection.reset_on_close(resets)

    def abort(self) -> None:
        """Close the caller's connection immediately."""
        if self._connection is not None:
            self._connection.abort()


def _has_length(
    status: int, headers: collections.abc.Sequence[tuple[bytes, bytes]]
) -> bool:
    return status in engine_connection.STATUSES_WITHOUT_BODY or any(
        name.lower() == b'content-length' for name, _ in headers
    )
