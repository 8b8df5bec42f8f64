"""Tests of cutting and counting server-sent events."""

import hypothesis
from hypothesis import strategies as st
import pytest

from corianderloft._internal.entry import sse
from tests.lib import engines

FINISH = b'id: 12\ndata: {"choices":[{"delta":{},"finish_reason":"stop"}]}\n\n'


@hypothesis.given(st.lists(st.integers(1, 400)))
def test_pieces_of_any_size_become_the_same_events(cuts: list[int]) -> None:
    whole = engines.whole_body()
    ends = sorted({min(cut, len(whole)) for cut in cuts} | {len(whole)})
    cutter = sse.EventBuffer()
    start = 0
    got = []
    for end in ends:
        got.append(cutter.feed(whole[start:end]))
        start = end
    assert b''.join(got) == whole
    assert all(part == b'' or part.endswith(b'\n\n') for part in got)


@hypothesis.given(st.integers(0, engines.TOKENS))
def test_no_token_twice_and_none_missing(count: int) -> None:
    assert sse.events_after(engines.whole_body(), count) == engines.whole_body(
        count
    )


def test_end_of_an_answer_is_kept_behind_its_last_token() -> None:
    last = engines.event(12)
    rest = sse.events_after(last + FINISH + sse.DONE, 12)
    assert rest == FINISH + sse.DONE


def test_number_in_the_text_is_no_id() -> None:
    assert sse.last_id(b'id: 3\ndata: {"x":"\\nid: 9"}\n\n') == 3
    assert sse.last_id(b'data: [DONE]\n\n') is None


def test_event_without_end_is_bounded() -> None:
    cutter = sse.EventBuffer(limit=8)
    with pytest.raises(ValueError, match='longer than 8 bytes'):
        cutter.feed(b'data: 123')
