"""Limits that backend servers name, and the requests that hosts count.

Guards against servers that get more than they take, and against ones that get
nothing any more and so cannot tell that their limit has ended.
"""

import hypothesis
from hypothesis import strategies as st
import pytest

from corianderloft._internal.models import ids
from corianderloft._internal.placement import rate_limits

TOLERATED_RATIO = 1.5
TOLERATED_REQUESTS = 5
"""What a server may get beyond its limit; stated by the users' rules."""


def limit_of(limit):
    found = rate_limits.RateLimit(ids.EngineId('e-1'))
    found.record_response(limit, 0.0)
    return found


def test_a_server_without_a_limit_gets_all_requests():
    limit = limit_of(None)
    for _ in range(1000):
        limit.record_send(1.0)
    assert limit.admits(1.0)
    assert limit.own_use(100.0) is None


@hypothesis.given(
    st.floats(0.0, 50.0),
    st.lists(st.floats(0.0, 0.5), min_size=1, max_size=300),
)
def test_no_window_exceeds_what_the_server_tolerates(limit, pauses):
    found = limit_of(limit)
    now, times = 0.0, []
    for pause in pauses:
        now += pause
        if found.admits(now):
            found.record_send(now)
            times.append(now)
    allowed = (
        TOLERATED_RATIO * limit * rate_limits.WINDOW_S + TOLERATED_REQUESTS
    )
    for start in times:
        end = start + rate_limits.WINDOW_S
        assert sum(start <= time < end for time in times) <= allowed


@pytest.mark.parametrize('count', [1, 8, 64])
@pytest.mark.parametrize('limit', [0.4, 2.6, 8.0])
def test_hosts_that_wait_together_do_not_send_together(count, limit):
    """All hosts see at the same time that a window has ended."""
    hosts = [limit_of(limit) for _ in range(count)]
    for number, host in enumerate(hosts):
        host._rng.seed(number)
    times = []
    for step in range(2000):
        now = 0.01 * step
        if step % 5 == 0:
            sent = [host.own_use(now).sent for host in hosts]
            for host, own in zip(hosts, sent):
                use = rate_limits.RateUse(sum(sent) - own, limit, 1.0)
                host.update_peer('others', use, now)
        for host in hosts:
            if host.admits(now, count):
                host.record_send(now)
                times.append(now)
    most = max(
        sum(start <= time < start + rate_limits.WINDOW_S for time in times)
        for start in times
    )
    assert most <= (
        TOLERATED_RATIO * limit * rate_limits.WINDOW_S + TOLERATED_REQUESTS
    )
    assert len(times) >= limit * now


def test_requests_of_other_hosts_count():
    limit = limit_of(2.0)
    limit.update_peer('h-2', rate_limits.RateUse(50, 2.0, 0.1), 1.0)
    assert not limit.admits(1.0)
    limit.update_peer('h-2', None, 2.0)
    assert limit.admits(2.0)


def test_a_server_that_takes_nothing_still_gets_a_request_now_and_then():
    limit = limit_of(0.0)
    assert limit.admits(1.0)
    for _ in range(rate_limits.TOLERANCE_REQUESTS):
        limit.record_send(1.0)
    assert not limit.admits(1.1)
    assert limit.admits(1.1 + rate_limits.WINDOW_S)


def test_other_hosts_tell_that_a_limit_has_begun_and_ended():
    limit = limit_of(None)
    limit.update_peer('h-2', rate_limits.RateUse(0, 3.0, 0.1), 5.0)
    assert limit.limit == 3.0
    limit.update_peer('h-2', rate_limits.RateUse(0, None, 0.1), 9.0)
    assert limit.limit is None
    assert limit.own_use(10.0).limit is None


def test_late_reports_do_not_outweigh_a_response_here():
    limit = limit_of(3.0)
    limit.record_response(None, 10.0)
    limit.update_peer('h-2', rate_limits.RateUse(0, 3.0, 0.0), 10.1)
    limit.update_peer('h-3', rate_limits.RateUse(0, 3.0, 5.0), 12.0)
    assert limit.limit is None
