"""Tests that invalid input is refused with 4xx and a reason, never 500."""

import typing

import hypothesis
from hypothesis import strategies as st
import orjson
import pytest
import trio

from corianderloft._internal.entry import checks
from corianderloft._internal.entry import refusals
from corianderloft._internal.models import reasons
from tests.lib import entry

GOOD = entry.headers_of('stables')
CHAT = '/v1/chat/completions'


def _with(**changes: typing.Any) -> bytes:
    return orjson.dumps({**entry.BODY, **changes})


CASES: dict[str, tuple[str, str, dict[str, str], bytes, int, str]] = {
    'no key': ('POST', CHAT, {}, _with(), 401, 'unknown_key'),
    'no bearer': (
        'POST',
        CHAT,
        {**GOOD, 'Authorization': 'Basic eA=='},
        _with(),
        401,
        'unknown_key',
    ),
    'wrong key': (
        'POST',
        CHAT,
        {**GOOD, 'Authorization': 'Bearer \xff'},
        _with(),
        401,
        'unknown_key',
    ),
    'unknown service': (
        'POST',
        CHAT,
        {**GOOD, 'X-Service': 'x'},
        _with(),
        404,
        'unknown_service',
    ),
    'service of another kind': (
        'POST',
        CHAT,
        {**GOOD, 'X-Service': 'till'},
        _with(),
        404,
        'unknown_service',
    ),
    'class': (
        'POST',
        CHAT,
        {**GOOD, 'X-Class': 'x'},
        _with(),
        400,
        'unknown_class',
    ),
    'request id': (
        'POST',
        CHAT,
        {**GOOD, 'X-Request-Id': 'a/b'},
        _with(),
        400,
        'bad_request',
    ),
    'empty': ('POST', CHAT, GOOD, b'', 400, 'bad_request'),
    'not json': ('POST', CHAT, GOOD, b'{"a"', 400, 'bad_request'),
    'not utf-8': ('POST', CHAT, GOOD, b'"\xff"', 400, 'bad_request'),
    'list': ('POST', CHAT, GOOD, b'[]', 400, 'bad_request'),
    'no messages': ('POST', CHAT, GOOD, _with(messages=[]), 400, ''),
    'message': ('POST', CHAT, GOOD, _with(messages=[1]), 400, ''),
    'stream': ('POST', CHAT, GOOD, _with(stream='yes'), 400, ''),
    'no tokens': ('POST', CHAT, GOOD, _with(max_tokens=0), 400, ''),
    'many tokens': ('POST', CHAT, GOOD, _with(max_tokens=10**9), 400, ''),
    'large seed': ('POST', CHAT, GOOD, b'{"seed":1e400}', 400, ''),
    'resumes without seed': (
        'POST',
        CHAT,
        {**GOOD, 'Last-Event-ID': '3', 'X-Model-Version': 'm'},
        _with(),
        400,
        'bad_request',
    ),
    'resumes without model': (
        'POST',
        CHAT,
        {**GOOD, 'Last-Event-ID': '3'},
        _with(seed=1),
        400,
        'bad_request',
    ),
    'large body': ('POST', CHAT, GOOD, b' ' * 5000, 413, 'too_large'),
    'path': ('GET', '/etc', GOOD, b'', 404, 'not_found'),
    'method': ('PUT', CHAT, GOOD, b'', 404, 'not_found'),
    'no running request': (
        'GET',
        '/v1/requests/x/stream',
        GOOD,
        b'',
        404,
        'not_found',
    ),
    'idempotency key': (
        'POST',
        '/v1/services/till/x',
        {**GOOD, 'Idempotency-Key': 'a b'},
        b'',
        400,
        'bad_request',
    ),
    'no such plain service': (
        'POST',
        '/v1/services/%ff/x',
        GOOD,
        b'',
        404,
        'unknown_service',
    ),
}


@pytest.mark.parametrize('name', CASES)
async def test_bad_request_is_refused_with_its_reason(name: str) -> None:
    method, path, headers, body, status, reason = CASES[name]
    raw = {k: v.encode('latin-1') for k, v in headers.items()}
    limits = {'max_body_bytes': 4096}
    async with entry.running_host(callers=limits) as fixture:
        answer = await entry.call(
            fixture.url + path, method, body, typing.cast(typing.Any, raw)
        )
        assert answer.status == status, answer.body
        # An unknown request may have run on another host.
        run = 'unknown' if 'running' in name else 'not_run'
        assert answer.refusal() == (reason or 'bad_request', run)
        assert answer.json()['error']['detail']


@pytest.mark.parametrize(
    'sent',
    [
        b'\x16\x03\x01\x02\x00\x01\r\n\r\n',
        b'GET / HTTP/1.1\r\n\r\n',
        b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n',
        b'GET /\xff HTTP/1.1\r\nHost: h\r\n\r\n',
        b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n',
        b'GET / HTTP/1.1\r\nHost: h\r\nA: ' + b'a' * 200000 + b'\r\n\r\n',
    ],
)
async def test_bad_http_is_refused_with_a_reason(sent: bytes) -> None:
    limits = {'max_header_bytes': 4096}
    async with entry.running_host(callers=limits) as fixture:
        got = await entry.send_raw(fixture, sent)
        assert got.startswith(b'HTTP/1.1 4')
        assert b'"run":"not_run"' in got
        # The host still serves other connections.
        assert (await entry.call(fixture.url, 'GET')).status == 404


@pytest.mark.parametrize(
    ('head', 'status'),
    [(f'POST {CHAT} HTTP/1.1', 413), ('not HTTP', 400)],
)
async def test_refusal_reaches_a_caller_that_is_still_sending(
    head: str, status: int
) -> None:
    limits = {'max_body_bytes': 4096}
    lines = ''.join(f'{k}: {v}\r\n' for k, v in GOOD.items())
    sent = f'{head}\r\nHost: h\r\n{lines}Content-Length: 99999999\r\n\r\n'
    async with entry.running_host(callers=limits) as fixture:
        port = fixture.sockets.caller_port
        stream = await trio.open_tcp_stream('127.0.0.1', port)
        with trio.fail_after(30):
            # Raises if the host closes without draining the input.
            await stream.send_all(sent.encode() + b' ' * 24000000)
            got = await stream.receive_some(4096)
        await stream.aclose()
    assert got.startswith(b'HTTP/1.1 %d' % status)


async def test_slow_senders_time_out() -> None:
    limits = {'read_time': 0.1, 'idle_time': 0.1}
    async with entry.running_host(callers=limits) as fixture:
        head = ''.join(f'{k}: {v}\r\n' for k, v in GOOD.items())
        part = f'POST {CHAT} HTTP/1.1\r\nHost: h\r\n{head}Content-Length: 9'
        got = await entry.send_raw(fixture, part.encode() + b'\r\n\r\n{')
        assert got.startswith(b'HTTP/1.1 408')
        assert b'too_slow' in got
        assert await entry.send_raw(fixture, b'POST /') == b''


async def test_number_of_connections_is_limited() -> None:
    limits = {'max_connections': 2, 'idle_time': 0.2}
    async with entry.running_host(callers=limits) as fixture:
        port = fixture.sockets.caller_port
        held = [await trio.open_tcp_stream('127.0.0.1', port)] * 2
        with trio.fail_after(10):
            answer = await entry.call(fixture.url, 'GET')
        assert answer.status == 404
        for stream in held:
            await stream.aclose()


@hypothesis.given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    ),
    st.sampled_from(['messages', 'stream', 'max_tokens', 'seed', 'n', 'x']),
)
def test_checks_accept_or_refuse_any_body(value: typing.Any, key: str) -> None:
    origin = entry.origin()
    try:
        raw = orjson.dumps({**entry.BODY, key: value})
    except (TypeError, ValueError, orjson.JSONEncodeError):
        return

    async def check() -> None:
        checks.check_chat_body(origin, raw)

    trio.run(check)


def test_every_reason_has_a_status() -> None:
    assert set(refusals.HTTP_STATUS) == set(reasons.RefusalReason)
