"""Responses whose end does not prove that they are complete, end to end.

A caller took a part of such a response, or a response with no valid status,
for the answer.
"""

import pytest
import trio

from corianderloft._internal.gateway import change_log
from corianderloft._internal.gateway import change_messages
from corianderloft._internal.kv import interface as kv
from tests.lib import gateway
from tests.lib import raw_server

LONG_BODY = bytes(4 * 2**20)
SIGNED = (
    b'Corianderloft-Response-Signature: signed-by-raw\r\n'
    b'Corianderloft-Attempt-Id: {id}\r\n'
    b'Content-Type: text/event-stream\r\n'
)
EVENTS = b'id: 0\ndata: token 0\n\nid: 1\ndata: token 1\n\n'
UNFRAMED = b'HTTP/1.1 200 OK\r\n' + SIGNED + b'\r\n' + EVENTS


def configuration():
    """Return declarations that allow a body that fills all buffers."""
    limits = {
        'max_header_bytes': 4096,
        'max_body_bytes': len(LONG_BODY),
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 5000,
    }
    return gateway.configuration(limits=limits)


async def answer_to(raw, end, target, body, reads_body=False):
    """Return what a caller gets of a response, and the requests sent."""
    async with gateway.running((), configuration(), start=False) as system:
        server = raw_server.RawServer(raw, end, reads_body)
        async with trio.open_nursery() as nursery:
            await nursery.start(server.serve)
            system.register(server)
            await system.start_host()
            answer = await system.request('POST', target, body=body)
            nursery.cancel_scope.cancel()
        return answer, server.seen


@pytest.mark.parametrize('end', [raw_server.RESET, raw_server.END_THEN_RESET])
@pytest.mark.parametrize('body', [b'body', LONG_BODY])
@pytest.mark.parametrize('target', ['/book/1', '/chat/1', '/quote/1'])
async def test_a_response_without_a_length_does_not_end_with_a_reset(
    target, body, end
):
    answer, seen = await answer_to(UNFRAMED, end, target, body)
    assert len(seen) == 1
    if target == '/book/1':
        assert answer.status == 502
    else:
        assert not answer.complete
        assert answer.body in (b'', EVENTS)


@pytest.mark.parametrize('body', [b'body', LONG_BODY])
async def test_a_whole_response_before_a_reset_is_delivered(body):
    raw = b'HTTP/1.1 200 OK\r\n' + SIGNED + b'Content-Length: 5\r\n\r\nwhole'
    answer, _ = await answer_to(raw, raw_server.RESET, '/book/1', body)
    assert (answer.status, answer.body) == (200, b'whole')


async def test_an_orderly_end_is_that_of_a_response_without_a_length():
    answer, _ = await answer_to(
        UNFRAMED, raw_server.END, '/chat/1', b'body', reads_body=True
    )
    assert (answer.complete, answer.body) == (True, EVENTS)


@pytest.mark.parametrize('reads_body', [False, True])
@pytest.mark.parametrize('raw', [b'', b'HTTP/1.1 20', b'HTTP/1.1 200 OK\r\n'])
async def test_an_end_without_a_response_does_not_tell_that_nothing_ran(
    raw, reads_body
):
    answer, seen = await answer_to(
        raw, raw_server.END, '/book/1', LONG_BODY, reads_body
    )
    assert len(seen) == 1
    assert answer.status == 502


@pytest.mark.parametrize('target', ['/book/1', '/chat/1', '/look/1'])
@pytest.mark.parametrize(
    'line',
    [
        b'HTTP/1.1 000 OK',
        b'HTTP/1.1 099 OK',
        b'HTTP/1.1 1000 OK',
        b'HTTP/1.1 20',
        b'HTTP/1.1 101 OK',
        b'HTTP/1.1 200 OK\r\nContent-Length: 3',
    ],
)
async def test_a_response_with_a_malformed_head_is_not_delivered(line, target):
    raw = line + b'\r\n' + SIGNED + b'Content-Length: 5\r\n\r\nwhole'
    answer, seen = await answer_to(raw, raw_server.END, target, b'', True)
    assert seen
    assert answer.status == 502


async def test_endless_informational_responses_are_not_delivered():
    server = raw_server.RawServer(b'HTTP/1.1 102 -\r\n\r\n' * 64)
    server.repeat = True
    async with gateway.running((), start=False) as system:
        async with trio.open_nursery() as nursery:
            await nursery.start(server.serve)
            system.register(server)
            await system.start_host()
            answer = await system.request('POST', '/book/1')
            nursery.cancel_scope.cancel()
    assert answer.status == 502


@pytest.mark.parametrize('form', ['json', 'compressed', 'raw'])
def test_a_part_of_the_changes_from_another_host_is_not_read(form):
    # A host that follows another one would go on without the rest of them.
    item = kv.KeyValue('servers/e-1', b'value' * 200, 7, 1, None)
    changes = change_log.Changes(
        7,
        1.0,
        (
            kv.WatchEvent('servers/e-1', item, 7),
            kv.WatchEvent('servers/e-0', None, 6),
        ),
        1.0,
    )
    if form == 'raw':
        data = change_messages.encode_raw(changes, 1.0)
    else:
        data = change_messages.encode(changes, 1.0, form == 'compressed', True)
    assert change_messages.decode(data, 1.0) is not None
    for size in range(len(data)):
        assert change_messages.decode(data[:size], 1.0) is None
