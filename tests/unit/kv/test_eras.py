"""Revisions across the eras of a store."""

import hypothesis
from hypothesis import strategies as st
import pytest
import trio

from corianderloft._internal.kv import eras
from corianderloft._internal.models import ids

ERAS = st.integers(0, eras.MAX_ERA)
COUNTERS = st.integers(0, eras.UNMATCHED_COUNTER - 1)


@hypothesis.given(ERAS, COUNTERS)
def test_revision_keeps_its_era_and_counter(era, counter):
    revision = eras.qualify(era, counter)
    assert eras.era_of(revision) == era
    assert eras.counter_of(revision) == counter
    assert revision < 2**63


@hypothesis.given(st.tuples(ERAS, COUNTERS), st.tuples(ERAS, COUNTERS))
def test_revision_of_a_later_era_is_greater(one, other):
    assert (eras.qualify(*one) < eras.qualify(*other)) == (one < other)


@pytest.mark.parametrize('text', [b'-1', b'', b'x', b'1.5', b'9' * 30])
def test_malformed_era_is_refused(text):
    tracker = eras.EraTracker()
    with pytest.raises(ValueError):
        tracker.observe(text)
    assert tracker.current == 0


def test_reply_of_an_earlier_era_leaves_the_newest_one():
    tracker = eras.EraTracker()
    assert tracker.observe(b'3') == 3
    assert tracker.observe(b'2') == 2
    assert tracker.observe(None) == 3


def test_revision_of_an_earlier_era_matches_no_key():
    tracker = eras.EraTracker()
    tracker.observe(b'2')
    assert tracker.expected_counter(0) == 0
    assert tracker.expected_counter(eras.qualify(2, 7)) == 7
    assert tracker.expected_counter(eras.qualify(1, 7)) != 7


async def test_first_era_may_be_zero():
    tracker = eras.EraTracker()
    with trio.move_on_after(0.01) as scope:
        await tracker.wait_newer(eras.BEFORE_ANY)
    assert scope.cancelled_caught
    tracker.observe(b'0')
    assert await tracker.wait_newer(eras.BEFORE_ANY) == 0
    tracker.observe(b'1')
    assert await tracker.wait_newer(ids.Era(0)) == 1
