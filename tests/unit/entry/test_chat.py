"""Tests of relayed chat completions against scripted engines."""

import trio

from tests.lib import engines
from tests.lib import entry


async def test_stream_is_relayed_whole(nursery: trio.Nursery) -> None:
    _, backend = await engines.start(nursery, 'e1', engines.serves)
    async with entry.running_host(backend) as fixture:
        answer = await entry.chat(fixture, X_Request_Id='r1')
        assert answer.status == 200
        assert answer.body == engines.whole_body()
        assert answer.headers['x-request-id'] == 'r1'
        assert answer.headers['content-type'] == 'text/event-stream'
    grant = fixture.dispatcher.grants[0]
    assert grant.tokens == engines.TOKENS
    assert [end.value for end in grant.ends] == ['complete']


async def test_completion_is_relayed(nursery: trio.Nursery) -> None:
    engine, backend = await engines.start(nursery, 'e1', engines.serves)
    async with entry.running_host(backend) as fixture:
        answer = await entry.call(
            fixture.url + '/v1/chat/completions',
            body={**entry.BODY, 'stream': False},
            headers=entry.headers_of('stables'),
        )
    assert answer.json()['choices'][0]['message']['content'] == 'ready'
    assert engine.seen[0].headers['x-request-id'].startswith('stables:')
