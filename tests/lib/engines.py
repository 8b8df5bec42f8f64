"""Engines whose responses are scripted byte by byte."""

import collections.abc
import contextlib
import dataclasses
import typing

import h11
import orjson
import trio

from corianderloft._internal.models import backends
from corianderloft._internal.models import ids

TOKENS = 12
DONE = b'data: [DONE]\n\n'


@dataclasses.dataclass
class ReceivedRequest:
    """One request as received by an engine."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def last_event_id(self) -> int:
        return int(self.headers.get('last-event-id', '0'))


class EngineConnection:
    """Server side of one connection, driven by a script."""

    def __init__(self, stream: trio.SocketStream, engine: 'Engine') -> None:
        self._stream = stream
        self._http = h11.Connection(h11.SERVER)
        self.engine = engine

    async def requests(self) -> typing.AsyncIterator[ReceivedRequest]:
        """Yield the requests received on the connection."""
        while True:
            request = await self._next()
            if not isinstance(request, h11.Request):
                return
            body = b''
            while isinstance(part := await self._next(), h11.Data):
                body += bytes(part.data)
            headers = {k.decode(): v.decode() for k, v in request.headers}
            seen = ReceivedRequest(
                request.method.decode(),
                request.target.decode(),
                headers,
                body,
            )
            self.engine.seen.append(seen)
            yield seen
            if self._http.our_state is not h11.DONE:
                return
            self._http.start_next_cycle()

    async def head(self, status: int = 200, **headers: str) -> None:
        """Send status line and headers of a response."""
        named = [(k.replace('_', '-'), v) for k, v in headers.items()]
        await self.send(h11.Response(status_code=status, headers=named))

    async def tokens(self, first: int, last: int) -> None:
        """Send the events of tokens ``first`` to ``last``."""
        for number in range(first, last + 1):
            await self.send(h11.Data(data=event(number)))

    async def done(self) -> None:
        """Send the end marker of the stream and end the response."""
        await self.send(h11.Data(data=DONE))
        await self.send(h11.EndOfMessage())

    async def json(self, status: int, value: typing.Any, **more: str) -> None:
        """Send a complete JSON response."""
        body = orjson.dumps(value)
        await self.head(status, content_length=str(len(body)), **more)
        await self.send(h11.Data(data=body))
        await self.send(h11.EndOfMessage())

    async def send(self, event: h11.Event) -> None:
        """Send one HTTP event."""
        data = self._http.send(event)
        if data:
            await self._stream.send_all(data)

    async def send_raw(self, data: bytes) -> None:
        """Send bytes that need not be valid HTTP."""
        await self._stream.send_all(data)

    async def wait_closed(self) -> None:
        """Wait until the peer closes the connection."""
        while await self._stream.receive_some(4096):
            pass

    async def _next(self) -> typing.Any:
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._http.receive_data(await self._stream.receive_some(65536))


Script = collections.abc.Callable[
    [EngineConnection, ReceivedRequest], collections.abc.Awaitable[None]
]


class Engine:
    """An engine that responds to requests as its script says.

    Attributes
    ----------
    seen : list of ReceivedRequest
        Requests received.
    streams : list of SocketStream
        Connections accepted so far.
    cancelled : Event
        Set when the peer closes the connection while a script waits.
    """

    def __init__(self, script: Script) -> None:
        self.script = script
        self.seen: list[ReceivedRequest] = []
        self.connections = 0
        self.streams: list[trio.SocketStream] = []
        self.scope = trio.CancelScope()
        self.cancelled = trio.Event()

    async def crash(self) -> None:
        """End all connections and accept no new ones."""
        for stream in self.streams:
            await trio.aclose_forcefully(stream)
        self.scope.cancel()

    async def handle(self, stream: trio.SocketStream) -> None:
        """Run the script for each request on one connection."""
        self.connections += 1
        self.streams.append(stream)
        wire = EngineConnection(stream, self)
        with contextlib.suppress(
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.RemoteProtocolError,
        ):
            async for seen in wire.requests():
                await self.script(wire, seen)
        await trio.aclose_forcefully(stream)


async def start(
    nursery: trio.Nursery,
    name: str,
    script: Script,
    service: str = 'desk',
    model: str = 'm',
) -> tuple[Engine, backends.Backend]:
    """Start a scripted engine; return it and its backend server entry."""
    engine = Engine(script)
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    nursery.start_soon(_serve, engine, listeners)
    backend = backends.Backend(
        ids.EngineId(name),
        ids.ServiceName(service),
        ids.SupplierName('s'),
        ids.ModelVersion(model),
        '127.0.0.1',
        listeners[0].socket.getsockname()[1],
        ids.FailureDomain('fd-1'),
    )
    return engine, backend


async def _serve(engine: Engine, listeners: list[trio.SocketListener]) -> None:
    with engine.scope:
        await trio.serve_listeners(engine.handle, listeners)


def event(number: int) -> bytes:
    """Return the server-sent event of a token, equal on all engines."""
    chunk = {'choices': [{'delta': {'content': f't{number} \\nid: 99'}}]}
    return b'id: %d\ndata: %s\n\n' % (number, orjson.dumps(chunk))


def whole_body(after: int = 0) -> bytes:
    """Return the stream from the token after ``after`` to the end."""
    tokens = range(after + 1, TOKENS + 1)
    return b''.join(event(number) for number in tokens) + DONE


async def serves(wire: EngineConnection, seen: ReceivedRequest) -> None:
    """Send a complete stream or completion."""
    if not orjson.loads(seen.body)['stream']:
        completion = {
            'choices': [{'message': {'content': 'ready'}}],
            'usage': {'completion_tokens': 3},
        }
        await wire.json(200, completion)
        return
    await wire.head()
    await wire.tokens(seen.last_event_id + 1, TOKENS)
    await wire.done()


def dies_after(count: int) -> Script:
    """Return a script that closes the connection after token ``count``."""

    async def script(wire: EngineConnection, seen: ReceivedRequest) -> None:
        await wire.head()
        await wire.tokens(seen.last_event_id + 1, count)
        # A truncated event, as after a crash.
        await wire.send(h11.Data(data=event(count + 1)[:9]))
        raise trio.BrokenResourceError

    return script


def silent_after(count: int) -> Script:
    """Return a script that stays silent after token ``count``."""

    async def script(wire: EngineConnection, seen: ReceivedRequest) -> None:
        await wire.head()
        await wire.tokens(seen.last_event_id + 1, count)
        await wire.wait_closed()
        wire.engine.cancelled.set()

    return script


def trickles_after(count: int, data: bytes) -> Script:
    """Return a script that only sends ``data`` again and again at the end."""

    async def script(wire: EngineConnection, seen: ReceivedRequest) -> None:
        await wire.head()
        await wire.tokens(seen.last_event_id + 1, count)
        while True:
            await wire.send(h11.Data(data=data))
            await trio.sleep(0.01)

    return script


def refuses(status: int, code: str) -> Script:
    """Return a script that responds to every request with an error."""

    async def script(wire: EngineConnection, seen: ReceivedRequest) -> None:
        await wire.json(status, {'error': {'code': code, 'message': code}})

    return script
