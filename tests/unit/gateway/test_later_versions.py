"""What a host concludes from the versions that other hosts have.

Guards against final refusals by declarations that a later version replaces,
and against a version that was withdrawn and stops the service for good.
"""

import math

import hypothesis
from hypothesis import strategies as st

from corianderloft._internal.gateway import change_budget
from corianderloft._internal.gateway import later_versions
from corianderloft._internal.gateway import load_exchange
from corianderloft._internal.gateway import load_messages
from corianderloft._internal.models import ids

OWN = 3


def noted(*versions_and_times):
    """Return the record of a host with version `OWN`."""
    record = later_versions.LaterVersions()
    for version, at in versions_and_times:
        record.note(version, OWN, at)
    return record


def test_a_version_is_missing_since_the_first_word_of_it():
    record = noted((5, 1.0), (5, 2.0), (4, 2.5), (7, 3.0))
    assert record.missing_for(OWN, 3.5) == 2.5
    assert record.newest(OWN, 3.5) == 7


def test_a_version_that_arrived_is_not_missing():
    record = noted((5, 1.0), (7, 3.0))
    assert record.missing_for(5, 3.5) == 0.5
    assert record.missing_for(7, 3.5) is None


def test_a_version_that_never_comes_is_given_up():
    record = noted((5, 1.0))
    end = 1.0 + later_versions.BELIEF_S
    assert record.missing_for(OWN, end) is None
    assert record.newest(OWN, end) == OWN
    record.note(5, OWN, end + 1.0)
    assert record.missing_for(OWN, end + 1.0) is None


@hypothesis.given(st.floats(1.0, 20.0))
def test_what_is_overdue_is_refused_before_the_bound(apply_time):
    steps = (
        change_budget.max_missing_time(apply_time),
        change_budget.NOTICE_S,
        change_budget.SEND_S,
    )
    assert sum(steps) <= max(
        change_budget.usable(apply_time) + 1e-9, sum(steps[1:])
    )


def test_word_of_a_version_comes_with_a_datagram_in_time():
    interval = load_exchange.REFRESH_INTERVAL_S
    assert interval + load_exchange.SEND_INTERVAL_S <= change_budget.NOTICE_S


def test_without_a_bound_nothing_is_overdue():
    assert change_budget.max_missing_time(math.inf) == math.inf


def test_a_message_of_an_earlier_release_states_no_version():
    source = load_messages.Source(ids.HostId('h-1'), load_messages.Scope.HOST)
    message = load_messages.Message(
        source, 's', 1, True, {}, {}, None, version=9
    )
    data = load_messages.encode(message)
    assert load_messages.decode(data).version == 9
    earlier = data.rpartition(b',')[0] + b']'
    assert load_messages.decode(earlier).version == 0
