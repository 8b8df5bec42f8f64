"""Tests of jittered waits."""

from corianderloft._internal.kv import backoff


def test_waits_grow_to_the_limit_and_shrink_after_a_success() -> None:
    waits = backoff.Backoff(0.1, 1.0)
    assert waits.next_delay() == 0.0
    delays = [waits.next_delay() for _ in range(200)]
    assert max(delays[:1]) <= 0.2
    assert 0.9 < max(delays) <= 1.0
    waits.reset()
    assert waits.next_delay() <= 0.2
