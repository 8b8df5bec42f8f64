"""Measurements of one class of requests in a load run."""

import collections
import collections.abc
import math
import typing

from hdrh import histogram

from corianderloft._internal.load import outcomes
from corianderloft._internal.load import workload

MAX_LATENCY_US = 600_000_000
SIGNIFICANT_FIGURES = 3
MICROSECONDS_PER_S = 1_000_000
PERCENTILES = (50.0, 90.0, 95.0, 99.0, 99.9, 100.0)
TIMELINE_BUCKET_S = 1.0

Json = dict[str, typing.Any]


class LatencyHistogram:
    """Histogram of a latency."""

    def __init__(self) -> None:
        self._histogram = histogram.HdrHistogram(
            1, MAX_LATENCY_US, SIGNIFICANT_FIGURES
        )

    def record(self, seconds: float) -> None:
        """Record one latency, in seconds."""
        value = round(seconds * MICROSECONDS_PER_S)
        self._histogram.record_value(max(1, min(value, MAX_LATENCY_US)))

    def value_at(self, percentile: float) -> float | None:
        """Return a percentile in seconds; None if nothing was recorded."""
        if not self._histogram.get_total_count():
            return None
        value = self._histogram.get_value_at_percentile(percentile)
        return float(value) / MICROSECONDS_PER_S

    def to_json(self) -> Json:
        """Return the percentiles, in seconds, and the number of values."""
        return {
            'count': self._histogram.get_total_count(),
            'percentiles': {f'{p:g}': self.value_at(p) for p in PERCENTILES},
        }


class ClassMeasures:
    """Aggregated outcomes of one class of requests.

    Parameters
    ----------
    load_class : LoadClass
        The class.
    duration : float
        Period during which its requests arrive, in seconds.
    """

    def __init__(
        self, load_class: workload.LoadClass, duration: float
    ) -> None:
        self.load_class = load_class
        self.kinds: collections.Counter[outcomes.OutcomeKind] = (
            collections.Counter()
        )
        self.refusals: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.attained = 0
        self.attained_tokens = 0
        self.tokens_received = 0
        self.repeated_tokens = 0
        self.failed_connects = 0
        self.resumed = 0
        self.details: list[str] = []
        self._duration = duration
        self._first_token = LatencyHistogram()
        self._token_gap = LatencyHistogram()
        self._total = LatencyHistogram()
        buckets = math.ceil(duration / TIMELINE_BUCKET_S)
        self._timeline = [[0, 0] for _ in range(buckets)]

    def record(self, outcome: outcomes.Outcome) -> None:
        """Record the outcome of one request."""
        self.kinds[outcome.kind] += 1
        self.tokens_received += outcome.tokens
        self.repeated_tokens += outcome.repeated_tokens
        self.failed_connects += outcome.failed_connects
        self.resumed += outcome.resumed
        attained = outcome.attained
        self.attained += attained
        self.attained_tokens += attained * outcome.tokens
        bucket = self._timeline[int(outcome.arrival.at / TIMELINE_BUCKET_S)]
        bucket[0] += 1
        bucket[1] += attained
        if outcome.kind is outcomes.OutcomeKind.REFUSED:
            self.refusals[outcome.detail, outcome.run] += 1
        elif outcome.kind is outcomes.OutcomeKind.COMPLETE:
            self._record_latencies(outcome)
        else:
            self._record_detail(outcome)

    def _record_latencies(self, outcome: outcomes.Outcome) -> None:
        self._first_token.record(outcome.first_token)
        self._total.record(outcome.total)
        for gap in outcome.gaps:
            self._token_gap.record(gap)

    def _record_detail(self, outcome: outcomes.Outcome) -> None:
        if len(self.details) < 5:
            self.details.append(f'{outcome.kind.value}: {outcome.detail}')

    @property
    def scheduled(self) -> int:
        """Number of scheduled requests."""
        return self.kinds.total()

    def attainment(self) -> float | None:
        """Return the fraction of scheduled requests that met their targets."""
        return self.attained / self.scheduled if self.scheduled else None

    def to_json(self) -> Json:
        """Return all measurements; latencies cover complete responses only."""
        return {
            'name': self.load_class.name,
            'service': self.load_class.service,
            'first_token_target_s': self.load_class.first_token_target,
            'token_gap_target_s': self.load_class.token_gap_target,
            'scheduled': self.scheduled,
            'outcomes': {kind.value: n for kind, n in self.kinds.items()},
            'refusals': [
                {'reason': reason, 'run': run, 'count': count}
                for (reason, run), count in self.refusals.most_common()
            ],
            'attainment': self.attainment(),
            'goodput_requests_per_s': self.attained / self._duration,
            'goodput_tokens_per_s': self.attained_tokens / self._duration,
            'tokens_received': self.tokens_received,
            'repeated_tokens': self.repeated_tokens,
            'addresses_not_reached': self.failed_connects,
            'resumed': self.resumed,
            'first_token_s': self._first_token.to_json(),
            'token_gap_s': self._token_gap.to_json(),
            'total_s': self._total.to_json(),
            'timeline': [
                {
                    'at_s': index * TIMELINE_BUCKET_S,
                    'scheduled': row[0],
                    'attained': row[1],
                }
                for index, row in enumerate(self._timeline)
            ],
            'details': self.details,
        }
