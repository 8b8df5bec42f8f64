"""Tests of the stand-ins as processes."""

import httpcore
import orjson

from tests.lib import processes

CHAT = {
    'model': 'model-1',
    'messages': [{'role': 'user', 'content': 'hello [tokens:5]'}],
    'stream': True,
}


async def post(
    port: int, path: str, body: object, **headers: str
) -> httpcore.Response:
    """Call a stand-in over a connection of its own."""
    async with httpcore.AsyncConnectionPool() as pool:
        return await pool.request(
            'POST',
            f'http://127.0.0.1:{port}{path}',
            headers=[(k.replace('_', '-'), v) for k, v in headers.items()],
            content=orjson.dumps(body),
        )


async def test_another_engine_continues_the_same_answer() -> None:
    async with processes.running() as started:
        one = await started.standin('engine', engine_id='one', step_time=0)
        two = await started.standin('engine', engine_id='two', step_time=0)
        path = '/v1/chat/completions'
        whole = await post(one.port, path, CHAT, x_request_id='r1')
        rest = await post(
            two.port, path, CHAT, x_request_id='r1', last_event_id='2'
        )
    events = whole.content.split(b'\n\n')
    assert events[5].startswith(b'id: 5\n')
    assert events[6:] == [b'data: [DONE]', b'']
    assert rest.content.split(b'\n\n') == events[2:]


async def test_the_plain_service_counts_runs() -> None:
    async with processes.running() as started:
        service = await started.standin('service')
        for runs in (1, 2):
            reply = await post(service.port, '/bookings', {'booking': 'b1'})
            assert orjson.loads(reply.content)['runs'] == runs


async def test_a_frozen_process_goes_on() -> None:
    async with processes.running() as started:
        kv = await started.standin('kv')
        kv.stop()
        kv.resume()
        reply = await post(kv.port, '/v3/kv/range', {'key': 'YQ=='})
        assert reply.status == 200
        kv.terminate()
        await kv.wait_ended()
