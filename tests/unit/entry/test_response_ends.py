"""Responses whose end does not prove that they are complete, end to end.

A caller took a part of such a response for the answer.
"""

import dataclasses

import pytest
import trio

from tests.lib import engines
from tests.lib import entry
from tests.lib import raw_server

LONG_BODY = bytes(4 * 2**20)
LIMITS = {'max_body_bytes': len(LONG_BODY)}
UNFRAMED = b'HTTP/1.1 200 OK\r\n\r\npart'


async def answer_to(
    nursery: trio.Nursery, server: raw_server.RawServer, body: bytes
) -> entry.Answer:
    """Return what a caller of a plain service gets of a response."""
    await nursery.start(server.serve)
    _, other = await engines.start(nursery, 't1', engines.serves, 'till')
    backend = dataclasses.replace(other, port=server.port)
    async with entry.running_host(backend, callers=LIMITS) as fixture:
        headers = entry.headers_of('stables', X_Class='booking')
        del headers['X-Service']
        return await entry.call(
            fixture.url + '/v1/services/till/charges',
            body=body,
            headers=headers,
        )


@pytest.mark.parametrize('end', [raw_server.RESET, raw_server.END_THEN_RESET])
@pytest.mark.parametrize('body', [b'body', LONG_BODY])
async def test_a_response_without_a_length_does_not_end_with_a_reset(
    nursery: trio.Nursery, body: bytes, end: str
) -> None:
    server = raw_server.RawServer(UNFRAMED, end)
    answer = await answer_to(nursery, server, body)
    assert answer.refusal() == ('outcome_unknown', 'unknown')
    assert len(server.seen) == 1


@pytest.mark.parametrize('body', [b'body', LONG_BODY])
async def test_a_whole_response_before_a_reset_is_relayed(
    nursery: trio.Nursery, body: bytes
) -> None:
    raw = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole'
    server = raw_server.RawServer(raw, raw_server.RESET)
    answer = await answer_to(nursery, server, body)
    assert (answer.status, answer.body) == (200, b'whole')


async def test_an_orderly_end_is_that_of_a_response_without_a_length(
    nursery: trio.Nursery,
) -> None:
    server = raw_server.RawServer(UNFRAMED, reads_body=True)
    answer = await answer_to(nursery, server, b'body')
    assert (answer.status, answer.body) == (200, b'part')


@pytest.mark.parametrize(
    'line',
    [
        b'',
        b'HTTP/1.1 000 OK',
        b'HTTP/1.1 099 OK',
        b'HTTP/1.1 1000 OK',
        b'HTTP/1.1 20',
        b'HTTP/1.1 101 OK',
        b'HTTP/1.1 200 OK\r\nContent-Length: 3',
    ],
)
async def test_a_response_with_a_malformed_head_is_not_relayed(
    nursery: trio.Nursery, line: bytes
) -> None:
    raw = line + b'\r\nContent-Length: 5\r\n\r\nwhole'
    server = raw_server.RawServer(raw if line else b'', reads_body=True)
    answer = await answer_to(nursery, server, b'body')
    assert answer.refusal() == ('outcome_unknown', 'unknown')
    assert len(server.seen) == 1


@pytest.mark.parametrize('framing', [b'', b'Transfer-Encoding: chunked\r\n'])
@pytest.mark.parametrize('end', [raw_server.END, raw_server.RESET])
@pytest.mark.parametrize('count', [1, 2])
async def test_a_stream_whose_last_event_has_come_is_complete(
    nursery: trio.Nursery, end: str, framing: bytes, count: int
) -> None:
    # The last event tells that it is whole, however the connection ends.
    events = engines.whole_body()
    body = b'%x\r\n%b\r\n' % (len(events), events) if framing else events
    raw = b'HTTP/1.1 200 OK\r\n' + framing + b'\r\n' + body
    server = raw_server.RawServer(raw, end, reads_body=True)
    await nursery.start(server.serve)
    _, other = await engines.start(nursery, 'e1', engines.serves)
    backends = [
        dataclasses.replace(other, engine_id=f'e{n}', port=server.port)
        for n in range(count)
    ]
    async with entry.running_host(*backends) as fixture:
        answer = await entry.chat(fixture)
    assert (answer.status, answer.body) == (200, events)
    assert len(server.seen) == 1
