"""Arbitrary bytes in place of a response, read by the response parser.

The parser must never raise, and must call a response complete only if the
bytes prove it. A second, deliberately simple reading of the bytes tells what
they prove.
"""

import re

import hypothesis
from hypothesis import strategies
import trio
import trio.testing

from corianderloft._internal.network import engine_connection

MAX_BYTES = 2**20

WHOLE = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole',
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'5\r\nwhole\r\n3;a=b\r\nend\r\n0\r\nA: b\r\n\r\n',
    b'HTTP/1.1 102 -\r\n\r\nHTTP/1.1 204 -\r\nServer: -\r\n\r\n',
    b'HTTP/1.0 200 OK\r\nKeep-Alive: timeout=5\r\n\r\nends with it',
    b'HTTP/1.1 503 -\r\nContent-Length: 0\r\nRetry-After: 1\r\n\r\n',
)

_HEAD = re.compile(rb'HTTP/\d\.\d ([2-9]\d\d)(?:[ \r\n]|\Z)')
_INFORMATIONAL = re.compile(rb'HTTP/\d\.\d 1\d\d(?:[ \r\n]|\Z)')
_LENGTH = re.compile(rb'(?im)^content-length:[ \t]*([\d, \t]+?)[ \t]*\r?$')
_CHUNKED = re.compile(rb'(?im)^transfer-encoding:[ \t]*chunked[ \t]*\r?$')
_HEAD_END = re.compile(rb'\n\r?\n')
_CHUNK_HEAD = re.compile(rb'([0-9A-Fa-f]{1,20})[^\r\n]*\r?\n')
_TRAILER_END = re.compile(rb'(?:\A|\n)\r?\n')


class ScriptedStream:
    """Connection that delivers given parts, then its end or a reset."""

    def __init__(self, parts, resets, fails_to_send):
        self._parts = list(parts)
        self._resets = resets
        self._fails_to_send = fails_to_send

    async def send_all(self, data):
        """Accept a request, or fail."""
        if self._fails_to_send:
            raise trio.BrokenResourceError

    async def receive_some(self, max_bytes):
        """Return the next part."""
        if self._parts:
            return self._parts.pop(0)
        if self._resets:
            raise trio.BrokenResourceError
        return b''


async def read(stream, method):
    """Return status, body and whether it ends with the connection."""
    conn = engine_connection.EngineConnection(stream)
    await conn.send(method, b'/', [(b'host', b'-')], b'')
    head = await conn.head()
    if isinstance(head, engine_connection.ConnectionFailure):
        assert head.may_have_run
        return None
    body = await conn.read_all(MAX_BYTES)
    if isinstance(body, engine_connection.ConnectionFailure):
        assert body.may_have_run
        return None
    return head.status, body, head.ends_with_connection


def proven_body(raw, method, ends_in_order):
    """Return status and body that the bytes prove, or None."""
    while _INFORMATIONAL.match(raw):
        end = _HEAD_END.search(raw)
        if end is None:
            return None
        raw = raw[end.end() :]
    line, end = _HEAD.match(raw), _HEAD_END.search(raw)
    if line is None or end is None:
        return None
    head, rest = raw[: end.end()], raw[end.end() :]
    status = int(line[1])
    if method == 'HEAD' or status in (204, 304):
        return status, b''
    if _CHUNKED.search(head):
        body = _chunks(rest)
        return None if body is None else (status, body)
    lengths = {
        int(number)
        for field in _LENGTH.findall(head)
        for number in field.split(b',')
    }
    if len(lengths) > 1:
        return None
    if lengths:
        length = lengths.pop()
        return (status, rest[:length]) if len(rest) >= length else None
    return (status, rest) if ends_in_order else None


def _chunks(rest):
    body = b''
    while True:
        head = _CHUNK_HEAD.match(rest)
        if head is None:
            return None
        size, rest = int(head[1], 16), rest[head.end() :]
        if size == 0:
            return body if _TRAILER_END.search(rest) else None
        if not re.match(rb'\r?\n', rest[size:]):
            return None
        body += rest[:size]
        rest = rest[size:].removeprefix(b'\r').removeprefix(b'\n')


@strategies.composite
def responses(draw):
    """Draw bytes: arbitrary ones, or a response with a few changes."""
    if draw(strategies.integers(0, 4)) == 0:
        return draw(strategies.binary(max_size=200))
    raw = bytearray(draw(strategies.sampled_from(WHOLE)))
    for _ in range(draw(strategies.integers(0, 3))):
        at = draw(strategies.integers(0, len(raw)))
        kind = draw(strategies.sampled_from(['cut', 'set', 'add', 'copy']))
        if kind == 'cut':
            del raw[at:]
        elif kind == 'set':
            raw[at : at + 1] = draw(strategies.binary(min_size=1, max_size=1))
        elif kind == 'add':
            raw[at:at] = draw(strategies.binary(max_size=4))
        else:
            end = draw(strategies.integers(at, len(raw)))
            raw[at:at] = raw[at:end]
    return bytes(raw)


@strategies.composite
def parts(draw):
    """Draw a response in the parts in which it arrives."""
    raw = draw(responses())
    cuts = draw(strategies.lists(strategies.integers(0, len(raw)), max_size=4))
    bounds = [0, *sorted(cuts), len(raw)]
    pairs = zip(bounds, bounds[1:], strict=False)
    return [raw[a:b] for a, b in pairs if a < b]


@hypothesis.settings(max_examples=600)
@hypothesis.given(
    parts(),
    strategies.sampled_from(['POST', 'GET', 'HEAD']),
    strategies.booleans(),
    strategies.booleans(),
)
def test_only_proven_responses_are_complete(
    received, method, resets, fails_to_send
):
    stream = ScriptedStream(received, resets, fails_to_send)
    result = trio.run(read, stream, method, clock=trio.testing.MockClock(0, 0))
    if result is None:
        return
    status, body, ends_with_connection = result
    in_order = not resets and not fails_to_send
    assert proven_body(b''.join(received), method, in_order) == (status, body)
    if ends_with_connection:
        assert in_order


@hypothesis.settings(max_examples=50)
@hypothesis.given(strategies.sampled_from(WHOLE), strategies.integers(1, 200))
def test_whole_responses_are_complete(raw, size):
    split = [raw[at : at + size] for at in range(0, len(raw), size)]
    stream = ScriptedStream(split, False, False)
    result = trio.run(read, stream, 'POST')
    assert result is not None
    assert result[:2] == proven_body(raw, 'POST', True)
