"""How long a watch waits, for deployments with other bounds."""

import dataclasses
import math

import hypothesis
from hypothesis import strategies
import pytest

from corianderloft._internal.gateway import view
from corianderloft._internal.gateway import watch_pace
from tests.lib import gateway

BOUNDS = dataclasses.replace(gateway.BOUNDS, revocation_time=5.0)


@dataclasses.dataclass
class _Beliefs:
    """Beliefs of a given age."""

    seconds: float

    def age(self):
        return self.seconds


def wait(age, **changes):
    bounds = dataclasses.replace(BOUNDS, **changes)
    return watch_pace.longest_wait(bounds, _Beliefs(age))


def test_a_lost_watch_is_noticed_before_bounds_hold_again():
    assert wait(1.1) + watch_pace.LOST_TIME <= BOUNDS.recovery_time
    long = 60.0
    assert wait(1.1, recovery_time=4.0, revocation_time=long) > wait(1.1)


@hypothesis.given(
    revocation_time=strategies.floats(2.3, 60.0),
    age=strategies.floats(0.0, 60.0),
)
def test_a_third_of_the_life_of_keys_is_left_when_a_watch_answers(
    revocation_time, age
):
    honoured = revocation_time - view.KEY_MARGIN - 0.35 * revocation_time
    hypothesis.assume(age < honoured - watch_pace.LEAST_WAIT)
    assert age + wait(age, revocation_time=revocation_time) < honoured + 1e-6


def test_an_overdue_confirmation_asks_at_once_but_not_without_end():
    assert wait(60.0) == watch_pace.LEAST_WAIT


def test_without_bounds_a_watch_waits_long():
    long = wait(math.inf, revocation_time=None, recovery_time=math.inf)
    assert long == watch_pace.LONGEST_WAIT


def pause(age, **changes):
    bounds = dataclasses.replace(BOUNDS, **changes)
    return watch_pace.pause(bounds, _Beliefs(age))


@pytest.mark.parametrize('drain_time', [1.5, 2.0, 3.0, 30.0])
def test_a_change_is_in_force_within_the_tightest_bound(drain_time):
    longest = (1 + watch_pace.SPREAD) * pause(0.0, drain_time=drain_time)
    assert longest + watch_pace.DEAF_TIME < drain_time


def test_a_wider_bound_lets_more_changes_come_with_one_call():
    wider = pause(0.5, drain_time=3.0, apply_time=3.0)
    assert wider > 2 * pause(0.5)


@hypothesis.given(
    revocation_time=strategies.floats(2.3, 60.0),
    age=strategies.floats(0.0, 60.0),
)
def test_keys_are_confirmed_after_a_pause_before_they_end(
    revocation_time, age
):
    honoured = revocation_time - view.KEY_MARGIN - 0.35 * revocation_time
    hypothesis.assume(age < honoured - watch_pace.LEAST_WAIT)
    longest = (1 + watch_pace.SPREAD) * pause(
        age, revocation_time=revocation_time
    )
    asked = age + longest
    assert (
        asked + wait(asked, revocation_time=revocation_time) < honoured + 1e-6
    )


def test_no_pause_without_room_for_one():
    assert pause(60.0) == 0.0
    assert pause(0.0, drain_time=0.5) == 0.0


@pytest.mark.parametrize('tightest', [1.5, 2.0, 3.0, 30.0])
def test_those_that_follow_read_the_store_within_the_tightest_bound(tightest):
    bounds = dataclasses.replace(
        BOUNDS, drain_time=tightest, apply_time=2 * tightest
    )
    fresh = _Beliefs(0.0)
    paused = watch_pace.pause(bounds, fresh, followed=True)
    waited = watch_pace.longest_wait(bounds, fresh, followed=True)
    noticed = (1 + watch_pace.SPREAD) * paused + waited + watch_pace.LOST_TIME
    assert noticed + watch_pace.STEP_TIME <= tightest + 1e-6
