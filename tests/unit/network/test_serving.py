"""Connections of a server that clients do not use."""

import trio

from corianderloft._internal.network import exchange
from corianderloft._internal.network import serving
from tests.lib import ports

LIMITS = serving.ServerLimits(
    max_connections=2,
    max_header_bytes=4096,
    idle_time=60.0,
    stalled_time=60.0,
)
REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'


async def _app(scope, receive, send):
    http = exchange.Exchange(scope, receive, send)
    await http.body(1000, 1.0)
    await http.respond(200, b'answer')


async def _answers(port):
    async with await trio.open_tcp_stream('127.0.0.1', port) as stream:
        await stream.send_all(REQUEST)
        with trio.move_on_after(10.0):
            return b'answer' in await stream.receive_some(65536)
    return False


async def _serve(nursery, app=_app):
    port = ports.reserve()
    server = serving.Server(app, serving.bind('127.0.0.1', port), LIMITS)
    stopped = trio.Event()
    nursery.start_soon(server.serve, stopped)
    return port


async def test_connections_closed_by_clients_take_no_slots():
    """Guards against slots that stay taken until the idle time is over."""
    async with trio.open_nursery() as nursery:
        port = await _serve(nursery)
        for _ in range(4):
            stream = await trio.open_tcp_stream('127.0.0.1', port)
            await trio.sleep(0.05)
            await stream.aclose()
        for _ in range(4):
            assert await _answers(port)
        nursery.cancel_scope.cancel()


async def test_silent_connections_do_not_keep_others_out():
    """Guards against clients that take all slots and send nothing."""
    async with trio.open_nursery() as nursery:
        port = await _serve(nursery)
        for _ in range(4):
            await trio.open_tcp_stream('127.0.0.1', port)
        assert await _answers(port)
        nursery.cancel_scope.cancel()


async def test_a_connection_in_use_is_not_closed_for_others():
    """Guards against callers that lose a kept connection."""
    async with trio.open_nursery() as nursery:
        port = await _serve(nursery)
        kept = await trio.open_tcp_stream('127.0.0.1', port)
        await kept.send_all(REQUEST)
        assert b'answer' in await kept.receive_some(65536)
        for _ in range(4):
            await trio.open_tcp_stream('127.0.0.1', port)
        assert await _answers(port)
        await kept.send_all(REQUEST)
        assert b'answer' in await kept.receive_some(65536)
        nursery.cancel_scope.cancel()


async def _endless_app(scope, receive, send):
    http = exchange.Exchange(scope, receive, send)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_send_endlessly, http)
        await http.wait_for_disconnect()
        nursery.cancel_scope.cancel()


async def _send_endlessly(http):
    await http.start_stream()
    while True:
        await http.send_events(b'data: 0123456789abcdef\n\n' * 256)
        await trio.sleep(0.01)


async def test_a_client_that_leaves_unread_bytes_behind_takes_no_slot():
    """Guards against a slot that is lost for good.

    The reader waits for the end of the request, as more bytes have arrived
    than belong to it, and the stream ends without one when it finds that the
    client has gone.
    """
    async with trio.open_nursery() as nursery:
        port = await _serve(nursery, _endless_app)
        for _ in range(2 * LIMITS.max_connections):
            with trio.fail_after(10.0):
                stream = await trio.open_tcp_stream('127.0.0.1', port)
                await stream.send_all(REQUEST + bytes(1000))
                assert await stream.receive_some(65536)
                await stream.aclose()
        nursery.cancel_scope.cancel()


async def _silent_app(scope, receive, send):
    http = exchange.Exchange(scope, receive, send)
    if http.path == '/':
        await http.respond(200, b'answer')
    else:
        await http.wait_for_disconnect()


async def test_a_request_without_an_answer_ends_when_its_client_has_gone():
    """Guards against requests that go on for clients that left bytes behind.

    The end of the connection waits in the socket behind these bytes.
    """
    async with trio.open_nursery() as nursery:
        port = await _serve(nursery, _silent_app)
        for _ in range(LIMITS.max_connections):
            stream = await trio.open_tcp_stream('127.0.0.1', port)
            await stream.send_all(REQUEST.replace(b'/', b'/waits', 1))
            await stream.send_all(REQUEST * 4000)
            await stream.aclose()
        assert await _answers(port)
        nursery.cancel_scope.cancel()


async def test_kept_connections_are_shared_with_clients_that_wait():
    """Guards against a ready host that takes no new connection.

    All connections are used by clients that send a request now and then.
    """
    answered = []

    async def keep_asking():
        while True:
            async with await trio.open_tcp_stream('127.0.0.1', port) as kept:
                while True:
                    await kept.send_all(REQUEST)
                    answer = await kept.receive_some(65536)
                    answered.append(answer)
                    if b'close' in answer:
                        break
                    await trio.sleep(0.2)

    async with trio.open_nursery() as nursery:
        port = await _serve(nursery)
        for _ in range(2 * LIMITS.max_connections):
            nursery.start_soon(keep_asking)
        await trio.sleep(0.5)
        assert await _answers(port)
        assert all(b'answer' in answer for answer in answered)
        nursery.cancel_scope.cancel()


async def _late_app(scope, receive, send):
    await trio.sleep(2.5)
    http = exchange.Exchange(scope, receive, send)
    body = await http.body(10**6, 10.0)
    await http.respond(200, b'answer' if len(body) == 500000 else b'other')


async def test_an_upload_that_waits_is_not_taken_for_unasked_bytes():
    """Guards against sound clients that are closed for others."""
    answers = []

    async def upload():
        async with await trio.open_tcp_stream('127.0.0.1', port) as stream:
            await stream.send_all(
                b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 500000\r\n'
                b'Connection: close\r\n\r\n' + bytes(500000)
            )
            answers.append(await stream.receive_some(65536))

    async with trio.open_nursery() as nursery:
        port = await _serve(nursery, _late_app)
        async with trio.open_nursery() as uploads:
            for _ in range(2 * LIMITS.max_connections):
                uploads.start_soon(upload)
        assert [b'answer' in answer for answer in answers] == [True] * 4
        nursery.cancel_scope.cancel()


async def _late_body_app(scope, receive, send):
    await trio.sleep(2.5)
    http = exchange.Exchange(scope, receive, send)
    body = await http.body(1000, 1.0)
    await http.respond(200, b'answer' if len(body) == 10 else b'other')


async def test_a_request_that_holds_the_reader_is_not_cut_for_others():
    """Guards against requests in progress that are cut for other clients.

    The reader is held by parts of a complete body that is not read yet.
    """
    chunks = b'1\r\na\r\n' * 10 + b'0\r\n\r\n'
    fields = b'Transfer-Encoding: chunked\r\n'
    answers = []

    async def upload():
        async with await trio.open_tcp_stream('127.0.0.1', port) as stream:
            await stream.send_all(
                b'POST / HTTP/1.1\r\nHost: a\r\n' + fields + b'\r\n' + chunks
            )
            answers.append(await stream.receive_some(65536))

    async with trio.open_nursery() as nursery:
        port = await _serve(nursery, _late_body_app)
        async with trio.open_nursery() as uploads:
            for _ in range(2 * LIMITS.max_connections):
                uploads.start_soon(upload)
        assert [b'answer' in answer for answer in answers] == [True] * 4
        nursery.cancel_scope.cancel()


async def _stubborn_app(scope, receive, send):
    with trio.CancelScope(shield=True):
        await trio.sleep(2.5)


async def test_a_connection_that_ends_is_not_closed_again_for_others():
    """Guards against closures that free no slot while clients wait.

    The requests of the closed connections go on for some time.
    """
    closed_before = serving.UNUSED_CLOSED['unasked_bytes']
    async with trio.open_nursery() as nursery:
        port = await _serve(nursery, _stubborn_app)
        for _ in range(2 * LIMITS.max_connections):
            stream = await trio.open_tcp_stream('127.0.0.1', port)
            await stream.send_all(REQUEST + bytes(1000))
        await trio.sleep(2.0)
        nursery.cancel_scope.cancel()
    closed = serving.UNUSED_CLOSED['unasked_bytes'] - closed_before
    assert 0 < closed <= LIMITS.max_connections
