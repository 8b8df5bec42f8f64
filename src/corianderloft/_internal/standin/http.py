"""A few helpers to write a stand-in as an ASGI application."""

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

KEEP_ALIVE_TIMEOUT = 75.0  # s
BACKLOG = 1024  # connections

JSON_TYPE = b'application/json'
EVENT_STREAM_TYPE = b'text/event-stream'


@dataclasses.dataclass
class Call:
    """One HTTP request to a stand-in, and the ways to answer it.

    Attributes
    ----------
    method, path : str
        What is called.
    headers : dict of str to str
        Headers by lower-case name.
    query : str
        Query string.
    body : bytes
        Whole body.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    _receive: Receive
    _send: Send
    _ended: bool = False

    def json(self) -> dict[str, typing.Any] | None:
        """Return the JSON object of the body, or None."""
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
        """Answer with a JSON body."""
        raw = orjson.dumps(body)
        extra = {'content-length': str(len(raw))} | dict(headers or {})
        await self.start(JSON_TYPE, status, extra)
        self._ended = True
        await self._send({'type': 'http.response.body', 'body': raw})

    async def start(
        self,
        content_type: bytes,
        status: int = 200,
        headers: collections.abc.Mapping[str, str] | None = None,
    ) -> None:
        """Begin a streamed answer."""
        raw = [(b'content-type', content_type)]
        raw += [
            (name.encode(), value.encode())
            for name, value in (headers or {}).items()
        ]
        await self._send(
            {'type': 'http.response.start', 'status': status, 'headers': raw}
        )

    async def chunk(self, data: bytes) -> None:
        """Send the next piece of a streamed answer."""
        await self._send(
            {'type': 'http.response.body', 'body': data, 'more_body': True}
        )

    async def finish(self) -> None:
        """End a streamed answer."""
        self._ended = True
        await self._send({'type': 'http.response.body', 'body': b''})

    async def cut(self) -> None:
        """Close the connection without an answer that can be read.

        A body shorter than announced makes the server close it.
        """
        await self.start(JSON_TYPE, headers={'content-length': '1'})

    async def disconnected(self) -> None:
        """Return when the peer has left before the answer's end."""
        while True:
            message = await self._receive()
            if message['type'] == 'http.disconnect' and not self._ended:
                return


Handler = collections.abc.Callable[[Call], collections.abc.Awaitable[None]]


class Routes:
    """ASGI application that finds a handler by method and path.

    Parameters
    ----------
    handlers : mapping of str to Handler
        Keyed by ``'METHOD /path'``; a path that ends in ``/*`` stands for
        all below it.
    """

    def __init__(
        self, handlers: collections.abc.Mapping[str, Handler]
    ) -> None:
        self._exact = {
            key: handler
            for key, handler in handlers.items()
            if not key.endswith('/*')
        }
        self._below = {
            key[:-1]: handler
            for key, handler in handlers.items()
            if key.endswith('/*')
        }

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one request, or the server's start and end."""
        if scope['type'] == 'lifespan':
            await _lifespan(receive, send)
            return
        call = await _read(scope, receive, send)
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
            for start, handler in self._below.items()
            if key.startswith(start)
        )
        return next(matches, None)


async def _read(scope: Scope, receive: Receive, send: Send) -> Call | None:
    """Read the whole body; None when the peer left before its end."""
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


async def _lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        kind = message['type']
        await send({'type': f'{kind}.complete'})
        if kind == 'lifespan.shutdown':
            return


async def serve(
    app: Routes, port: int, task_status: trio.TaskStatus[int]
) -> None:
    """Serve ``app`` on loopback and report the bound port."""
    config = hypercorn.config.Config()
    config.bind = [f'127.0.0.1:{port}']
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT
    config.backlog = BACKLOG
    config.loglevel = 'WARNING'
    async with trio.open_nursery() as nursery:
        binds = await nursery.start(hypercorn.trio.serve, app, config)
        task_status.started(int(binds[0].rpartition(':')[2]))
