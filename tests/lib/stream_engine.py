"""Engine process whose streams can be broken off: ``python -m ...``.

The argument is a JSON object with the fields of `Behaviour`. SIGUSR1 closes
all connections; SIGUSR2 closes them with the listening socket, which is back
at once, as if the process had been replaced.
"""

import dataclasses
import json
import random
import signal
import sys

import h11
import trio

EVENTS = 20
HEAD = (
    'HTTP/1.1 {status} -\r\n'
    'Corianderloft-Response-Signature: signed-by-{engine_id}\r\n'
    'Corianderloft-Attempt-Id: {attempt_id}\r\n'
)


@dataclasses.dataclass
class Behaviour:
    """What the engine does.

    Attributes
    ----------
    engine_id : str
        Its ID.
    port : int
        Port to listen on; 0 for any.
    seed : int
        Seed of all that is drawn.
    pause : float
        Time between two events in seconds.
    step : int
        Difference between the ids of two events.
    gaps : bool
        Whether the ids have gaps of various sizes besides.
    unframed : float
        Share of streams without a length.
    padding : int
        Bytes added to each event.
    copies : float
        Share of streams that are followed by a second copy.
    resumed : list of str
        What is drawn for a request with ``Last-Event-Id``: ``rest``, a status,
        ``raw`` (the bytes of ``raw``, and the end of the connection),
        ``anew``, ``repeat``, ``skip``, ``empty``, ``other_id``, ``unsigned``.
    raw : bytes
        A response, where ``{id}`` stands for the ID of the request.
    cut_after : int or None
        Events after which the response to any other request breaks off.
    cut : str
        What ends then: the ``stream``, all ``connections``, the ``server``, or
        the server that is replaced by another one (``replaced``).
    """

    engine_id: str
    port: int = 0
    seed: int = 0
    pause: float = 0.05
    step: int = 1
    gaps: bool = False
    unframed: float = 0.0
    padding: int = 0
    copies: float = 0.0
    resumed: list = dataclasses.field(default_factory=lambda: ['rest'])
    raw: bytes = b''
    cut_after: int | None = None
    cut: str = 'stream'


def event_id(number, step=1, gaps=False):
    """Return the id of an event."""
    return number * step + (number // 3 + number // 7 if gaps else 0)


def number_after(last_id, step=1, gaps=False):
    """Return the number of the event that follows an id."""
    return sum(
        event_id(number, step, gaps) <= last_id for number in range(EVENTS)
    )


class StreamEngine:
    """Serves streams whose events name the path of the request.

    Attributes
    ----------
    behaviour : Behaviour
        What the engine does.
    port : int
        Port that it listens on.
    asked : list of (str, str or None)
        Paths and ``Last-Event-Id`` of the requests that it ran.
    """

    def __init__(self, behaviour):
        self.behaviour = behaviour
        self.port = behaviour.port
        self.asked = []
        self._rng = random.Random(behaviour.seed)
        self._streams = set()
        self._listeners = []
        self._replaced = trio.Event()

    @property
    def engine_id(self):
        """ID of the engine."""
        return self.behaviour.engine_id

    async def run(self):
        """Serve as a process, until it is killed."""
        with trio.open_signal_receiver(
            signal.SIGUSR1, signal.SIGUSR2
        ) as signals:
            async with trio.open_nursery() as nursery:
                port = await nursery.start(self.serve)
                print(json.dumps({'port': port}), flush=True)
                async for number in signals:
                    if number == signal.SIGUSR1:
                        self.close_connections()
                    else:
                        self.replace()

    async def serve(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serve on a loopback port until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self._listeners = await trio.open_tcp_listeners(
                    self.port, host='127.0.0.1'
                )
                self.port = self._listeners[0].socket.getsockname()[1]
                task_status.started(self.port)
                task_status = trio.TASK_STATUS_IGNORED
                try:
                    await trio.serve_listeners(
                        self._connection,
                        self._listeners,
                        handler_nursery=nursery,
                    )
                except* (OSError, trio.ClosedResourceError):
                    await self._replaced.wait()
                    self._replaced = trio.Event()

    def close_connections(self):
        """Close all connections."""
        for stream in list(self._streams):
            stream.socket.close()

    def end(self):
        """Close all sockets."""
        for listener in self._listeners:
            listener.socket.close()
        self.close_connections()

    def replace(self):
        """Close all sockets and listen at the same address again."""
        self.end()
        self._replaced.set()

    async def _connection(self, stream):
        self._streams.add(stream)
        try:
            while await self._request(stream):
                pass
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self._streams.discard(stream)
            stream.socket.close()

    async def _request(self, stream):
        http = h11.Connection(h11.SERVER)
        request = None
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await stream.receive_some(65536))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.EndOfMessage):
                break
            elif not isinstance(event, h11.Data):
                return False
        headers = {n.decode().lower(): v.decode() for n, v in request.headers}
        attempt_id = headers.get('corianderloft-attempt-id', '')
        target = headers.get('corianderloft-target-instance')
        if target not in (None, self.behaviour.engine_id):
            await stream.send_all(
                b'HTTP/1.1 421 -\r\nContent-Length: 0\r\n\r\n'
            )
            return True
        path = request.target.decode()
        after = headers.get('last-event-id')
        self.asked.append((path, after))
        if after is None or not after.isdigit():
            return await self._stream(stream, attempt_id, path, 0)
        return await self._resume(stream, attempt_id, path, int(after))

    async def _resume(self, stream, attempt_id, path, after):
        behaviour = self._rng.choice(self.behaviour.resumed)
        following = number_after(
            after, self.behaviour.step, self.behaviour.gaps
        )
        if behaviour == 'raw':
            raw = self.behaviour.raw.replace(b'{id}', attempt_id.encode())
            await stream.send_all(raw)
            return False
        if behaviour.isdigit():
            head = HEAD.format(
                status=behaviour,
                engine_id=self.behaviour.engine_id,
                attempt_id=attempt_id,
            )
            body = b'' if behaviour == '204' else b'no such event\n\n'
            await stream.send_all(
                f'{head}Content-Length: {len(body)}\r\n\r\n'.encode() + body
            )
            return True
        first = {
            'rest': following,
            'anew': 0,
            'repeat': following - 1,
            'skip': max(following, min(following + 2, EVENTS - 1)),
            'empty': EVENTS,
        }.get(behaviour, following)
        if behaviour == 'other_id':
            attempt_id += '-other'
        return await self._stream(
            stream, attempt_id, path, first, behaviour != 'unsigned'
        )

    async def _stream(self, stream, attempt_id, path, first, signed=True):
        unframed = self._rng.random() < self.behaviour.unframed
        copied = self._rng.random() < self.behaviour.copies
        head = HEAD.format(
            status=200,
            engine_id=self.behaviour.engine_id,
            attempt_id=attempt_id,
        )
        if not signed:
            head = head.replace('Signature', 'Other')
        if not unframed:
            head += 'Transfer-Encoding: chunked\r\n'
        parts = [(head + 'Content-Type: text/event-stream\r\n\r\n').encode()]
        for number in range(first, EVENTS):
            named = event_id(number, self.behaviour.step, self.behaviour.gaps)
            event = (
                f'id: {named}\n'
                f'data: {path} {number} {"x" * self.behaviour.padding}\n\n'
            ).encode()
            if not unframed:
                event = b'%x\r\n%b\r\n' % (len(event), event)
            parts.append(event)
        if not unframed:
            parts.append(b'0\r\n\r\n')
        for number, part in enumerate(parts):
            if first == 0 and number - 1 == self.behaviour.cut_after:
                self._cut()
                return False
            await stream.send_all(part)
            if number:
                await trio.sleep(self.behaviour.pause)
        if copied and not unframed:
            await stream.send_all(b''.join(parts))
        return not unframed

    def _cut(self):
        {
            'stream': lambda: None,
            'connections': self.close_connections,
            'server': self.end,
            'replaced': self.replace,
        }[self.behaviour.cut]()


if __name__ == '__main__':
    trio.run(StreamEngine(Behaviour(**json.loads(sys.argv[1]))).run)
