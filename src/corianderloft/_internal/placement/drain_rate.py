"""Rate at which requests leave the queue of this host."""

import math

AVERAGING_S = 2.0
"""Time constant of the average; bursts last 2 to 9 s."""

MIN_BACKLOG_S = 0.5
"""Time for which requests must have been waiting before the rate tells what
the engines take: without a backlog it is what callers ask for."""


class DrainRate:
    """Tokens of the requests that are dispatched per second."""

    def __init__(self) -> None:
        self._rate = 0.0
        self._updated_at: float | None = None
        self._backlog_since: float | None = None
        self._weight = 0.0

    def note_backlog(self, waiting: bool, now: float) -> None:
        """Record whether requests wait."""
        if not waiting:
            self._backlog_since = None
        elif self._backlog_since is None:
            self._backlog_since = now

    def record(self, tokens: int, now: float) -> None:
        """Record a dispatched request."""
        self._decay(now)
        self._rate += tokens / AVERAGING_S

    def wait(self, tokens: int, now: float) -> float | None:
        """Return the time until a backlog is dispatched, in seconds.

        None while that is unknown.

        Parameters
        ----------
        tokens : int
            The backlog.
        now : float
            Current time on trio's clock.
        """
        since = self._backlog_since
        if since is None or now - since < MIN_BACKLOG_S:
            return None
        self._decay(now)
        # An average that has just begun is scaled up to the whole of it.
        rate = self._rate / max(self._weight, 1e-9)
        return tokens / rate if rate > 0 else None

    def _decay(self, now: float) -> None:
        last = now if self._updated_at is None else self._updated_at
        elapsed = max(0.0, now - last)
        self._updated_at = now
        factor = math.exp(-elapsed / AVERAGING_S)
        self._rate *= factor
        self._weight = 1.0 - (1.0 - self._weight) * factor
