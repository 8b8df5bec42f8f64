"""Callers that keep connections, and note all that they get."""

import dataclasses
import itertools

import h11
import trio

from tests.lib import gateway

NUMBERS = itertools.count(1)
KINDS = {
    '/look/': 'GET',
    '/book/': 'POST',
    '/chat/': 'POST',
    '/quote/': 'POST',
}
DEADLINE = 2.5  # s


@dataclasses.dataclass
class Noted:
    """One request, and what its caller saw.

    Attributes
    ----------
    status : int
        Status of the answer; 0 when none came.
    whole : bool
        Whether the answer was complete.
    took : float
        Time until its end, or until the caller gave up, in seconds.
    """

    request_id: str
    path: str
    key: str
    sent_at: float
    host: str
    process: int
    status: int = 0
    whole: bool = False
    body: bytes = b''
    signature: str = ''
    took: float = 0.0
    gave_up: bool = False


async def call_for_ever(stage, rng, noted):
    """Send one request after the other, to hosts at random."""
    while True:
        host = rng.choice(stage.hosts)
        try:
            stream = await trio.open_tcp_stream('127.0.0.1', host.port)
        except OSError:
            await trio.sleep(0.02)
            continue
        async with stream:
            await _use(stage, rng, noted, host, stream)


async def _use(stage, rng, noted, host, stream):
    """Use one connection until it ends or the caller tires of it."""
    http = h11.Connection(h11.CLIENT)
    for _ in range(rng.randint(1, 30)):
        path, method = rng.choice(list(KINDS.items()))
        one = Noted(
            f's{next(NUMBERS)}',
            path,
            rng.choice(sorted(stage.keys)),
            trio.current_time(),
            host.name,
            host.process.pid,
        )
        noted.append(one)
        with trio.move_on_after(DEADLINE + 1.0) as patience:
            again = await _ask(one, method, stream, http)
        one.took = trio.current_time() - one.sent_at
        one.gave_up = patience.cancelled_caught
        if one.gave_up or not again:
            return
        await trio.sleep(rng.expovariate(1 / 0.02))


async def _ask(one, method, stream, http):
    """Send one request; return whether the connection may be used again."""
    headers = [
        ('Host', gateway.HOST),
        ('Corianderloft-Attempt-Id', one.request_id),
        ('Corianderloft-Deadline-Ms', str(int(DEADLINE * 1000))),
        ('Authorization', f'Bearer {one.key}'),
    ]
    if method == 'POST':
        headers.append(('Content-Length', '4'))
    data = http.send(
        h11.Request(method=method, target=one.path + '1', headers=headers)
    )
    if method == 'POST':
        data += http.send(h11.Data(data=b'body'))
    data += http.send(h11.EndOfMessage())
    try:
        await stream.send_all(data)
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await stream.receive_some(65536))
            elif isinstance(event, h11.Response):
                fields = dict(event.headers)
                one.status = event.status_code
                one.signature = fields.get(
                    b'corianderloft-response-signature', b''
                ).decode()
            elif isinstance(event, h11.Data):
                one.body += event.data
            elif isinstance(event, h11.EndOfMessage):
                one.whole = True
                break
            else:
                return False
    except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError):
        return False
    if h11.DONE not in (http.our_state, http.their_state):
        return False
    if http.their_state is not h11.DONE:
        return False
    http.start_next_cycle()
    return True
