"""Tests of the relay of chat completions, with scripted engines."""

import pytest
import trio

from tests.lib import engines
from tests.lib import entry


async def restarts(
    wire: engines.EngineConnection, seen: engines.ReceivedRequest
) -> None:
    """Send the whole stream even when asked to resume."""
    await wire.head()
    await wire.tokens(1, engines.TOKENS)
    await wire.done()


async def ends_without_tokens(
    wire: engines.EngineConnection, seen: engines.ReceivedRequest
) -> None:
    """End a stream before its first token."""
    await wire.head()
    await wire.done()


async def ends_early(
    wire: engines.EngineConnection, seen: engines.ReceivedRequest
) -> None:
    """End the HTTP body properly, but without the final event."""
    await wire.head()
    await wire.tokens(seen.last_event_id + 1, 7)
    await wire.send(engines.h11.EndOfMessage())


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


async def test_stream_over_http_1_0(
    nursery: trio.Nursery,
) -> None:
    _, backend = await engines.start(nursery, 'e1', engines.serves)
    async with entry.running_host(backend) as fixture:
        headers = entry.headers_of('stables')
        body = engines.orjson.dumps(entry.BODY)
        lines = ''.join(f'{k}: {v}\r\n' for k, v in headers.items())
        head = (
            'POST /v1/chat/completions HTTP/1.0\r\n'
            f'{lines}Content-Length: {len(body)}\r\n\r\n'
        )
        got = await entry.send_raw(fixture, head.encode() + body)
    assert got.partition(b'\r\n\r\n')[2] == engines.whole_body()


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


async def test_connection_is_reused_after_a_complete_response(
    nursery: trio.Nursery,
) -> None:
    engine, backend = await engines.start(nursery, 'e1', engines.serves)
    async with entry.running_host(backend) as fixture:
        for _ in range(3):
            await entry.chat(fixture)
            with trio.fail_after(10):
                while len(fixture.dispatcher.grants[-1].ends) == 0:
                    await trio.sleep(0.01)
    assert engine.connections == 1


@pytest.mark.parametrize(
    ('first', 'have'),
    [
        (engines.dies_after(5), 5),
        (engines.silent_after(5), 5),
        (engines.silent_after(0), 0),
        (ends_early, 7),
        (engines.refuses(503, 'overloaded'), 0),
        (engines.refuses(500, 'crash'), 0),
    ],
    ids=['dies', 'silent', 'mute', 'cut', 'overloaded', 'error'],
)
@pytest.mark.parametrize(
    'second', [engines.serves, restarts], ids=['resumes', 'restarts']
)
async def test_response_is_complete_when_the_first_engine_fails(
    nursery: trio.Nursery,
    first: engines.Script,
    have: int,
    second: engines.Script,
) -> None:
    _, one = await engines.start(nursery, 'e1', first)
    other, two = await engines.start(nursery, 'e2', second)
    quick = {'silent_first_tokens': 1.01}
    async with entry.running_host(one, two, backends=quick) as fixture:
        fixture.shared.catalog = entry.catalog_of(first_token_target=0.1)
        answer = await entry.chat(fixture)
    assert answer.body == engines.whole_body()
    assert other.seen[0].last_event_id == have
    assert len(fixture.dispatcher.grants) == 2


@pytest.mark.parametrize('data', [b': still here\n\n', b'\n\n', b'x'])
@pytest.mark.parametrize('have', [0, 5])
async def test_stream_without_events_counts_as_silent(
    nursery: trio.Nursery, have: int, data: bytes
) -> None:
    # A stalled engine that sent a byte now and then was never given up.
    _, one = await engines.start(
        nursery, 'e1', engines.trickles_after(have, data)
    )
    other, two = await engines.start(nursery, 'e2', engines.serves)
    quick = {'silent_first_tokens': 1.01, 'silent_floor': 0.1}
    async with entry.running_host(one, two, backends=quick) as fixture:
        fixture.shared.catalog = entry.catalog_of(
            first_token_target=0.1, token_gap_target=0.001
        )
        with trio.fail_after(20):
            answer = await entry.chat(fixture)
    assert answer.tokens() == list(range(1, engines.TOKENS + 1))
    assert other.seen[0].last_event_id == have


@pytest.mark.parametrize('have', [0, 5])
async def test_stalled_stream_that_may_not_be_repeated_is_kept(
    nursery: trio.Nursery, have: int
) -> None:
    async def stalls(
        wire: engines.EngineConnection, seen: engines.ReceivedRequest
    ) -> None:
        await wire.head()
        await wire.tokens(1, have)
        await trio.sleep(0.4)
        await wire.tokens(have + 1, engines.TOKENS)
        await wire.done()

    engine, one = await engines.start(nursery, 'e1', stalls)
    _, two = await engines.start(nursery, 'e2', engines.serves)
    quick = {'silent_first_tokens': 1.01, 'silent_floor': 0.05}
    async with entry.running_host(one, two, backends=quick) as fixture:
        fixture.shared.catalog = entry.catalog_of(
            first_token_target=0.05, token_gap_target=0.001, idempotent=False
        )
        answer = await entry.chat(fixture)
    assert answer.body == engines.whole_body()
    assert len(engine.seen) == 1


async def test_resumes_only_on_the_same_model_version(
    nursery: trio.Nursery,
) -> None:
    _, one = await engines.start(nursery, 'e1', engines.dies_after(5))
    other, two = await engines.start(
        nursery, 'e2', engines.serves, model='another'
    )
    async with entry.running_host(one, two) as fixture:
        answer = await entry.chat(fixture)
    assert answer.tokens() == [1, 2, 3, 4, 5]
    assert b'event: error\ndata: {"error":{"reason":"no_backend"' in (
        answer.body
    )
    assert b'"run":"ran"' in answer.body
    assert not other.seen


async def test_request_refused_by_every_engine_is_not_run(
    nursery: trio.Nursery,
) -> None:
    _, one = await engines.start(
        nursery, 'e1', engines.refuses(503, 'overloaded')
    )
    async with entry.running_host(one) as fixture:
        answer = await entry.chat(fixture)
    assert answer.refusal() == ('no_backend', 'not_run')
    assert answer.headers['retry-after'] == '2'


async def test_invalid_request_is_refused_without_retry(
    nursery: trio.Nursery,
) -> None:
    engine, one = await engines.start(
        nursery, 'e1', engines.refuses(400, 'temperature')
    )
    async with entry.running_host(one) as fixture:
        answer = await entry.chat(fixture)
    assert answer.refusal() == ('bad_request', 'not_run')
    assert len(engine.seen) == 1


async def test_engine_is_cancelled_when_the_caller_leaves(
    nursery: trio.Nursery,
) -> None:
    engine, one = await engines.start(nursery, 'e1', engines.silent_after(3))
    slow = {'silent_floor': 60.0}
    async with entry.running_host(one, backends=slow) as fixture:
        async with entry.reading(fixture) as reader:
            await reader.until(3)
            await reader.close()
        with trio.fail_after(10):
            await engine.cancelled.wait()
        engine.script = engines.serves
        answer = await entry.chat(fixture)
    # The connection with the unread response is not reused.
    assert answer.body == engines.whole_body()
    assert engine.connections == 2
    assert fixture.dispatcher.grants[0].ends[0].value == 'caller_left'


async def test_slow_first_attempt_is_hedged_and_cancelled(
    nursery: trio.Nursery,
) -> None:
    slow, one = await engines.start(nursery, 'e1', engines.silent_after(0))
    _, two = await engines.start(nursery, 'e2', engines.serves)
    async with entry.running_host(one, two) as fixture:
        fixture.dispatcher.hedge = 0.01
        answer = await entry.chat(fixture)
        with trio.fail_after(10):
            await slow.cancelled.wait()
    assert answer.body == engines.whole_body()
    ends = [grant.ends[0].value for grant in fixture.dispatcher.grants]
    assert ends == ['cancelled', 'complete']


async def test_concurrent_callers_receive_their_own_responses(
    nursery: trio.Nursery,
) -> None:
    async def echoes(
        wire: engines.EngineConnection, seen: engines.ReceivedRequest
    ) -> None:
        said = engines.orjson.loads(seen.body)['messages'][0]['content']
        if len(wire.engine.seen) % 3 == 0:
            await engines.dies_after(0)(wire, seen)
        await wire.json(200, {'choices': [said]})

    listed = [
        (await engines.start(nursery, f'e{number}', echoes))[1]
        for number in range(4)
    ]
    received: dict[str, str] = {}

    async def send(fixture: entry.Fixture, text: str) -> None:
        body = {
            'messages': [{'role': 'user', 'content': text}],
        }
        answer = await entry.call(
            fixture.url + '/v1/chat/completions',
            body=body,
            headers=entry.headers_of('stables'),
        )
        if answer.status == 200:
            received[text] = answer.json()['choices'][0]

    async with entry.running_host(*listed) as fixture:
        async with trio.open_nursery() as callers:
            for number in range(40):
                callers.start_soon(send, fixture, f'rug {number}')
    assert all(text == said for text, said in received.items())
    assert len(received) > 20


async def test_empty_stream_is_retried(nursery: trio.Nursery) -> None:
    _, empty = await engines.start(nursery, 'e1', ends_without_tokens)
    _, backend = await engines.start(nursery, 'e2', engines.serves)
    async with entry.running_host(empty, backend) as fixture:
        answer = await entry.chat(fixture)
    assert answer.body == engines.whole_body()
