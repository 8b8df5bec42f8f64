"""Requests through a gateway host, as seen by callers and backend servers."""

import socket

import orjson
import trio

from corianderloft._internal.network import exchange
from tests.lib import gateway
from tests.lib import processes


async def test_a_request_reaches_a_server_unchanged():
    async with gateway.running() as system:
        response = await system.request(
            'POST',
            '/book/7?fast=1',
            body=b'two pallets',
            headers=[('X-Own', 'kept'), ('Corianderloft-Tenant', 'forged')],
        )
        (seen,) = system.runs()
    assert response.status == 200
    assert response.body == b'answer of e-0'
    signature = response.headers['corianderloft-response-signature']
    assert signature == 'signed-by-e-0'
    assert (seen.method, seen.target) == ('POST', '/book/7?fast=1')
    assert seen.body == b'two pallets'
    assert seen.headers['x-own'] == 'kept'
    assert seen.headers['corianderloft-tenant'] == 'aswan'
    assert seen.headers['corianderloft-target-instance'] == 'e-0'
    assert 1500 <= int(seen.headers['corianderloft-deadline-ms']) <= 2000
    assert 'authorization' not in seen.headers


async def test_reserved_headers_from_a_caller_are_dropped():
    forged = [
        'Corianderloft-Hold',
        'Corianderloft-Pin-Ms',
        'Corianderloft-Kv-Backup',
        'Kv-From',
        'Kv-Fetch',
        'Corianderloft-Request-Priority',
    ]
    async with gateway.running() as system:
        await system.request(headers=[(name, '1') for name in forged])
        (seen,) = system.runs()
    assert not {name.lower() for name in forged} & seen.headers.keys()


async def test_unknown_routes_bad_keys_and_large_bodies_are_refused():
    async with gateway.running() as system:
        unknown = await system.request(target='/nowhere/1')
        no_key = await system.request(key=None)
        wrong_key = await system.request(key='wrong')
        large = await system.request('POST', '/book/1', body=b'x' * 10001)
        assert system.runs() == []
    statuses = [a.status for a in (unknown, no_key, wrong_key, large)]
    assert statuses == [404, 401, 401, 413]


async def test_an_error_response_is_retried_only_for_idempotent_requests():
    async with gateway.running(('error', 'whole')) as system:
        responses = [await system.request() for _ in range(6)]
        booked = [await system.request('POST', '/book/1') for _ in range(6)]
        runs = system.runs()
    assert {response.status for response in responses} == {200}
    assert len([s for s in runs if s.method == 'POST']) == len(booked)
    assert {response.status for response in booked} <= {200, 500}


async def test_a_rejected_request_goes_to_another_server():
    async with gateway.running(('reject', 'whole')) as system:
        booked = [await system.request('POST', '/book/1') for _ in range(6)]
    assert {response.status for response in booked} == {200}


async def test_only_requests_that_did_not_run_are_refused_as_not_run():
    async with gateway.running(('reject',)) as system:
        rejected = await system.request('POST', '/book/1')
        system.engines[0].mode = 'reset'
        reset = await system.request('POST', '/book/1')
    assert rejected.status == 503
    assert float(rejected.headers['retry-after']) > 0
    assert reset.status == 502


async def test_truncated_and_unsigned_responses_are_not_forwarded():
    async with gateway.running(('cut',)) as system:
        cut = await system.request('POST', '/book/1')
        system.engines[0].mode = 'unsigned'
        unsigned = await system.request('POST', '/book/1')
    assert [cut.status, unsigned.status] == [502, 502]


async def test_a_duplicate_response_is_discarded():
    async with gateway.running(('twice',)) as system:
        responses = [await system.request('POST', '/book/1') for _ in range(3)]
    assert [response.body for response in responses] == [b'answer of e-0'] * 3


async def test_another_server_at_the_address_does_not_run_the_request():
    async with gateway.running() as system:
        engine = system.engines[0]
        engine.engine_id = 'e-other'
        response = await system.request('POST', '/book/1')
        assert system.runs() == []
    assert response.status == 503


async def test_a_stream_is_forwarded_completely():
    async with gateway.running(('stream',)) as system:
        response = await system.request('POST', '/chat/1')
    assert response.complete
    assert response.body.count(b'data: token') == 4


async def test_a_truncated_stream_does_not_look_complete():
    async with gateway.running(('cut_stream',)) as system:
        response = await system.request('POST', '/chat/1')
        assert len(system.runs()) == 1
    assert response.status == 200
    assert not response.complete
    assert response.body.count(b'data: token') == 2


async def test_a_stream_that_ends_with_its_connection_is_forwarded():
    async with gateway.running(('unframed_stream',)) as system:
        response = await system.request('POST', '/chat/1')
    assert response.complete
    assert response.body.count(b'data: token') == 4


async def test_a_stream_that_ends_inside_an_event_does_not_look_complete():
    async with gateway.running(('half_event',)) as system:
        response = await system.request('POST', '/chat/1')
        assert len(system.runs()) == 1
    assert response.status == 200
    assert not response.complete
    assert response.body.count(b'data: token') == 2


async def test_a_stream_that_ends_inside_an_event_resumes_elsewhere():
    async with gateway.running(('half_event', 'half_event')) as system:
        system.engines[1].cut_after = system.engines[0].cut_after = 3
        response = await system.request('POST', '/quote/1')
        resumed = [r.headers.get('last-event-id') for r in system.runs()]
    assert sorted(resumed, key=str) == ['2', None]
    assert not response.complete
    assert response.body.count(b'data: token') == 3


async def test_a_stream_that_ends_with_its_connection_before_any_event():
    async with gateway.running(('half_event',)) as system:
        system.engines[0].cut_after = 0
        response = await system.request('POST', '/chat/1')
    assert response.status == 502


async def test_a_resumable_stream_resumes_on_another_server():
    async with gateway.running(('cut_stream', 'cut_stream')) as system:
        response = await system.request('POST', '/quote/1')
        runs = system.runs()
    numbers = [
        int(line.rpartition(b' ')[2])
        for line in response.body.split(b'\n')
        if line.startswith(b'data: token')
    ]
    assert response.complete
    assert numbers == [0, 1, 2, 3]
    resumed = [r.headers.get('last-event-id') for r in runs]
    assert sorted(resumed, key=str) == ['1', None]


async def test_a_host_that_is_slow_at_the_end_of_a_stream_completes_it(
    monkeypatch,
):
    """The silence timeout must not cancel the end of a stream.

    In soak seed 31 a host was paused before it sent the end of a stream; the
    timeout for silent servers expired meanwhile and cancelled it.
    """
    end = exchange.Exchange.end_stream

    async def slow_end(self):
        await trio.sleep(0.6)
        await end(self)

    monkeypatch.setattr(exchange.Exchange, 'end_stream', slow_end)
    async with gateway.running(('stream', 'stream')) as system:
        response = await system.request('POST', '/quote/1', timeout_s=4.0)
        assert len(system.runs()) == 1
    assert response.complete
    assert response.body.count(b'data: token') == 4


async def test_a_disconnect_cancels_the_request_at_the_server():
    async with gateway.running(('hang',)) as system:
        with trio.move_on_after(0.3):
            await system.request('POST', '/chat/1', deadline_ms=9000)
        engine = system.engines[0]
        await processes.wait_for(
            lambda: engine.disconnects, 'the server is left', 2
        )


async def test_requests_of_callers_that_left_before_the_read_are_not_sent():
    # A host that is short of processor time finds both the request and the
    # end of the connection when it reads. An open connection to the server
    # makes the send immediate.
    async with gateway.running() as system:
        await system.request('GET', '/look/1')
        engine = system.engines[0]
        before = len(engine.seen)
        for number in range(20):
            head = (
                f'GET /look/gone-{number} HTTP/1.1\r\n'
                f'Host: {gateway.HOST}\r\n'
                f'Authorization: Bearer {gateway.KEY}\r\n'
                f'Corianderloft-Attempt-Id: gone-{number}\r\n\r\n'
            )
            with socket.create_connection(
                ('127.0.0.1', system.cfg.caller_port)
            ) as conn:
                conn.sendall(head.encode())
        await trio.sleep(0.2)
        assert len(engine.seen) == before


async def test_the_timeout_of_a_route_ends_a_request():
    routes = [dict(r, timeout_ms=300) for r in gateway.ROUTES]
    document = gateway.configuration(routes=routes)
    async with gateway.running(('hang',), document) as system:
        response = await system.request(
            'POST', '/book/1', deadline_ms=9000, timeout_s=5.0
        )
    assert response.status == 504


async def test_pipelined_requests_are_answered_in_order():
    async with gateway.running() as system:
        stream = await trio.open_tcp_stream(
            '127.0.0.1', system.cfg.caller_port
        )
        lines = ''.join(
            f'GET /look/{n} HTTP/1.1\r\nHost: {gateway.HOST}\r\n'
            f'Corianderloft-Attempt-Id: p{n}\r\n'
            f'Authorization: Bearer {gateway.KEY}\r\n\r\n'
            for n in range(3)
        )
        await stream.send_all(lines.encode())
        got = b''
        with trio.fail_after(5):
            while got.count(b'answer of e-0') < 3:
                got += await stream.receive_some(65536)
    assert [s.headers['corianderloft-attempt-id'] for s in system.runs()] == [
        'p0',
        'p1',
        'p2',
    ]


async def test_addresses_and_metrics_are_served():
    async with gateway.running() as system:
        await system.request()

        async def listed():
            response = await gateway.fetch(
                system.cfg.address_port, 'GET', '/resolve?name=x'
            )
            return response.status == 200 and orjson.loads(response.body)

        found = await processes.wait_for(listed, 'the host is listed')
        metrics = await gateway.fetch(
            system.cfg.metrics_port, 'GET', '/metrics'
        )
    assert found['addresses'] == [f'127.0.0.1:{system.cfg.caller_port}']
    assert b'corianderloft_gateway_requests_total' in metrics.body
