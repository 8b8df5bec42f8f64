"""Clients beyond the slots of a server, which give up and come back."""

import contextlib
import dataclasses
import itertools
import threading
import time

import trio

from corianderloft._internal.network import exchange
from corianderloft._internal.network import serving
from tests.lib import ports

LIMITS = serving.ServerLimits(
    max_connections=8,
    max_header_bytes=4096,
    idle_time=60.0,
    stalled_time=60.0,
)
REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
REFUSAL = (
    b'HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.2\r\n'
    b'Content-Length: 0\r\nConnection: close\r\n\r\n'
)


class _App:
    """Takes ``service_s`` for a request, also if its client leaves."""

    def __init__(self, service_s):
        self.service_s = service_s
        self.runs = 0

    async def __call__(self, scope, receive, send):
        self.runs += 1
        with trio.CancelScope(shield=True):
            await trio.sleep(self.service_s)
        await exchange.Exchange(scope, receive, send).respond(200, b'answer')


async def _serve(nursery, app, **options):
    port = ports.reserve()
    sock = serving.bind('127.0.0.1', port)
    server = serving.Server(
        app, sock, dataclasses.replace(LIMITS), port_name='crowded', **options
    )
    nursery.start_soon(server.serve, trio.Event())
    return port


async def _ask(port):
    """Return the response on a new connection."""
    async with await trio.open_tcp_stream('127.0.0.1', port) as stream:
        await stream.send_all(REQUEST)
        return await stream.receive_some(65536)


async def test_clients_that_gave_up_take_no_slot():
    """Guards against slots that only reach clients that have given up.

    While all slots are in use, more clients come and give up than these slots
    serve in the time that the next client waits.
    """
    app = _App(0.5)
    async with trio.open_nursery() as nursery:
        port = await _serve(nursery, app)
        for _ in range(LIMITS.max_connections):
            nursery.start_soon(_ask, port)
        await trio.sleep(0.2)
        for _ in range(5 * LIMITS.max_connections):
            stream = await trio.open_tcp_stream('127.0.0.1', port)
            await stream.send_all(REQUEST)
            await stream.aclose()
        with trio.fail_after(1.5):
            assert b'answer' in await _ask(port)
        nursery.cancel_scope.cancel()
    assert app.runs == LIMITS.max_connections + 1


async def test_a_request_that_gets_no_slot_is_refused():
    """Guards against clients that learn nothing before they give up."""
    app = _App(3.0)
    async with trio.open_nursery() as nursery:
        port = await _serve(nursery, app, build_refusal=lambda: REFUSAL)
        for _ in range(LIMITS.max_connections):
            nursery.start_soon(_ask, port)
        await trio.sleep(0.5)
        with trio.fail_after(1.0):
            assert await _ask(port) == REFUSAL
        nursery.cancel_scope.cancel()
    assert app.runs == LIMITS.max_connections


async def test_a_client_that_asks_late_has_time_to_wait():
    """Guards against a refusal that counts the time before the request."""
    app = _App(1.0)
    async with trio.open_nursery() as nursery:
        port = await _serve(nursery, app, build_refusal=lambda: REFUSAL)
        for _ in range(LIMITS.max_connections):
            nursery.start_soon(_ask, port)
        await trio.sleep(0.2)
        async with await trio.open_tcp_stream('127.0.0.1', port) as stream:
            await trio.sleep(0.7)
            await stream.send_all(REQUEST)
            assert b'answer' in await stream.receive_some(65536)
        nursery.cancel_scope.cancel()


async def test_a_burst_on_a_slow_process_is_answered_late_not_refused():
    """Guards against refusals while there are slots for all clients."""
    answers = []

    async def ask():
        answers.append(await _ask(port))

    sock = serving.bind('127.0.0.1', ports.reserve())
    port = sock.getsockname()[1]
    thread = threading.Thread(target=trio.run, args=(_serve_slowly, sock))
    thread.start()
    try:
        async with trio.open_nursery() as nursery:
            for _ in range(120):
                nursery.start_soon(ask)
    finally:
        await trio.to_thread.run_sync(thread.join)
    assert [b' 200 ' in answer for answer in answers] == [True] * 120


async def test_kept_connections_outlive_clients_that_come_and_go():
    """Guards against sound clients that lose a kept connection for others."""
    answers = []

    async def come_and_go():
        while True:
            answers.append(await _ask(port))

    async with trio.open_nursery() as nursery:
        port = await _serve(nursery, _App(0.0))
        kept = [
            await trio.open_tcp_stream('127.0.0.1', port)
            for _ in range(LIMITS.max_connections - 1)
        ]
        for _ in range(2 * LIMITS.max_connections):
            nursery.start_soon(come_and_go)
        for stream in itertools.chain.from_iterable([kept] * 20):
            await stream.send_all(REQUEST)
            answer = await stream.receive_some(65536)
            assert b'answer' in answer and b'close' not in answer
        nursery.cancel_scope.cancel()
    assert answers and all(b'answer' in answer for answer in answers)


SERVICE_S = 0.02
PATIENCE_S = 0.5
PLAYED_S = 6.0


class _BusyApp:
    """Keeps the event loop busy for each request, as a slow processor does."""

    async def __call__(self, scope, receive, send):
        http = exchange.Exchange(scope, receive, send)
        time.sleep(SERVICE_S)
        if not http.caller_has_left():
            await http.respond(200, b'answer')


async def _serve_slowly(sock):
    limits = dataclasses.replace(LIMITS, max_connections=1000)
    server = serving.Server(
        _BusyApp(),
        sock,
        limits,
        port_name='slow',
        build_refusal=lambda: REFUSAL,
    )
    with trio.move_on_after(PLAYED_S + 1.0):
        await server.serve(trio.Event())


async def test_a_slow_process_answers_as_many_as_it_can():
    """Guards against a process that begins more than it answers in time.

    200 clients come at once and give up after a time in which it serves 25.
    """
    sock = serving.bind('127.0.0.1', ports.reserve())
    port = sock.getsockname()[1]
    answers = []

    async def come_back():
        while True:
            with trio.move_on_after(PATIENCE_S):
                with contextlib.suppress(OSError, trio.BrokenResourceError):
                    answers.append(await _ask(port))
            await trio.sleep(0.3)

    thread = threading.Thread(target=trio.run, args=(_serve_slowly, sock))
    thread.start()
    try:
        with trio.move_on_after(PLAYED_S):
            async with trio.open_nursery() as nursery:
                for _ in range(200):
                    nursery.start_soon(come_back)
    finally:
        await trio.to_thread.run_sync(thread.join)
    served = [answer for answer in answers if b' 200 ' in answer]
    assert len(served) >= 0.25 * PLAYED_S / SERVICE_S
