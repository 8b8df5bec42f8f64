"""Exponential backoff with jitter."""

import random


class Backoff:
    """Delays before reconnects; the first connection is not delayed.

    Parameters
    ----------
    base : float
        Mean of the first delay, in seconds.
    limit : float
        Maximum delay, in seconds.
    min_ratio : float
        Shortest delay as a fraction of the longest one at the time; 0 is
        full jitter.
    """

    def __init__(
        self, base: float, limit: float, min_ratio: float = 0.0
    ) -> None:
        self._min_ratio = min_ratio
        self._base = base
        self._limit = limit
        self._random = random.Random()
        self._started = False
        self._failures = 0

    def next_delay(self) -> float:
        """Return the delay before the next attempt, in seconds."""
        if not self._started:
            self._started = True
            return 0.0
        max_delay = min(self._limit, 2 * self._base * 2**self._failures)
        if max_delay < self._limit:
            self._failures += 1
        return self._random.uniform(self._min_ratio * max_delay, max_delay)

    def reset(self) -> None:
        """Reset the delay to the initial range after a success."""
        self._failures = 0
