"""Callers that reuse connections and record every response."""

import dataclasses
import itertools

import h11
import trio

from tests.lib import gateway

REQUEST_NUMBERS = itertools.count(1)
METHODS = {
    '/look/': 'GET',
    '/book/': 'POST',
    '/chat/': 'POST',
    '/quote/': 'POST',
}
DEADLINE_S = 2.5


@dataclasses.dataclass
class RequestRecord:
    """One request and its response, as seen by the caller.

    Attributes
    ----------
    status : int
        HTTP status of the response; 0 without a response.
    complete : bool
        Whether the response was complete.
    took : float
        Seconds until the response ended or the caller gave up.
    """

    request_id: str
    path: str
    key: str
    sent_at: float
    host: str
    process: int
    status: int = 0
    complete: bool = False
    body: bytes = b''
    signature: str = ''
    took: float = 0.0
    gave_up: bool = False


async def call_until_cancelled(env, rng, records):
    """Send requests to randomly chosen hosts until cancelled."""
    while True:
        host = rng.choice(env.hosts)
        try:
            stream = await trio.open_tcp_stream('127.0.0.1', host.port)
        except OSError:
            await trio.sleep(0.02)
            continue
        async with stream:
            await _use_connection(env, rng, records, host, stream)


async def _use_connection(env, rng, records, host, stream):
    """Send up to 30 requests on one connection, as long as it works."""
    http = h11.Connection(h11.CLIENT)
    for _ in range(rng.randint(1, 30)):
        path, method = rng.choice(list(METHODS.items()))
        record = RequestRecord(
            f's{next(REQUEST_NUMBERS)}',
            path,
            rng.choice(sorted(env.keys)),
            trio.current_time(),
            host.name,
            host.process.pid,
        )
        records.append(record)
        with trio.move_on_after(DEADLINE_S + 1.0) as give_up_scope:
            reusable = await _send_request(record, method, stream, http)
        record.took = trio.current_time() - record.sent_at
        record.gave_up = give_up_scope.cancelled_caught
        if record.gave_up or not reusable:
            return
        await trio.sleep(rng.expovariate(1 / 0.02))


async def _send_request(record, method, stream, http):
    """Send one request; return whether the connection can be reused."""
    headers = [
        ('Host', gateway.HOST),
        ('Corianderloft-Attempt-Id', record.request_id),
        ('Corianderloft-Deadline-Ms', str(int(DEADLINE_S * 1000))),
        ('Authorization', f'Bearer {record.key}'),
    ]
    if method == 'POST':
        headers.append(('Content-Length', '4'))
    data = http.send(
        h11.Request(method=method, target=record.path + '1', headers=headers)
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
                response_headers = dict(event.headers)
                record.status = event.status_code
                record.signature = response_headers.get(
                    b'corianderloft-response-signature', b''
                ).decode()
            elif isinstance(event, h11.Data):
                record.body += event.data
            elif isinstance(event, h11.EndOfMessage):
                record.complete = True
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
