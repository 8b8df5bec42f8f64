"""Adaptive limit on connections that are begun at once."""

import pytest

from corianderloft._internal.network import start_limit

FAST = start_limit.SLOW_START_S / 2
SLOW = start_limit.SLOW_START_S * 2


def _run(limit, duration, now):
    """Begin as many starts as allowed, end them all; return the number."""
    count = limit.free()
    for _ in range(count):
        limit.begin()
    assert limit.free() == 0
    for _ in range(count):
        limit.end(now, now + duration)
    return count


def test_slow_starts_reduce_the_limit_and_fast_ones_restore_it():
    """Guards against a slow host that begins more than it answers."""
    limit = start_limit.StartLimit()
    slow = [_run(limit, SLOW, turn * 1.0) for turn in range(10)]
    assert slow[:4] == [16, 8, 4, 2]
    assert slow[-1] == 1
    fast = [_run(limit, FAST, 100.0 + turn) for turn in range(10)]
    assert fast[:4] == [1, 2, 4, 8]
    assert fast[-1] == start_limit.MAX_LIMIT


def test_starts_that_were_slow_together_reduce_the_limit_once():
    limit = start_limit.StartLimit()
    _run(limit, SLOW, 0.0)
    assert limit.free() == start_limit.MAX_LIMIT / 2


@pytest.mark.parametrize('step_s', [0.001, 0.01, 0.1])
def test_starts_stay_fast_on_hosts_of_any_speed(step_s):
    """Guards against connections that wait in the process, not before it.

    Each start in progress takes ``step_s`` of the processor.
    """
    limit = start_limit.StartLimit()
    now, longest = 0.0, []
    for _ in range(100):
        duration = limit.free() * step_s
        longest.append(duration)
        _run(limit, duration, now)
        now += duration
    allowed = max(step_s, start_limit.SLOW_START_S * 2)
    assert max(longest[10:]) <= allowed + step_s


def test_connections_without_a_request_are_begun_a_few_at_a_time():
    """Guards against requests that arrive together on new connections, and
    are all begun before the first of them shows that the process is slow.
    """
    limit = start_limit.StartLimit()
    begun = [limit.try_begin_silent(0.0) for _ in range(100)]
    assert sum(begun) == start_limit.MAX_LIMIT
    assert limit.try_begin_silent(start_limit.SILENT_INTERVAL_S * 1.1)


def test_a_process_that_is_slow_takes_no_connection_past_the_queue():
    limit = start_limit.StartLimit()
    assert limit.is_relaxed()
    _run(limit, SLOW, 0.0)
    assert not limit.is_relaxed()
