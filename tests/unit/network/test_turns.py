"""Work on received data between two points where other tasks run.

A peer can send thousands of small chunks in one block. Parsing a block in one
go stops the event loop, and with it all other connections.
"""

import collections

import h11
import pytest
import trio

from corianderloft._internal.network import connections
from corianderloft._internal.network import engine_connection
from corianderloft._internal.network import outbound
from corianderloft._internal.network import silence
from corianderloft._internal.network import turns
from corianderloft._internal.settings import backends

CHUNKS = 8000
"""Many times what is parsed in a turn."""

RESPONSE = (
    b'HTTP/1.1 500 Failed\r\nTransfer-Encoding: chunked\r\n\r\n'
    + b'1\r\na\r\n' * CHUNKS
    + b'0\r\n\r\n'
)

HEAD_PARTS = 3
"""Events of a response beside its chunks."""


Peer = collections.namedtuple('Peer', ['address', 'port'])


class StepMeter(trio.abc.Instrument):
    """Counts the events that are parsed in each step of a task."""

    def __init__(self, monkeypatch):
        self._parsed = 0
        self.longest = 0
        self.steps = 0
        next_event = h11.Connection.next_event

        def counted(conn):
            event = next_event(conn)
            if conn.our_role is h11.CLIENT and event is not h11.NEED_DATA:
                self._parsed += 1
            return event

        monkeypatch.setattr(h11.Connection, 'next_event', counted)

    def before_task_step(self, task):
        self._parsed = 0

    def after_task_step(self, task):
        self.longest = max(self.longest, self._parsed)
        self.steps += bool(self._parsed)


@pytest.fixture
async def meter(monkeypatch):
    step_meter = StepMeter(monkeypatch)
    trio.lowlevel.add_instrument(step_meter)
    return step_meter


async def _respond(stream):
    async with stream:
        await stream.receive_some(65536)
        await stream.send_all(RESPONSE)


async def _serve(nursery):
    listeners = await nursery.start(trio.serve_tcp, _respond, 0)
    return listeners[0].socket.getsockname()[1]


async def _open(port):
    conn = await engine_connection.connect('127.0.0.1', port, 5.0)
    await conn.send('GET', b'/', [(b'host', b'a')], b'')
    head = await conn.head()
    assert head.status == 500
    return conn


def _check(step_meter):
    assert step_meter.longest <= 2 * turns.MAX_PARTS_PER_TURN + HEAD_PARTS
    assert step_meter.steps >= CHUNKS / (2 * turns.MAX_PARTS_PER_TURN)


async def test_whole_body_is_parsed_in_turns(nursery, meter):
    conn = await _open(await _serve(nursery))
    body = await conn.read_all(CHUNKS)
    conn.close()
    assert body == b'a' * CHUNKS
    _check(meter)


async def test_stream_is_parsed_in_turns(nursery, meter):
    conn = await _open(await _serve(nursery))
    body = b''
    while (part := await conn.read()) is not None:
        body += part
    conn.close()
    assert body == b'a' * CHUNKS
    _check(meter)


async def test_response_for_an_earlier_request_is_parsed_in_turns(
    nursery, meter
):
    conn = await _open(await _serve(nursery))
    assert await conn.skip_response(CHUNKS) is None
    conn.close()
    _check(meter)


async def test_body_of_another_peer_is_parsed_in_turns(nursery, meter):
    port = await _serve(nursery)
    monitor = silence.SilenceMonitor()
    nursery.start_soon(monitor.run)
    exchange = outbound.Outbound(
        connections.Connections(backends.BackendSettings()),
        monitor,
        Peer('127.0.0.1', port),
        'engine',
        5.0,
    )
    head = await exchange.send(outbound.Message('GET', b'/', [], b''), 5.0)
    assert head.status == 500
    assert await exchange.read_all(CHUNKS, 5.0) == b'a' * CHUNKS
    await exchange.close()
    _check(meter)


async def test_chunks_that_arrive_together_are_read_together(nursery):
    conn = await _open(await _serve(nursery))
    parts = 0
    while await conn.read() is not None:
        parts += 1
    conn.close()
    assert parts < CHUNKS / 10


async def test_connections_with_much_data_take_turns(autojump_clock):
    """The pause is shared, so their number does not add up to more work."""

    async def parse(count):
        connection_turns = turns.Turns()
        for _ in range(count):
            connection_turns.spend(turns.MAX_PARTS_PER_TURN)
            await connection_turns.wait()

    started_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        for _ in range(10):
            nursery.start_soon(parse, 5)
    took_s = trio.current_time() - started_at
    assert took_s == pytest.approx(50 * turns.PAUSE_S)
