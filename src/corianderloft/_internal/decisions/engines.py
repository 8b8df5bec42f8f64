"""What one host knows of one engine."""

import collections
import dataclasses
import math

from corianderloft._internal.decisions import waiting
from corianderloft._internal.models import backends
from corianderloft._internal.models import states

_WEIGHT = 0.25
"""Part of an average that the newest observation makes up."""

_MEMORY = 4.0
"""Time constant at which observations lose their weight, in seconds."""

_SLOW_MEMORY = 60.0
"""Time constant at which an engine's slowness is forgotten, in seconds."""

_KNOWN_FOR = 15.0
"""Time constant at which an engine unheard of becomes unknown, in seconds."""

_RAMP = 4.0
"""Slots a second that an engine is given after it came back."""

_ALIVE_FOR = 1.0
"""Time for which tokens of a running stream prove life, in seconds."""

_FIRST_BACKOFF = 0.25
_MOST_BACKOFF = 4.0
"""Wait before a failed engine is tried again, in seconds."""

_ERRORS_TO_CLOSE = 3
"""Failures in a row after which an engine that answers is closed."""


@dataclasses.dataclass(eq=False)
class EngineView:
    """One backend server as this host sees it.

    Attributes
    ----------
    backend : Backend
        Identity, place and slots.
    in_flight : int
        Attempts of this host that hold a slot.
    lanes : Counter of Lane
        The same by lane.
    home_part : float
        Part of it that is this host's own, from 0 to 1.
    borrowed : float
        Slots beyond the even share that this host may use.
    most : float
        Attempts of this host that it may hold, as the limiter says.
    report : LoadReport or None
        Its latest report of its own load.
    own_at_report : int
        Attempts of this host in flight when the report came.
    gap : float or None
        Mean time between tokens, in seconds.
    tokens_per_event : float
        Mean of tokens that arrive together.
    streams : int
        Attempts between their first token and their end.
    last_progress : float
        When tokens last arrived, on trio's clock, in seconds.
    excess_wait : float
        Mean wait for a first token beyond what is usual, in seconds.
    failures : int
        Failures in a row.
    closed_until : float
        When a failed engine may be tried again.
    reopened_at : float
        When it last came back.
    ejected : bool
        Whether it is judged too slow for new work.
    probe_at : float
        When an ejected engine may be given a trial.
    probe_pause : float
        Wait before the trial after that, in seconds.
    """

    backend: backends.Backend
    in_flight: int = 0
    lanes: collections.Counter[waiting.Lane] = dataclasses.field(
        default_factory=collections.Counter
    )
    home_part: float = 1.0
    borrowed: float = 0.0
    most: float = 1.0
    report: backends.LoadReport | None = None
    own_at_report: int = 0
    gap: float | None = None
    tokens_per_event: float = 1.0
    streams: int = 0
    last_progress: float = -math.inf
    excess_wait: float = 0.0
    excess_at: float = -math.inf
    failures: int = 0
    closed_until: float = -math.inf
    reopened_at: float = -math.inf
    ejected: bool = False
    probe_at: float = -math.inf
    probe_pause: float = 0.0

    @property
    def takes_new_work(self) -> bool:
        """Whether it may be given new work."""
        return self.backend.state is states.BackendState.LIVE

    @property
    def closed(self) -> bool:
        """Whether it failed and has not answered since."""
        return self.closed_until > -math.inf

    @property
    def on_trial(self) -> bool:
        """Whether a request given to it only tries whether it is well."""
        return self.closed or self.ejected

    def acquire_slot(self, lane: waiting.Lane) -> None:
        """Take a slot for one attempt."""
        self.in_flight += 1
        self.lanes[lane] += 1

    def release_slot(self, lane: waiting.Lane) -> None:
        """Give the slot of one attempt back."""
        self.in_flight -= 1
        self.lanes[lane] -= 1
        if not self.lanes[lane]:
            del self.lanes[lane]

    def in_flight_at_or_above(self, lane: waiting.Lane) -> int:
        """Return attempts that lower-priority work cannot delay."""
        if not self.in_flight:
            return 0
        return sum(n for key, n in self.lanes.items() if key <= lane)

    def saw_tokens(self, tokens: int, since: float, now: float) -> None:
        """Take in tokens of one stream, the last of which came ``since``."""
        if tokens > 0 and now > since:
            sample = (now - since) / tokens
            previous = sample if self.gap is None else self.gap
            self.gap = previous + (sample - previous) * _WEIGHT
            self.tokens_per_event += (tokens - self.tokens_per_event) * _WEIGHT
        self.last_progress = now

    def saw_wait(self, wait: float, usual: float, now: float) -> None:
        """Take in the wait for a first token."""
        previous = self.excess(now)
        sample = max(0.0, wait - usual)
        self.excess_wait = previous + (sample - previous) * _WEIGHT
        self.excess_at = now

    def excess(self, now: float) -> float:
        """Return the excess wait, less as it ages, in seconds."""
        return self.excess_wait * _freshness(now - self.excess_at)

    def slowness(self, healthy_gap: float, now: float) -> float:
        """Return how many times slower than healthy it seems.

        Streams that fall silent count before their tokens arrive. What was
        seen loses its weight while nothing new is seen.
        """
        if self.gap is None or healthy_gap <= 0:
            return 1.0
        gap = self.gap
        silence = now - self.last_progress
        if self.streams:
            gap = max(gap, silence / self.tokens_per_event)
            return max(1.0, gap / healthy_gap)
        ratio = max(1.0, gap / healthy_gap)
        return 1.0 + (ratio - 1.0) * math.exp(-silence / _SLOW_MEMORY)

    def streaming(self, now: float) -> bool:
        """Return whether it gives tokens to streams of this host."""
        return self.streams > 0 and now - self.last_progress <= _ALIVE_FOR

    def doubt(self, now: float) -> float:
        """Return how little its speed is known, from 0 to 1."""
        if self.gap is None:
            return 1.0
        return 1.0 - math.exp((self.last_progress - now) / _KNOWN_FOR)

    def others(self, mean_others: float, now: float) -> float:
        """Return what other hosts have in it, as far as can be known.

        An aged report gives way to the mean over all engines.
        """
        if self.report is None:
            return mean_others
        weight = _freshness(now - self.report.measured_at)
        reported = self.report.running + self.report.waiting
        others = max(0, reported - self.own_at_report)
        return weight * others + (1 - weight) * mean_others

    def ramp(self, now: float) -> float:
        """Return the most it is given so soon after its return."""
        return 1.0 + (now - self.reopened_at) * _RAMP

    def fail(self, hard: bool, jitter: float, now: float) -> None:
        """Note a failure; ``jitter`` is between 0 and 1."""
        self.failures += 1
        if not hard and self.failures < _ERRORS_TO_CLOSE:
            return
        backoff = min(
            _MOST_BACKOFF, _FIRST_BACKOFF * 2 ** min(self.failures, 8)
        )
        self.closed_until = now + backoff * (0.5 + jitter / 2)

    def answer(self, now: float) -> bool:
        """Note that it answers; return whether it was closed before."""
        was_closed = self.closed
        self.failures = 0
        self.closed_until = -math.inf
        if was_closed:
            self.reopened_at = now
        return was_closed


def _freshness(age: float) -> float:
    return math.exp(-max(0.0, age) / _MEMORY)
