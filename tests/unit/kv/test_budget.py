"""Tests of the rate limit for calls to the key-value service."""

import hypothesis
from hypothesis import strategies
import trio
import trio.testing

from corianderloft._internal.kv import budget
from corianderloft._internal.settings import kv as kv_settings

RATE = 8.0  # calls/s
WAITS = strategies.lists(strategies.floats(0, 0.5), max_size=80)


def make_budget() -> budget.CallBudget:
    """Return a budget of `RATE` writes per second."""
    return budget.CallBudget(kv_settings.KvSettings(writes_per_second=RATE))


async def test_burst_of_writes_leaves_budget_for_leases(
    autojump_clock: trio.testing.MockClock,
) -> None:
    call_budget = make_budget()
    writes = [call_budget.take(budget.CallKind.WRITE) for _ in range(20)]
    assert writes.count(None) == 6
    leases = [call_budget.take(budget.CallKind.LEASE) for _ in range(5)]
    assert leases.count(None) == 2
    await trio.sleep(1)
    assert call_budget.take(budget.CallKind.WRITE) is None


async def _spend_budget(waits: list[float]) -> None:
    call_budget = make_budget()
    started = trio.current_time()
    count = 0
    for wait in waits:
        await trio.sleep(wait)
        while call_budget.take(budget.CallKind.LEASE) is None:
            count += 1
        elapsed = trio.current_time() - started
        assert count <= RATE + RATE * elapsed + 1e-6


@hypothesis.given(waits=WAITS)
def test_calls_never_exceed_the_rate_plus_one_burst(
    waits: list[float],
) -> None:
    trio.run(
        _spend_budget,
        waits,
        clock=trio.testing.MockClock(autojump_threshold=0),
    )
