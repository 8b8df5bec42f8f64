"""Servers whose process ends within a response that has no length.

The operating system closes the connections of the process. If that happens
between two events, the response looks as if it were complete.
"""

import pytest
import trio

from corianderloft._internal.network import engine_connection
from tests.lib import gateway
from tests.lib import processes


async def test_a_stream_that_ends_with_its_server_does_not_look_complete():
    async with gateway.running(('end_stream',)) as system:
        response = await system.request('POST', '/chat/1')
        assert len(system.runs()) == 1
    assert response.status == 200
    assert not response.complete
    assert response.body.count(b'data: token') == 2


async def test_a_stream_that_ends_with_its_server_resumes_elsewhere():
    async with gateway.running(('end_stream', 'stream')) as system:
        responses = [
            await system.request('POST', f'/quote/{number}')
            for number in range(4)
        ]
        resumed = [r.headers.get('last-event-id') for r in system.runs()]
    assert [response.complete for response in responses] == [True] * 4
    for response in responses:
        assert response.body.count(b'data: token') == 4
    assert resumed.count('1') == 1


async def test_a_response_that_ends_with_its_server_is_not_delivered():
    async with gateway.running(('end_whole',)) as system:
        response = await system.request('POST', '/book/1')
        assert len(system.runs()) == 1
    assert response.status == 502


@pytest.mark.parametrize('mode', ['unframed_stream', 'stream'])
async def test_connections_to_a_live_server_are_kept(mode):
    # The connection that shows that the server lives carries a request.
    async with gateway.running((mode,)) as system:
        for number in range(3):
            response = await system.request('POST', f'/chat/{number}')
            assert response.complete
        assert system.engines[0].connections <= 4


async def _ask_a_server_that_leaves(system, target, ends_at_once):
    """Return the response of a server that ends with or after it."""
    engine = system.engines[0]
    engine.may_end = trio.Event()
    engine.ends_with_stream = ends_at_once
    responses = []

    async def ask():
        responses.append(await system.request('POST', target))

    async def is_left():
        response = await system.request(deadline_ms=300)
        return response.status == 503 or len(system.engines) > 1

    async with trio.open_nursery() as nursery:
        nursery.start_soon(ask)
        await processes.wait_for(lambda: engine.seen, 'it is sent')
        system.register(engine, state='draining')
        await processes.wait_for(is_left, 'the server gets no requests')
        engine.may_end.set()
    (response,) = responses
    return response


async def test_the_last_response_of_a_server_that_leaves_is_complete():
    async with gateway.running(('unframed_stream',)) as system:
        response = await _ask_a_server_that_leaves(system, '/chat/1', False)
    assert response.complete
    assert response.body.count(b'data: token') == 4


async def test_an_end_together_with_a_server_that_leaves_is_not_complete():
    # A server that leaves may end in the middle of a stream, too.
    async with gateway.running(('unframed_stream',)) as system:
        response = await _ask_a_server_that_leaves(system, '/chat/1', True)
    assert not response.complete
    assert response.body.count(b'data: token') == 4


async def test_a_resumable_stream_that_ends_with_its_server_is_asked_on():
    async with gateway.running(('unframed_stream',)) as system:
        asked = system.engines[0]
        other = await system.add_engine('stream', register=False)
        # Too long a pause before the end would count as silence.
        asked.pause = 0.2
        asked.may_end = trio.Event()
        responses = []

        async def ask():
            responses.append(await system.request('POST', '/quote/1'))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await processes.wait_for(lambda: asked.seen, 'it is sent')
            system.register(other)
            system.register(asked, state='draining')
            await processes.wait_for(
                lambda: _answers(system, other), 'the other server is known'
            )
            asked.may_end.set()
        (response,) = responses
        continued = [
            seen.headers['last-event-id']
            for seen in other.seen
            if 'last-event-id' in seen.headers
        ]
    assert response.complete
    assert response.body.count(b'data: token') == 4
    assert continued == ['3']


async def _answers(system, engine):
    await system.request(deadline_ms=300)
    return engine.seen


async def test_a_server_at_its_limit_of_connections_has_not_ended():
    async with gateway.running(('unframed_stream',)) as system:
        engine = system.engines[0]
        engine.max_connections = 1
        response = await system.request('POST', '/chat/1')
    assert response.complete
    assert response.body.count(b'data: token') == 4


async def test_a_response_without_a_body_needs_no_other_connection():
    async with gateway.running(('no_body',)) as system:
        for _ in range(5):
            response = await system.request('POST', '/book/1')
            assert response.status == 204
        assert system.engines[0].connections == 1


@pytest.mark.parametrize(
    ('method', 'status', 'headers', 'expected'),
    [
        ('GET', 200, [], True),
        ('GET', 500, [(b'Date', b'-')], True),
        ('GET', 200, [(b'Content-Length', b'1')], False),
        ('GET', 200, [(b'Transfer-Encoding', b'chunked')], False),
        ('HEAD', 200, [], False),
        ('POST', 204, [], False),
        ('GET', 304, [], False),
    ],
)
def test_which_responses_end_with_their_connection(
    method, status, headers, expected
):
    ends = engine_connection.ends_with_connection(method, status, headers)
    assert ends is expected
