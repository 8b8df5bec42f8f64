"""Stand-ins started as processes."""

import orjson

from tests.lib import calls
from tests.lib import processes

CHAT = {
    'model': 'model-1',
    'messages': [{'role': 'user', 'content': 'hello [tokens:5]'}],
    'stream': True,
}


async def test_another_engine_continues_the_same_answer() -> None:
    async with processes.running() as started:
        one = await started.standin('engine', engine_id='one', step_time=0)
        two = await started.standin('engine', engine_id='two', step_time=0)
        path = '/v1/chat/completions'
        whole = await calls.post(one.port, path, CHAT)
        rest = await calls.post(two.port, path, CHAT, last_event_id='2')
    events = whole.content.replace(b'engine-1', b'').split(b'\n\n')
    assert events[5].startswith(b'id: 5\n')
    assert events[6:] == [b'data: [DONE]', b'']
    assert rest.content.replace(b'engine-1', b'').split(b'\n\n') == events[2:]


async def test_the_plain_service_counts_runs() -> None:
    async with processes.running() as started:
        service = await started.standin('service')
        for runs in (1, 2):
            reply = await calls.post(
                service.port, '/bookings', {'booking': 'b1'}
            )
            assert orjson.loads(reply.content)['runs'] == runs


async def test_paused_process_can_be_resumed() -> None:
    async with processes.running() as started:
        kv = await started.standin('kv')
        kv.pause()
        kv.resume()
        reply = await calls.post(kv.port, '/v3/kv/range', {'key': 'YQ=='})
        assert reply.status == 200
        kv.terminate()
        await kv.wait_ended()
