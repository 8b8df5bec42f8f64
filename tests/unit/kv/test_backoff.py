"""Tests of exponential backoff."""

from corianderloft._internal.kv import backoff


def test_delays_grow_to_the_limit_and_reset_after_a_success() -> None:
    reconnects = backoff.Backoff(0.1, 1.0)
    assert reconnects.next_delay() == 0.0
    delays = [reconnects.next_delay() for _ in range(200)]
    assert max(delays[:1]) <= 0.2
    assert 0.9 < max(delays) <= 1.0
    reconnects.reset()
    assert reconnects.next_delay() <= 0.2
