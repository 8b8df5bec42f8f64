"""Wait and pause of watches under different guarantees of the deployment."""

import dataclasses
import math

import hypothesis
from hypothesis import strategies
import pytest

from corianderloft._internal.gateway import change_budget
from corianderloft._internal.gateway import view
from corianderloft._internal.gateway import watch_pace
from tests.lib import gateway

BOUNDS = dataclasses.replace(gateway.BOUNDS, revocation_time=5.0)


@dataclasses.dataclass
class _FakeView:
    """View of a given age."""

    seconds: float

    def age(self):
        return self.seconds

    def heard_age(self):
        return self.seconds


def max_wait(age, **changes):
    bounds = dataclasses.replace(BOUNDS, **changes)
    return watch_pace.max_wait(bounds, _FakeView(age))


def test_a_lost_watch_is_detected_within_the_recovery_time():
    assert max_wait(1.1) + change_budget.LATE_REPLY_S <= BOUNDS.recovery_time
    long_time = 60.0
    assert max_wait(
        1.1, recovery_time=4.0, revocation_time=long_time
    ) > max_wait(1.1)


@hypothesis.given(
    revocation_time=strategies.floats(2.3, 60.0),
    age=strategies.floats(0.0, 60.0),
)
def test_a_third_of_the_revocation_time_is_left_when_a_watch_returns(
    revocation_time, age
):
    honoured = revocation_time - view.KEY_MARGIN_S - 0.35 * revocation_time
    hypothesis.assume(age < honoured - change_budget.MIN_WAIT_S)
    assert (
        age + max_wait(age, revocation_time=revocation_time) < honoured + 1e-6
    )


def test_an_overdue_confirmation_uses_the_minimum_wait():
    assert max_wait(60.0) == change_budget.MIN_WAIT_S


def test_a_watch_without_bounds_waits_for_the_maximum():
    long_time = max_wait(
        math.inf, revocation_time=None, recovery_time=math.inf
    )
    assert long_time == watch_pace.MAX_WAIT_S


def mean_pause(age, **changes):
    bounds = dataclasses.replace(BOUNDS, **changes)
    return watch_pace.mean_pause(bounds, _FakeView(age))


@pytest.mark.parametrize('drain_time', [1.5, 2.0, 3.0, 30.0])
def test_a_change_takes_effect_within_the_tightest_bound(drain_time):
    longest = (1 + change_budget.JITTER_RATIO) * mean_pause(
        0.0, drain_time=drain_time
    )
    assert longest + change_budget.STORE_DELAY_S < drain_time


def test_a_wider_bound_allows_a_longer_pause():
    wider = mean_pause(0.5, drain_time=3.0, apply_time=3.0)
    assert wider > 2 * mean_pause(0.5)


@hypothesis.given(
    revocation_time=strategies.floats(2.3, 60.0),
    age=strategies.floats(0.0, 60.0),
)
def test_keys_are_confirmed_after_a_pause_before_they_expire(
    revocation_time, age
):
    honoured = revocation_time - view.KEY_MARGIN_S - 0.35 * revocation_time
    hypothesis.assume(age < honoured - change_budget.MIN_WAIT_S)
    longest = (1 + change_budget.JITTER_RATIO) * mean_pause(
        age, revocation_time=revocation_time
    )
    watch_age = age + longest
    assert (
        watch_age + max_wait(watch_age, revocation_time=revocation_time)
        < honoured + 1e-6
    )


def test_no_pause_if_the_bounds_leave_no_time():
    assert mean_pause(60.0) == 0.0
    assert mean_pause(0.0, drain_time=0.5) == 0.0


@pytest.mark.parametrize('tightest', [1.5, 2.0, 3.0, 30.0])
def test_followers_read_the_store_within_the_tightest_bound(tightest):
    bounds = dataclasses.replace(
        BOUNDS, drain_time=tightest, apply_time=2 * tightest
    )
    fresh_view = _FakeView(0.0)
    paused = watch_pace.mean_pause(bounds, fresh_view, is_delegate=True)
    waited = watch_pace.max_wait(bounds, fresh_view, is_delegate=True)
    detected_after = (
        (1 + change_budget.JITTER_RATIO) * paused
        + waited
        + change_budget.LATE_REPLY_S
    )
    assert detected_after + change_budget.APPLY_S <= tightest + 1e-6
