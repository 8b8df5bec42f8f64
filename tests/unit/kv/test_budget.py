"""Tests of the budget for calls on the key-value service."""

import hypothesis
from hypothesis import strategies
import trio
import trio.testing

from corianderloft._internal.kv import budget
from corianderloft._internal.settings import kv as kv_settings

RATE = 8.0  # calls/s
WAITS = strategies.lists(strategies.floats(0, 0.5), max_size=80)


def made() -> budget.CallBudget:
    """Return a budget of a few writes a second."""
    return budget.CallBudget(kv_settings.KvSettings(writes_per_second=RATE))


async def test_a_burst_of_writes_leaves_room_for_leases(
    autojump_clock: trio.testing.MockClock,
) -> None:
    calls = made()
    writes = [calls.take(budget.CallKind.WRITE) for _ in range(20)]
    assert writes.count(None) == 6
    leases = [calls.take(budget.CallKind.LEASE) for _ in range(5)]
    assert leases.count(None) == 2
    await trio.sleep(1)
    assert calls.take(budget.CallKind.WRITE) is None


async def _spend(waits: list[float]) -> None:
    calls = made()
    started = trio.current_time()
    count = 0
    for wait in waits:
        await trio.sleep(wait)
        while calls.take(budget.CallKind.LEASE) is None:
            count += 1
        elapsed = trio.current_time() - started
        assert count <= RATE + RATE * elapsed + 1e-6


@hypothesis.given(waits=WAITS)
def test_calls_never_exceed_the_rate_and_one_burst(
    waits: list[float],
) -> None:
    trio.run(_spend, waits, clock=trio.testing.MockClock(autojump_threshold=0))
