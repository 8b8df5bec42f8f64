"""What backend servers say of themselves in their responses.

A server that leaves says so, and one that turns a request away may name a
time for which it wants nothing from this host. Both are kept by the start of
the server, apart from its entry: the entry may be late, or be written anew by
a store that was away.
"""

import collections
import collections.abc
import logging
import random

from corianderloft._internal.models import ids

logger = logging.getLogger(__name__)

MAX_REFUSAL_S = 60.0
"""Longest time for which a server is believed that it wants nothing."""

RESUME_SPREAD_RATIO = 0.25
MAX_RESUME_SPREAD_S = 1.0
"""Random delay after the end of that time, as a fraction of it and at most:
the hosts that a server turned away together do not come back together."""

MAX_KEPT = 4096
"""Starts of servers that are remembered."""

Key = tuple[ids.EngineId, int]
"""Engine ID and start time of a backend server."""

counts: collections.Counter[str] = collections.Counter()
"""Statements heard, by kind, for the metrics."""


class Statements:
    """What one run of a backend server has said of itself.

    Parameters
    ----------
    engine_id : EngineId
        Its ID, for the log.
    rng : Random
        Source of random numbers.
    on_leaving : callable
        Called when the server says that it leaves.

    Attributes
    ----------
    leaving : bool
        Whether the server leaves. That is final for this run.
    refuses_until : float
        Until when the server wants no requests, on trio's clock.
    """

    def __init__(
        self,
        engine_id: ids.EngineId,
        rng: random.Random,
        on_leaving: collections.abc.Callable[[], None],
    ) -> None:
        self._engine_id = engine_id
        self._rng = rng
        self._on_leaving = on_leaving
        self.leaving = False
        self.refuses_until = float('-inf')
        self._resumes_at = float('-inf')
        self._on_trial = False
        self._trial_sent = False

    def record_response(
        self, leaving: bool, refuses_for: float | None, now: float
    ) -> None:
        """Store what a response says.

        Parameters
        ----------
        leaving : bool
            Whether the server leaves.
        refuses_for : float or None
            Time for which it wants no requests, in seconds.
        now : float
            Current time on trio's clock.
        """
        if leaving and not self.leaving:
            self.leaving = True
            counts['leaving'] += 1
            logger.info(
                'backend server says that it leaves',
                extra={'engine': self._engine_id},
            )
            self._on_leaving()
        if refuses_for is not None:
            self._record_refusal(min(refuses_for, MAX_REFUSAL_S), now)
        elif now >= self._resumes_at:
            self._on_trial = False

    def admits(self, now: float) -> bool:
        """Return whether the server may get another request.

        After a time without requests it gets one at a time until it responds
        without turning one away.
        """
        if self.leaving or now < self._resumes_at:
            return False
        return not (self._on_trial and self._trial_sent)

    def record_sent(self) -> None:
        """Record that a request is sent to the server."""
        self._trial_sent = self._on_trial

    def record_end(self) -> None:
        """Record that an attempt at the server has ended."""
        self._trial_sent = False

    def _record_refusal(self, refuses_for: float, now: float) -> None:
        until = now + refuses_for
        if until <= self.refuses_until:
            return
        if now >= self.refuses_until:
            counts['refusing'] += 1
            logger.info(
                'backend server wants no requests for a time',
                extra={
                    'engine': self._engine_id,
                    'refuses_for_s': round(refuses_for, 3),
                },
            )
        spread_s = min(MAX_RESUME_SPREAD_S, RESUME_SPREAD_RATIO * refuses_for)
        self.refuses_until = until
        self._resumes_at = until + self._rng.uniform(0, spread_s)
        self._on_trial = True


class StatementBook:
    """The statements of all backend servers, listed or not.

    Parameters
    ----------
    rng : Random
        Source of random numbers.
    on_leaving : callable
        Called when a server says that it leaves.
    """

    def __init__(
        self,
        rng: random.Random,
        on_leaving: collections.abc.Callable[[], None],
    ) -> None:
        self._rng = rng
        self._on_leaving = on_leaving
        self._kept: collections.OrderedDict[Key, Statements] = (
            collections.OrderedDict()
        )

    def of(self, key: Key) -> Statements:
        """Return the statements of one run of a server."""
        said = self._kept.get(key)
        if said is None:
            said = Statements(key[0], self._rng, self._on_leaving)
            self._kept[key] = said
        self._kept.move_to_end(key)
        return said

    def prune(self) -> None:
        """Forget the runs that were used longest ago if there are many."""
        while len(self._kept) > MAX_KEPT:
            self._kept.popitem(last=False)
