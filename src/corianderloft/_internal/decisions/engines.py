"""State of one engine as observed by this host."""

import collections
import dataclasses
import math

from corianderloft._internal.decisions import waiting
from corianderloft._internal.models import backends
from corianderloft._internal.models import states

_EWMA_WEIGHT = 0.25
"""Weight of the newest sample in a moving average."""

_OBSERVATION_TIME_CONSTANT_S = 4.0
"""Time constant at which observations lose their weight, in seconds."""

_SLOWNESS_TIME_CONSTANT_S = 60.0
"""Time constant at which the slowness of an idle engine decays, in seconds."""

_UNCERTAINTY_TIME_CONSTANT_S = 15.0
"""Time constant at which the speed of an idle engine becomes uncertain."""

_SLOW_START_SLOTS_PER_S = 4.0
"""Growth of the slow-start limit of a recovered engine."""

_STREAMING_WITHIN_S = 1.0
"""Time after a token during which an engine counts as streaming."""

_BASE_BACKOFF_S = 0.25
_MAX_BACKOFF_S = 4.0
"""Base and upper bound of the backoff after a failure, in seconds."""

_FAILURES_TO_OPEN_CIRCUIT = 3
"""Consecutive failures that open the circuit of a reachable engine."""


@dataclasses.dataclass(eq=False)
class EngineView:
    """State of one backend server as observed by this host.

    All times are on trio's clock, in seconds.

    Attributes
    ----------
    backend : Backend
        Identity, address and slots.
    in_flight : int
        Attempts of this host that hold a slot.
    in_flight_by_lane : Counter of Lane
        The same attempts by lane.
    preferred_fraction : float
        Fraction of the engine that is assigned to this host, from 0 to 1.
    borrowed_slots : float
        Slots beyond the even share that this host may use.
    max_in_flight : float
        Limit on `in_flight`, set by the limiter.
    report : LoadReport or None
        Latest load report.
    own_in_flight_at_report : int
        Value of `in_flight` when the report arrived.
    token_interval : float or None
        Mean inter-token latency, in seconds.
    tokens_per_event : float
        Mean number of tokens that arrive together.
    active_streams : int
        Attempts that received their first token and have not ended.
    last_progress_at : float
        When tokens last arrived.
    excess_wait : float
        Mean time to first token beyond the typical one, in seconds.
    excess_wait_at : float
        When `excess_wait` was updated.
    consecutive_failures : int
        Failures since the last response.
    circuit_open_until : float
        When a failed engine may be probed; minus infinity if the circuit
        is closed.
    recovered_at : float
        When the circuit was last closed.
    ejected : bool
        Whether the engine is too slow for new work.
    next_probe_at : float
        When an ejected engine may be probed.
    probe_interval : float
        Wait between the next probe and the one after, in seconds.
    listed : bool
        Whether the platform still lists the engine.
    """

    backend: backends.Backend
    in_flight: int = 0
    in_flight_by_lane: collections.Counter[waiting.Lane] = dataclasses.field(
        default_factory=collections.Counter
    )
    preferred_fraction: float = 1.0
    borrowed_slots: float = 0.0
    max_in_flight: float = 1.0
    report: backends.LoadReport | None = None
    own_in_flight_at_report: int = 0
    token_interval: float | None = None
    tokens_per_event: float = 1.0
    active_streams: int = 0
    last_progress_at: float = -math.inf
    excess_wait: float = 0.0
    excess_wait_at: float = -math.inf
    consecutive_failures: int = 0
    circuit_open_until: float = -math.inf
    recovered_at: float = -math.inf
    ejected: bool = False
    next_probe_at: float = -math.inf
    probe_interval: float = 0.0
    listed: bool = True

    @property
    def accepts_new_work(self) -> bool:
        """Whether the engine may receive new work."""
        return self.listed and self.backend.state is states.BackendState.LIVE

    @property
    def circuit_open(self) -> bool:
        """Whether the engine failed and has not responded since."""
        return self.circuit_open_until > -math.inf

    @property
    def needs_probe(self) -> bool:
        """Whether the next request only probes whether the engine works."""
        return self.circuit_open or self.ejected

    def acquire_slot(self, lane: waiting.Lane) -> None:
        """Take a slot for one attempt."""
        self.in_flight += 1
        self.in_flight_by_lane[lane] += 1

    def release_slot(self, lane: waiting.Lane) -> None:
        """Release the slot of one attempt."""
        self.in_flight -= 1
        self.in_flight_by_lane[lane] -= 1
        if not self.in_flight_by_lane[lane]:
            del self.in_flight_by_lane[lane]

    def in_flight_at_or_above(self, lane: waiting.Lane) -> int:
        """Return the in-flight attempts of ``lane`` and higher lanes."""
        if not self.in_flight:
            return 0
        return sum(
            n for key, n in self.in_flight_by_lane.items() if key <= lane
        )

    def record_tokens(
        self, tokens: int, previous_at: float, now: float
    ) -> None:
        """Record tokens that follow the previous ones at ``previous_at``."""
        if tokens > 0 and now > previous_at:
            sample = (now - previous_at) / tokens
            previous = (
                sample if self.token_interval is None else self.token_interval
            )
            self.token_interval = previous + (sample - previous) * _EWMA_WEIGHT
            self.tokens_per_event += (
                tokens - self.tokens_per_event
            ) * _EWMA_WEIGHT
        self.last_progress_at = now

    def record_first_token_wait(
        self, wait: float, typical: float, now: float
    ) -> None:
        """Record the time to first token of one attempt."""
        previous = self.current_excess_wait(now)
        sample = max(0.0, wait - typical)
        self.excess_wait = previous + (sample - previous) * _EWMA_WEIGHT
        self.excess_wait_at = now

    def current_excess_wait(self, now: float) -> float:
        """Return the excess wait, decayed by its age, in seconds."""
        return self.excess_wait * _freshness(now - self.excess_wait_at)

    def slowness(self, healthy_token_interval: float, now: float) -> float:
        """Return the ratio of the token interval to a healthy one.

        Time since the last token counts for active streams, so that a
        stall shows before the next token arrives. Without active streams
        the ratio decays to 1.
        """
        if self.token_interval is None or healthy_token_interval <= 0:
            return 1.0
        interval = self.token_interval
        silence = now - self.last_progress_at
        if self.active_streams:
            interval = max(interval, silence / self.tokens_per_event)
            return max(1.0, interval / healthy_token_interval)
        ratio = max(1.0, interval / healthy_token_interval)
        return 1.0 + (ratio - 1.0) * math.exp(
            -silence / _SLOWNESS_TIME_CONSTANT_S
        )

    def is_streaming(self, now: float) -> bool:
        """Return whether a stream of this host received tokens recently."""
        return (
            self.active_streams > 0
            and now - self.last_progress_at <= _STREAMING_WITHIN_S
        )

    def speed_uncertainty(self, now: float) -> float:
        """Return the uncertainty of the engine's speed, from 0 to 1."""
        if self.token_interval is None:
            return 1.0
        return 1.0 - math.exp(
            (self.last_progress_at - now) / _UNCERTAINTY_TIME_CONSTANT_S
        )

    def in_flight_elsewhere(self, mean_others: float, now: float) -> float:
        """Estimate the load from other hosts, in requests.

        As the report ages, the estimate moves to ``mean_others``, the mean
        over all engines.
        """
        if self.report is None:
            return mean_others
        weight = _freshness(now - self.report.measured_at)
        reported = self.report.running + self.report.waiting
        others = max(0, reported - self.own_in_flight_at_report)
        return weight * others + (1 - weight) * mean_others

    def slow_start_limit(self, now: float) -> float:
        """Return the limit on `in_flight`, which grows after a recovery."""
        return 1.0 + (now - self.recovered_at) * _SLOW_START_SLOTS_PER_S

    def record_failure(self, hard: bool, jitter: float, now: float) -> None:
        """Record a failure.

        A hard failure opens the circuit at once, others after
        `_FAILURES_TO_OPEN_CIRCUIT`. ``jitter`` is between 0 and 1.
        """
        self.consecutive_failures += 1
        if not hard and self.consecutive_failures < _FAILURES_TO_OPEN_CIRCUIT:
            return
        backoff = min(
            _MAX_BACKOFF_S,
            _BASE_BACKOFF_S * 2 ** min(self.consecutive_failures, 8),
        )
        self.circuit_open_until = now + backoff * (0.5 + jitter / 2)

    def record_response(self, now: float) -> bool:
        """Record a response; return whether the circuit was open before."""
        was_open = self.circuit_open
        self.consecutive_failures = 0
        self.circuit_open_until = -math.inf
        if was_open:
            self.recovered_at = now
        return was_open


def _freshness(age: float) -> float:
    return math.exp(-max(0.0, age) / _OBSERVATION_TIME_CONSTANT_S)
