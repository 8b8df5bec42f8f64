"""What is added to a stream that has begun, and what ends it.

A stream goes on at another server after a failure. Whatever came back was
added to it, and any end of a connection was taken for its end.
"""

import collections
import contextlib
import random
import re

import h11
import pytest
import trio

from tests.lib import gateway
from tests.lib import stream_engine

CUT_AFTER = 5
LAST = stream_engine.EVENTS - 1
NUMBER = re.compile(rb'^id: (\d+)$', re.MULTILINE)
WHOLE = list(range(stream_engine.EVENTS))
BEGUN = list(range(CUT_AFTER))
DEADLINE_MS = 3000

FAILURES = ['204', '302', '400', '404', '409', '413', '429', '500', '503']
OTHER_RUNS = ['anew', 'repeat', 'skip', 'empty', 'other_id', 'unsigned']


@contextlib.asynccontextmanager
async def running(*behaviours):
    """Run a host and engines, and yield the system and the engines."""
    async with (
        gateway.running((), start=False) as system,
        trio.open_nursery() as nursery,
    ):
        engines = []
        for number, fields in enumerate(behaviours):
            behaviour = stream_engine.Behaviour(f's-{number}', pause=0.0)
            engine = stream_engine.StreamEngine(behaviour)
            for name, value in fields.items():
                setattr(behaviour, name, value)
            await nursery.start(engine.serve)
            system.register(engine)
            engines.append(engine)
        await system.start_host()
        yield system, engines
        nursery.cancel_scope.cancel()


def numbers(response):
    """Return the ids of the events of a response."""
    return [int(number) for number in NUMBER.findall(response.body)]


async def ask(system, target='/quote/1', after=None):
    """Ask for a stream, or for the events after one."""
    headers = [] if after is None else [('Last-Event-Id', str(after))]
    return await system.request(
        'POST', target, headers=headers, deadline_ms=DEADLINE_MS
    )


async def asked_of_the_first(system, engines):
    """Return the first stream whose first server broke it off."""
    for number in range(20):
        response = await ask(system, f'/quote/{number}')
        if (f'/quote/{number}', None) in engines[0].asked:
            return response
    raise AssertionError('the server that breaks off was not asked')


@pytest.mark.parametrize('resumed', FAILURES)
async def test_a_failure_of_the_next_server_is_not_added_to_a_stream(resumed):
    cut, other = {'cut_after': CUT_AFTER}, {'resumed': [resumed]}
    async with running(cut, other) as (system, engines):
        response = await asked_of_the_first(system, engines)
    assert not response.complete
    assert numbers(response) == BEGUN
    assert b'no such event' not in response.body


@pytest.mark.parametrize('resumed', OTHER_RUNS)
async def test_another_run_of_the_next_server_is_not_added_to_a_stream(
    resumed,
):
    cut, other = {'cut_after': CUT_AFTER}, {'resumed': [resumed]}
    async with running(cut, other) as (system, engines):
        response = await asked_of_the_first(system, engines)
    assert not response.complete
    assert numbers(response) == BEGUN


STATUS_LINES = [b'HTTP/1.1 %d -\r\n' % n for n in (200, 204, 206, 404, 500)]
SIGNATURE = b'Corianderloft-Response-Signature: s\r\n'
ATTEMPT_ID = b'Corianderloft-Attempt-Id: {id}\r\n'
HEADERS = [
    b'Content-Type: text/event-stream\r\n',
    b'Content-Type: application/json\r\n',
    b'Content-Length: 40\r\n',
    b'Corianderloft-Not-Executed: 1\r\n',
    b'Connection: close\r\n',
    b'Server-Leaving: 1\r\n',
]


def arbitrary_response(rng):
    """Return bytes that may be a response, and the rest of a stream."""
    body = b''.join(
        rng.choice(
            [
                b'id: %d\ndata: x\n\n' % rng.randrange(8),
                b'id: 5\ndata: x\n\n',
                b'id: x\ndata: x\n\n',
                b'data: x\n\n',
                b': comment\n\n',
                b'id: 5\n',
                b'<html>',
                b'\x00\xff',
            ]
        )
        for _ in range(rng.randrange(4))
    )
    if rng.random() < 0.5:
        body = b'id: 5\ndata: x\n\nid: 6\ndata: x\n\n' + body
    head = rng.choice([STATUS_LINES[0], rng.choice(STATUS_LINES)])
    head += rng.choice([SIGNATURE + ATTEMPT_ID, SIGNATURE, ATTEMPT_ID])
    head += b''.join(rng.sample(HEADERS, rng.randrange(3)))
    if rng.random() < 0.5:
        head += b'Transfer-Encoding: chunked\r\n'
        body = b'%x\r\n%b\r\n' % (len(body), body) if body else b''
        body += rng.choice([b'0\r\n\r\n', b''])
    return rng.choice([head + b'\r\n' + body, head + b'\r\n' + body, body])


async def test_arbitrary_bytes_of_the_next_server_never_break_the_order():
    behaviour = {'cut_after': CUT_AFTER, 'resumed': ['raw']}
    rng = random.Random(37)
    lengths = collections.Counter()
    async with running(behaviour, behaviour) as (system, engines):
        for number in range(150):
            raw = arbitrary_response(rng)
            for engine in engines:
                engine.behaviour.raw = raw
            response = await ask(system, f'/quote/{number}')
            ids = numbers(response)
            assert ids[:CUT_AFTER] == BEGUN, raw
            assert ids == list(range(len(ids))), raw
            assert b'html' not in response.body, raw
            assert not response.complete or len(ids) > CUT_AFTER, raw
            lengths[len(ids)] += 1
        asked = [after for e in engines for _, after in e.asked]
    assert len(asked) - asked.count(None) > 20
    assert len(lengths) > 1


@pytest.mark.parametrize('step', [1, 6])
async def test_the_rest_of_a_stream_is_added_to_it(step):
    cut, other = {'cut_after': CUT_AFTER, 'step': step}, {'step': step}
    async with running(cut, other) as (system, engines):
        response = await asked_of_the_first(system, engines)
    assert response.complete
    assert numbers(response) == [step * number for number in WHOLE]


@pytest.mark.parametrize('resumed', ['anew', 'repeat'])
async def test_events_that_the_caller_has_are_not_sent_again(resumed):
    async with running({'resumed': [resumed]}) as (system, _):
        response = await ask(system, after=7)
    assert response.status == 502


async def test_a_caller_that_asks_for_the_rest_gets_it_without_a_gap():
    async with running({'resumed': ['skip']}) as (system, _):
        assert (await ask(system)).complete
        response = await ask(system, after=7)
    assert response.status == 502


async def test_a_caller_that_has_all_events_gets_the_end():
    async with running({}) as (system, _):
        response = await ask(system, after=LAST)
    assert (response.status, response.complete) == (200, True)
    assert response.body == b''


@pytest.mark.parametrize('after', ['run-7', '9' * 30])
async def test_a_position_that_is_no_number_reaches_the_server(after):
    async with running({}) as (system, engines):
        await ask(system, after=after)
    assert [asked for _, asked in engines[0].asked] == [after]


@pytest.mark.parametrize('cut', ['connections', 'server', 'replaced'])
async def test_an_end_of_all_connections_is_not_that_of_a_stream(cut):
    behaviour = {
        'cut_after': CUT_AFTER,
        'cut': cut,
        'unframed': 1.0,
        'pause': 0.01,
    }
    async with running(behaviour) as (system, _):
        response = await ask(system, '/chat/1')
    assert not response.complete
    assert numbers(response) == BEGUN


@pytest.mark.parametrize('cut', ['connections', 'server', 'replaced'])
async def test_a_stream_goes_on_after_an_end_of_all_connections(cut):
    behaviour = {
        'cut_after': CUT_AFTER,
        'cut': cut,
        'unframed': 1.0,
        'pause': 0.01,
    }
    async with running(behaviour, {}) as (system, engines):
        response = await asked_of_the_first(system, engines)
    assert response.complete
    assert numbers(response) == WHOLE


@pytest.mark.parametrize('cut', ['connections', 'replaced'])
async def test_an_end_right_after_the_head_is_not_that_of_a_stream(cut):
    async with running({'unframed': 1.0}) as (system, engines):
        assert (await ask(system, '/chat/1')).complete
        engines[0].behaviour.cut = cut
        engines[0].behaviour.cut_after = 1
        await trio.sleep(0.1)
        response = await ask(system, '/chat/2')
    assert not response.complete
    assert numbers(response) == [0]


async def test_a_stream_that_ends_with_a_leaving_server_is_not_complete():
    behaviour = {
        'cut_after': CUT_AFTER,
        'cut': 'server',
        'unframed': 1.0,
        'pause': 0.1,
    }
    async with running(behaviour) as (system, engines):
        responses = []

        async def ask_once():
            responses.append(await ask(system, '/chat/1'))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask_once)
            await trio.sleep(0.1)
            system.register(engines[0], state='draining')
    (response,) = responses
    assert not response.complete
    assert numbers(response) == BEGUN


async def test_whole_streams_without_a_length_are_complete():
    behaviour = {'unframed': 1.0, 'pause': 0.005}
    async with running(behaviour, behaviour) as (system, _):
        for target in ('/chat/1', '/quote/1'):
            response = await ask(system, target)
            assert response.complete
            assert numbers(response) == WHOLE


async def _ask_in_http_1_0(system, target):
    """Return the body, and whether its end was that of the connection."""
    http = h11.Connection(h11.CLIENT)
    fields = [
        ('Host', gateway.HOST),
        ('Corianderloft-Attempt-Id', 'old'),
        ('Corianderloft-Deadline-Ms', str(DEADLINE_MS)),
        ('Authorization', f'Bearer {gateway.KEY}'),
        ('Content-Length', '0'),
    ]
    data = http.send(h11.Request(method='POST', target=target, headers=fields))
    data = data.replace(b'HTTP/1.1', b'HTTP/1.0', 1)
    body = b''
    port = system.cfg.caller_port
    async with await trio.open_tcp_stream('127.0.0.1', port) as stream:
        await stream.send_all(data + http.send(h11.EndOfMessage()))
        try:
            while received := await stream.receive_some(65536):
                body += received
        except trio.BrokenResourceError:
            return body, False
    return body, True


async def test_a_cut_stream_of_an_http_1_0_caller_ends_with_a_reset():
    async with running({'cut_after': CUT_AFTER, 'pause': 0.01}) as (system, _):
        body, ended = await _ask_in_http_1_0(system, '/chat/1')
    assert b'id: 0\n' in body
    assert not ended


async def test_a_whole_stream_of_an_http_1_0_caller_ends_with_a_close():
    async with running({'pause': 0.01}) as (system, _):
        body, ended = await _ask_in_http_1_0(system, '/chat/1')
    assert [int(number) for number in NUMBER.findall(body)] == WHOLE
    assert ended
