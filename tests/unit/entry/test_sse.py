"""Tests of the assembly and filtering of server-sent events."""

import hypothesis
from hypothesis import strategies as st
import pytest

from corianderloft._internal.entry import sse
from tests.lib import engines

FINISH = b'id: 12\ndata: {"choices":[{"delta":{},"finish_reason":"stop"}]}\n\n'


@hypothesis.given(st.lists(st.integers(1, 400)))
def test_chunks_of_any_size_give_the_same_events(cuts: list[int]) -> None:
    whole = engines.whole_body()
    ends = sorted({min(cut, len(whole)) for cut in cuts} | {len(whole)})
    event_buffer = sse.EventBuffer()
    start = 0
    got = []
    for end in ends:
        got.append(event_buffer.feed(whole[start:end]))
        start = end
    assert b''.join(got) == whole
    assert all(part == b'' or part.endswith(b'\n\n') for part in got)


@hypothesis.given(st.integers(0, engines.TOKENS))
def test_events_after_any_token_are_complete(count: int) -> None:
    assert sse.events_after(engines.whole_body(), count) == engines.whole_body(
        count
    )


def test_finish_event_is_kept_after_the_last_token() -> None:
    last = engines.event(12)
    rest = sse.events_after(last + FINISH + sse.DONE, 12)
    assert rest == FINISH + sse.DONE


def test_id_inside_the_data_is_ignored() -> None:
    assert sse.last_id(b'id: 3\ndata: {"x":"\\nid: 9"}\n\n') == 3
    assert sse.last_id(b'data: [DONE]\n\n') is None


def test_incomplete_event_is_limited_in_size() -> None:
    event_buffer = sse.EventBuffer(limit=8)
    with pytest.raises(ValueError, match='longer than 8 bytes'):
        event_buffer.feed(b'data: 123')


def test_long_event_in_small_chunks_is_assembled_in_linear_time() -> None:
    """An event that was searched anew for each chunk took minutes."""
    event_buffer = sse.EventBuffer(limit=2**20)
    for _ in range(2**20):
        assert event_buffer.feed(b'a') == b''
    assert event_buffer.feed(b'\n\n') == b'a' * 2**20 + b'\n\n'


@pytest.mark.parametrize(
    ('events', 'expected'),
    [
        (b'', False),
        (b'\n\n', False),
        (b': still here\n\n', False),
        (b'\n\n: a\n: b\n\n', False),
        (b'id: 1\n\n', True),
        (b': a\n\ndata: b\n\n', True),
    ],
)
def test_comments_and_empty_events_have_no_content(
    events: bytes, expected: bool
) -> None:
    assert sse.has_content(events) is expected
