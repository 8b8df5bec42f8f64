"""Measures computed from the records of a simulation run."""

import collections.abc
import dataclasses
import math
import statistics

from bench.policy import relay
from bench.policy import simulate
from bench.policy import workload

Records = collections.abc.Sequence[relay.Record]


@dataclasses.dataclass(frozen=True)
class MeasureSummary:
    """Values of one measure over all seeds.

    Attributes
    ----------
    name : str
        Name of the measure.
    values : tuple of float
        One value per seed.
    target : str
        Target value, as text for the table.
    """

    name: str
    values: tuple[float, ...]
    target: str = ''

    @property
    def median(self) -> float:
        """Median over the seeds."""
        return statistics.median(self.values)

    @property
    def text(self) -> str:
        """Median, lowest and highest value, formatted."""
        lowest = min(self.values)
        highest = max(self.values)
        return f'{self.median:.3f} [{lowest:.3f}-{highest:.3f}]'


def attainment(records: Records) -> float:
    """Return the fraction of requests completed with their target met."""
    if not records:
        return 1.0
    return sum(r.attained for r in records) / len(records)


def select_tiers(
    records: Records, tiers: collections.abc.Container[int]
) -> list[relay.Record]:
    """Return the records of the given tiers."""
    return [r for r in records if r.arrival.profile.tier in tiers]


def short_requests(result: simulate.Result) -> list[relay.Record]:
    """Return the records of the classes with short requests."""
    return select_tiers(result.records, workload.SHORT_TIERS)


def first_token_percentile(records: Records, fraction: float) -> float:
    """Return a percentile of the time to first token, in seconds.

    Each time is capped at the deadline of the request, which also stands in
    for a request without a first token. ``fraction`` is between 0 and 1.
    """
    waits = sorted(
        min(r.first_token_wait, r.arrival.profile.deadline) for r in records
    )
    if not waits:
        return math.nan
    return waits[min(len(waits) - 1, int(fraction * len(waits)))]


def goodput(result: simulate.Result) -> float:
    """Return the tokens of attained answers per second of demand."""
    tokens = sum(
        r.tokens_before_demand_end for r in result.records if r.attained
    )
    return tokens / result.duration


def wasted_fraction(result: simulate.Result) -> float:
    """Return the fraction of generated tokens not in a complete answer."""
    return 1 - result.delivered / max(1, result.generated)


def longest_start_wait(records: Records) -> float:
    """Return the longest wait for a start, unstarted requests excluded."""
    return max(
        (
            r.started_at - r.arrival.sent_at
            for r in records
            if r.started_at is not None
        ),
        default=0.0,
    )


def started_fraction(records: Records) -> float:
    """Return the fraction of requests that started."""
    if not records:
        return 1.0
    return sum(r.started_at is not None for r in records) / len(records)


def count_attempts_after(result: simulate.Result, since: float) -> int:
    """Return the number of attempts started in the 10 s after ``since``."""
    return sum(
        since <= attempt_time < since + 10.0
        for r in result.records
        for attempt_time in r.attempt_times
    )


def recovery_time(result: simulate.Result, restored_at: float) -> float:
    """Return how long short requests still miss targets after an outage.

    That is the arrival, in seconds after ``restored_at``, of the last short
    request that missed its target among those of the first 20 s.
    """
    missed = [
        r.arrival.sent_at - restored_at
        for r in short_requests(result)
        if restored_at <= r.arrival.sent_at < restored_at + 20.0
        and not r.attained
    ]
    return max(missed, default=0.0)
