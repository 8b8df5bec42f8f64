"""Events of a response that is put together from several runs.

A run that began anew, repeated or skipped events, or was no stream at all was
added to what the caller had.
"""

import dataclasses
import itertools

import hypothesis
from hypothesis import strategies as st

from corianderloft._internal.relaying import assembly

Head = assembly.RunHead
End = assembly.RunEnd
HEAD = Head(200, True, 'text/event-stream')


@dataclasses.dataclass
class Run:
    """A run as a server may send it; ``end`` is None if it breaks off."""

    head: Head
    blocks: list
    end: End | None
    remainder: bytes


def event(event_id, data=b'x'):
    """Return an event; an ID of None stands for none."""
    if event_id is None:
        return b'data: %b\n\n' % data
    return b'id: %b\ndata: %b\n\n' % (str(event_id).encode(), data)


IDS = st.integers(0, 30) | st.none() | st.sampled_from(['x', '-1', '9' * 40])
RUNS = st.builds(
    Run,
    st.builds(
        Head,
        st.sampled_from([200, 200, 200, 204, 206, 302, 404, 500]),
        st.booleans(),
        st.sampled_from(
            ['', 'text/event-stream', 'text/event-stream', 'text/html']
        ),
    ),
    st.lists(st.lists(IDS, max_size=4), max_size=5),
    st.sampled_from(End) | st.none(),
    st.sampled_from([b'', b'', b'\n', b'id: 9', b'<html>']),
)


def play(response, run):
    """Add a run; return the IDs passed on and whether it completed."""
    passed = []
    if response.begin_run(run.head) is not None:
        return passed, False
    for ids in run.blocks:
        events = b''.join(map(event, ids)) or b': comment\n\n'
        if response.add(events, bool(ids)) is not None:
            return passed, False
        passed += ids
    if run.end is None:
        return passed, False
    return passed, response.end_run(run.end, run.remainder) is None


def whole_runs(first, count, step):
    """Return the blocks of a run with one event each."""
    return [[first + number * step] for number in range(count)]


@hypothesis.settings(max_examples=500)
@hypothesis.given(
    step=st.integers(1, 6),
    first=st.integers(0, 3),
    delivered=st.integers(2, 4),
    first_end=st.none() | st.just(End.WITH_SERVER),
    others=st.lists(RUNS, min_size=1, max_size=4),
)
def test_arbitrary_runs_after_the_first_never_break_the_order(
    step, first, delivered, first_end, others
):
    response = assembly.Assembly(resumable=True)
    begin = Run(HEAD, whole_runs(first, delivered, step), first_end, b'')
    passed, complete = play(response, begin)
    assert len(passed) == delivered
    assert not complete
    for run in others:
        before = list(passed)
        was_complete = response.complete
        had_events = bool(before)
        added, completed = play(response, run)
        if added or completed:
            assert not was_complete
            assert run.head.signed
            assert run.head.status == 200
            assert run.head.content_type in ('', HEAD.content_type)
        passed += added
        if completed:
            assert run.end in (End.FRAMING, End.CONNECTION)
            assert not run.remainder.strip()
            assert added or run.end is End.FRAMING
        assert had_events
        numbers = [i for i in passed if isinstance(i, int)]
        assert all(a < b for a, b in itertools.pairwise(numbers))
        if added:
            assert before[-1] is not None
            assert 0 < added[0] - before[-1] <= max(response.step, step)
    assert response.check_whole() is not None


@hypothesis.given(asked_after=st.integers(0, 20), run=RUNS)
def test_a_caller_that_asks_for_the_rest_gets_only_later_events(
    asked_after, run
):
    response = assembly.Assembly(asked_after, resumable=True, greatest_step=1)
    passed, _ = play(response, run)
    numbers = [i for i in passed if isinstance(i, int)]
    assert passed[:1] in ([], [asked_after + 1])
    assert numbers == sorted(set(numbers))


@hypothesis.given(RUNS)
def test_a_stream_that_may_not_be_resumed_passes_unchanged_and_is_alone(run):
    response = assembly.Assembly()
    passed, complete = play(response, run)
    if run.head.signed:
        assert passed == [i for ids in run.blocks for i in ids]
    if response.begun:
        assert response.begin_run(HEAD) is not None
    if complete:
        assert response.add(event(1), True) is not None


def test_the_end_of_all_events_follows_a_run_that_may_have_been_complete():
    empty = Run(HEAD, [], End.FRAMING, b'')
    for end, expected in [(End.WITH_SERVER, True), (None, False)]:
        response = assembly.Assembly(resumable=True)
        play(response, Run(HEAD, whole_runs(0, 3, 1), end, b''))
        assert play(response, empty) == ([], expected)


def test_an_empty_rest_without_a_length_proves_no_end():
    response = assembly.Assembly(resumable=True)
    play(response, Run(HEAD, whole_runs(0, 3, 1), End.WITH_SERVER, b''))
    empty = Run(HEAD, [], End.CONNECTION, b'')
    assert play(response, empty) == ([], False)


def test_nothing_follows_an_event_whose_position_is_unknown():
    for unknown in (None, 'x'):
        response = assembly.Assembly(resumable=True)
        play(response, Run(HEAD, [[0], [1], [unknown]], None, b''))
        assert not response.may_go_on
        assert response.begin_run(HEAD) is not None


def test_events_without_content_are_no_rest_of_a_stream():
    for events in (b': comment\n\n', b'retry: 5\n\n', b'\xff: x\n\n'):
        response = assembly.Assembly(resumable=True)
        play(response, Run(HEAD, whole_runs(0, 3, 1), None, b''))
        assert response.begin_run(HEAD) is None
        response.add(events, True)
        assert response.end_run(End.FRAMING, b'') is not None


def test_a_gap_is_told_before_any_step_is_known():
    response = assembly.Assembly(7, resumable=True)
    assert response.begin_run(HEAD) is None
    assert response.add(event(10), True) is not None
    assert response.add(event(8), True) is None
