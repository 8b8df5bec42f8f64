"""Figures of a run, and ratios between two runs."""

import collections.abc
import dataclasses
import math
import statistics

from bench.policy import relay
from bench.policy import simulate
from bench.policy import workload

Records = collections.abc.Sequence[relay.Record]


@dataclasses.dataclass(frozen=True)
class Figure:
    """One measure over all seeds.

    Attributes
    ----------
    name : str
        What is measured.
    values : tuple of float
        One value a seed.
    target : str
        Target, for the table.
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
        """Median, lowest and highest."""
        lowest = min(self.values)
        highest = max(self.values)
        return f'{self.median:.3f} [{lowest:.3f}-{highest:.3f}]'


def attainment(records: Records) -> float:
    """Return the part of requests that met their target, whole."""
    if not records:
        return 1.0
    return sum(r.attained for r in records) / len(records)


def of_tiers(
    records: Records, tiers: collections.abc.Container[int]
) -> list[relay.Record]:
    """Return the records of the given tiers."""
    return [r for r in records if r.arrival.mix.tier in tiers]


def short(result: simulate.Result) -> list[relay.Record]:
    """Return the records of short classes."""
    return of_tiers(result.records, workload.SHORT_TIERS)


def percentile(records: Records, part: float) -> float:
    """Return a percentile of the wait for the first token, in seconds.

    A request without a first token counts with its deadline.
    """
    waits = sorted(min(r.wait, r.arrival.mix.deadline) for r in records)
    if not waits:
        return math.nan
    return waits[min(len(waits) - 1, int(part * len(waits)))]


def goodput(result: simulate.Result) -> float:
    """Return tokens of attained answers, a second of demand."""
    tokens = sum(r.in_time for r in result.records if r.attained)
    return tokens / result.duration


def wasted(result: simulate.Result) -> float:
    """Return the part of generated tokens in no whole answer."""
    return 1 - result.delivered / max(1, result.generated)


def longest_wait(records: Records) -> float:
    """Return the longest wait for a start, refused requests excluded."""
    return max(
        (r.started - r.arrival.at for r in records if r.started is not None),
        default=0.0,
    )


def started_part(records: Records) -> float:
    """Return the part of requests that ever started."""
    if not records:
        return 1.0
    return sum(r.started is not None for r in records) / len(records)


def attempts_between(result: simulate.Result, since: float) -> int:
    """Return how many attempts started within 10 s of ``since``."""
    return sum(
        since <= at < since + 10.0 for r in result.records for at in r.attempts
    )


def recovery(result: simulate.Result, back_at: float) -> float:
    """Return when short work is in time again, in seconds after the return.

    That is the arrival of the last short request that missed its target
    among those that arrived after ``back_at``, within 20 s of it.
    """
    missed = [
        r.arrival.at - back_at
        for r in short(result)
        if back_at <= r.arrival.at < back_at + 20.0 and not r.attained
    ]
    return max(missed, default=0.0)
