"""What the end of a response proves, for each client of another server.

A send that fails consumes the error of the connection, so that the read after
it may see an orderly end: a part of a response without a length then looked
complete.
"""

import pytest
import trio

from corianderloft._internal.kv import connections as kv_connections
from corianderloft._internal.network import connections
from corianderloft._internal.network import engine_connection
from corianderloft._internal.network import outbound
from corianderloft._internal.network import silence
from corianderloft._internal.settings import backends
from tests.lib import raw_server
from tests.unit.network import test_turns

LONG_BODY = bytes(16 * 2**20)
TIMEOUT_S = 5.0
MAX_BYTES = 2**20

HEAD = b'HTTP/1.1 200 OK\r\n'
UNFRAMED = HEAD + b'\r\npart'
WHOLE = HEAD + b'Content-Length: 5\r\n\r\nwhole'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n'


async def by_engine_connection(port, body):
    """Return status and body, or None, and whether it may have run."""
    conn = await engine_connection.connect('127.0.0.1', port, TIMEOUT_S)
    try:
        await conn.send('POST', b'/', [(b'host', b'-')], body)
        head = await conn.head()
        if isinstance(head, engine_connection.ConnectionFailure):
            return None, head.may_have_run
        content = await conn.read_all(MAX_BYTES)
        if isinstance(content, engine_connection.ConnectionFailure):
            return None, content.may_have_run
        return (head.status, content), True
    finally:
        conn.close()


async def by_outbound(port, body):
    """The same for requests of entry hosts and of callers."""
    monitor = silence.SilenceMonitor()
    pool = connections.Connections(backends.BackendSettings())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(monitor.run)
        exchange = outbound.Outbound(
            pool, monitor, test_turns.Peer('127.0.0.1', port), '-', TIMEOUT_S
        )
        try:
            message = outbound.Message('POST', b'/', [], body)
            head = await exchange.send(message, TIMEOUT_S)
            if isinstance(head, outbound.Failure):
                return None, head.may_have_run
            content = await exchange.read_all(MAX_BYTES, TIMEOUT_S)
            if isinstance(content, outbound.Failure):
                return None, content.may_have_run
            return (head.status, content), True
        finally:
            await exchange.close()
            await pool.close()
            nursery.cancel_scope.cancel()


async def by_kv_connections(port, body):
    """The same for calls to the store and for changes from other hosts."""
    client = kv_connections.Connections(
        f'http://127.0.0.1:{port}', TIMEOUT_S, TIMEOUT_S, 1, 1.0
    )
    result = await client.post('/', body)
    await client.aclose()
    if isinstance(result, kv_connections.Reply):
        return (result.status, result.body), True
    return None, isinstance(result, kv_connections.ReplyLost)


CLIENTS = [by_engine_connection, by_outbound, by_kv_connections]


async def fetch(nursery, client, server, body=b'body'):
    """Return what a client makes of the response of a server."""
    port = await nursery.start(server.serve)
    with trio.fail_after(4 * TIMEOUT_S):
        return await client(port, body)


@pytest.mark.parametrize('client', CLIENTS)
@pytest.mark.parametrize('end', [raw_server.RESET, raw_server.END_THEN_RESET])
async def test_a_reset_upload_completes_no_response_without_a_length(
    nursery, client, end
):
    server = raw_server.RawServer(UNFRAMED, end)
    received = await fetch(nursery, client, server, LONG_BODY)
    assert received == (None, True)


@pytest.mark.parametrize('client', CLIENTS)
@pytest.mark.parametrize('raw', [WHOLE, CHUNKED])
async def test_a_whole_response_to_a_reset_upload_is_received(
    nursery, client, raw
):
    server = raw_server.RawServer(raw, raw_server.RESET)
    received = await fetch(nursery, client, server, LONG_BODY)
    assert received == ((200, b'whole'), True)


@pytest.mark.parametrize('client', CLIENTS)
@pytest.mark.parametrize('reads_body', [False, True])
async def test_a_reset_without_an_upload_completes_no_response(
    nursery, client, reads_body
):
    server = raw_server.RawServer(UNFRAMED, raw_server.RESET, reads_body)
    assert await fetch(nursery, client, server) == (None, True)


@pytest.mark.parametrize('client', CLIENTS)
@pytest.mark.parametrize(
    'end', [raw_server.END, raw_server.RESET, raw_server.END_THEN_RESET]
)
@pytest.mark.parametrize('raw', [b'', b'HTTP/1.1 20', HEAD, WHOLE[:-1]])
async def test_an_end_before_the_response_is_complete_may_have_run(
    nursery, client, end, raw
):
    # The server may run a request before it has read the whole of it.
    server = raw_server.RawServer(raw, end)
    assert await fetch(nursery, client, server, LONG_BODY) == (None, True)


@pytest.mark.parametrize('client', CLIENTS)
@pytest.mark.parametrize(
    'line',
    [
        b'HTTP/1.1 000 OK',
        b'HTTP/1.1 099 OK',
        b'HTTP/1.1 1000 OK',
        b'HTTP/1.1 20',
        b'HTTP/1.1 ',
        b'HTTP/1.1 -20 OK',
        b'HTTP/1.1 101 OK',
        b'HTTP/1.1 200 OK\r\nContent-Length: 4',
        b'HTTP/1.1 200 OK\r\nContent-Length: 5, 4',
    ],
)
async def test_a_malformed_head_begins_no_response(nursery, client, line):
    raw = line + b'\r\nContent-Length: 5\r\n\r\nwhole'
    server = raw_server.RawServer(raw, raw_server.END, reads_body=True)
    assert await fetch(nursery, client, server) == (None, True)


@pytest.mark.parametrize('client', CLIENTS)
async def test_informational_responses_are_not_read_for_ever(nursery, client):
    # Their reading took all of the processor until the silence timeout.
    server = raw_server.RawServer(b'HTTP/1.1 102 -\r\n\r\n' * 512)
    server.repeat = True
    assert await fetch(nursery, client, server) == (None, True)
    assert server.sent_bytes < 8 * 2**20
