"""Counts behind the gateway's metrics, kept as plain numbers.

`metrics_page` turns them into metrics when these are read.
"""

import collections
import collections.abc

from corianderloft._internal.network import byte_budget
from corianderloft._internal.placement import interface

MAX_PENDING_LATENCIES = 4096
"""Latencies kept until the metrics are read; the oldest ones are dropped on a
host whose metrics nobody reads."""

REFUSED = 'refused'
"""Outcome whose time is recorded."""

requests_ended: collections.Counter[tuple[str, str, str]] = (
    collections.Counter()
)
route_outcomes: collections.Counter[tuple[str, str]] = collections.Counter()
sends_failed: collections.Counter[str] = collections.Counter()
retries_refused: collections.Counter[str] = collections.Counter()
usage_reports: collections.Counter[str] = collections.Counter()
duty_held = False
engines_wanted: dict[tuple[str, str, str], int] = {}
engines_ordered: dict[tuple[str, str, str], int] = {}
"""Engines by service, failure domain and kind, while this host orders them."""

engine_orders: collections.Counter[str] = collections.Counter()
hedges: collections.Counter[tuple[str, str]] = collections.Counter()
hedges_refused: collections.Counter[tuple[str, str]] = collections.Counter()
work: collections.Counter[tuple[str, str]] = collections.Counter()
_latencies: collections.deque[tuple[str, float | None, float]] = (
    collections.deque(maxlen=MAX_PENDING_LATENCIES)
)
_refusal_times: collections.deque[tuple[str, float]] = collections.deque(
    maxlen=MAX_PENDING_LATENCIES
)
_read_store_era: list[collections.abc.Callable[[], int]] = []
_budgets: list[byte_budget.ByteBudget] = []
_count_dropped_lines: list[collections.abc.Callable[[], int]] = []


def count_ended(route: str, result: str, reason: str) -> None:
    """Count a finished request."""
    requests_ended[route, result, reason] += 1


def count_outcome(route: str, outcome: str, total_s: float) -> None:
    """Count what a caller of a route got.

    Parameters
    ----------
    route : str
        Name of the route.
    outcome : str
        What the caller got.
    total_s : float
        Time from arrival to the end, in seconds.
    """
    route_outcomes[route, outcome] += 1
    if outcome == REFUSED:
        _refusal_times.append((route, total_s))


def take_refusal_times() -> list[tuple[str, float]]:
    """Return the times to refusal recorded since the last call."""
    taken = list(_refusal_times)
    _refusal_times.clear()
    return taken


def count_send_failed(outcome: interface.AttemptOutcome) -> None:
    """Count a failed send to a backend server."""
    sends_failed[outcome.value] += 1


def count_retry_refused(service: str) -> None:
    """Count a retry that the budget did not allow."""
    retries_refused[service] += 1


def count_usage_report(event: str) -> None:
    """Count a usage report that was sent, repeated, missed or failed."""
    usage_reports[event] += 1


def count_order(result: str) -> None:
    """Count an order of engines by its result."""
    engine_orders[result] += 1


def count_hedge(service: str, event: str) -> None:
    """Count a second attempt that was started, has won or has lost."""
    hedges[service, event] += 1


def count_hedge_refused(service: str, reason: str) -> None:
    """Count a second attempt that was not allowed."""
    hedges_refused[service, reason] += 1


def count_work(service: str, kind: str, cost: float) -> None:
    """Count work that was started, or added by a second attempt."""
    work[service, kind] += round(cost)


def observe(route: str, first_byte_s: float | None, total_s: float) -> None:
    """Record the latencies of a response, in seconds."""
    _latencies.append((route, first_byte_s, total_s))


def take_latencies() -> list[tuple[str, float | None, float]]:
    """Return the latencies recorded since the last call."""
    taken = list(_latencies)
    _latencies.clear()
    return taken


def use_log_handler(
    count_dropped: collections.abc.Callable[[], int],
) -> None:
    """Set the function that returns the number of dropped log lines."""
    _count_dropped_lines[:] = [count_dropped]


def use_store_era(read_era: collections.abc.Callable[[], int]) -> None:
    """Set the function that returns the newest known era of the store."""
    _read_store_era[:] = [read_era]


def store_era() -> int:
    """Return the newest known era of the store; 0 if it states none."""
    return max((read() for read in _read_store_era), default=0)


def use_budget(budget: byte_budget.ByteBudget) -> None:
    """Set the byte budget of the process."""
    _budgets[:] = [budget]


def budgets() -> list[byte_budget.ByteBudget]:
    """Return the byte budget of the process, if there is one."""
    return _budgets


def dropped_lines() -> int:
    """Return the number of log lines that were dropped."""
    return sum(count() for count in _count_dropped_lines)
