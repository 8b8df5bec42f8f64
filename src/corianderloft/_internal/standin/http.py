"""Helpers for writing a stand-in as an ASGI application."""

import collections.abc
import dataclasses
import typing

import hypercorn.config
import hypercorn.trio
import orjson
import trio

Scope = dict[str, typing.Any]
Receive = collections.abc.Callable[
    [], collections.abc.Awaitable[dict[str, typing.Any]]
]
Send = collections.abc.Callable[
    [dict[str, typing.Any]], collections.abc.Awaitable[None]
]

KEEP_ALIVE_TIMEOUT_S = 75.0
LISTEN_BACKLOG = 1024  # connections

JSON_TYPE = b'application/json'
EVENT_STREAM_TYPE = b'text/event-stream'


@dataclasses.dataclass
class Call:
    """One HTTP request to a stand-in, with methods to respond to it.

    Attributes
    ----------
    method, path : str
        HTTP method and path, without the query string.
    query : str
        Query string.
    headers : dict of str to str
        Headers by lower-case name.
    body : bytes
        Complete request body.
    common_headers : dict of str to str
        Headers that every response gets.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    _receive: Receive
    _send: Send
    _response_ended: bool = False
    common_headers: dict[str, str] = dataclasses.field(default_factory=dict)

    def json(self) -> dict[str, typing.Any] | None:
        """Return the body as a JSON object, or None if it is not one."""
        try:
            decoded = orjson.loads(self.body or b'{}')
        except orjson.JSONDecodeError:
            return None
        return decoded if isinstance(decoded, dict) else None

    async def reply(
        self,
        body: typing.Any,
        status: int = 200,
        headers: collections.abc.Mapping[str, str] | None = None,
    ) -> None:
        """Send a complete response with a JSON body."""
        raw = orjson.dumps(body)
        extra = {'content-length': str(len(raw))} | dict(headers or {})
        await self.start(JSON_TYPE, status, extra)
        self._response_ended = True
        await self._send({'type': 'http.response.body', 'body': raw})

    async def start(
        self,
        content_type: bytes,
        status: int = 200,
        headers: collections.abc.Mapping[str, str] | None = None,
    ) -> None:
        """Start a streamed response."""
        raw = [(b'content-type', content_type)]
        raw += [
            (name.encode(), value.encode())
            for name, value in (
                self.common_headers | dict(headers or {})
            ).items()
        ]
        await self._send(
            {'type': 'http.response.start', 'status': status, 'headers': raw}
        )

    async def chunk(self, data: bytes) -> None:
        """Send the next chunk of a streamed response."""
        await self._send(
            {'type': 'http.response.body', 'body': data, 'more_body': True}
        )

    async def finish(self) -> None:
        """End a streamed response."""
        self._response_ended = True
        await self._send({'type': 'http.response.body', 'body': b''})

    async def drop_connection(self) -> None:
        """Close the connection without a complete response.

        The server closes it because the body is shorter than its
        ``Content-Length``.
        """
        await self.start(JSON_TYPE, headers={'content-length': '1'})

    async def wait_disconnected(self) -> None:
        """Wait until the peer disconnects before the response has ended."""
        while True:
            message = await self._receive()
            if (
                message['type'] == 'http.disconnect'
                and not self._response_ended
            ):
                return


Handler = collections.abc.Callable[[Call], collections.abc.Awaitable[None]]


class Routes:
    """ASGI application that dispatches by method and path.

    Parameters
    ----------
    handlers : mapping of str to Handler
        Keyed by ``'METHOD /path'``; a path that ends in ``/*`` matches
        every path below it.
    """

    def __init__(
        self, handlers: collections.abc.Mapping[str, Handler]
    ) -> None:
        self._exact = {
            key: handler
            for key, handler in handlers.items()
            if not key.endswith('/*')
        }
        self._by_prefix = {
            key[:-1]: handler
            for key, handler in handlers.items()
            if key.endswith('/*')
        }

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one request, or the lifespan events of the server."""
        if scope['type'] == 'lifespan':
            await _handle_lifespan(receive, send)
            return
        call = await _read_call(scope, receive, send)
        if call is None:
            return
        handler = self._find(f'{call.method} {call.path}')
        if handler is None:
            await call.reply({'error': f'no {call.method} {call.path}'}, 404)
            return
        await handler(call)

    def _find(self, key: str) -> Handler | None:
        if key in self._exact:
            return self._exact[key]
        matches = (
            handler
            for prefix, handler in self._by_prefix.items()
            if key.startswith(prefix)
        )
        return next(matches, None)


async def _read_call(
    scope: Scope, receive: Receive, send: Send
) -> Call | None:
    """Read the complete request; None if the peer disconnects first."""
    chunks = []
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            return None
        chunks.append(message.get('body', b''))
        if not message.get('more_body'):
            break
    headers = {
        name.decode().lower(): value.decode()
        for name, value in scope['headers']
    }
    return Call(
        scope['method'],
        scope['path'],
        scope['query_string'].decode(),
        headers,
        b''.join(chunks),
        receive,
        send,
    )


async def _handle_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        kind = message['type']
        await send({'type': f'{kind}.complete'})
        if kind == 'lifespan.shutdown':
            return


async def serve(
    app: Routes, port: int, task_status: trio.TaskStatus[int]
) -> None:
    """Serve ``app`` on loopback.

    Reports the bound port through ``task_status``.
    """
    config = hypercorn.config.Config()
    config.bind = [f'127.0.0.1:{port}']
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.backlog = LISTEN_BACKLOG
    config.loglevel = 'WARNING'
    async with trio.open_nursery() as nursery:
        binds = await nursery.start(hypercorn.trio.serve, app, config)
        task_status.started(int(binds[0].rpartition(':')[2]))
