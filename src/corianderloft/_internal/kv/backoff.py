"""Jittered waits that grow with each failure."""

import random


class Backoff:
    """Waits before reconnects; none before the first connection.

    Parameters
    ----------
    base : float
        Mean of the first wait, in seconds.
    limit : float
        Longest wait, in seconds.
    """

    def __init__(self, base: float, limit: float) -> None:
        self._base = base
        self._limit = limit
        self._random = random.Random()
        self._started = False
        self._failures = 0

    def next_delay(self) -> float:
        """Return the wait before the next try, in seconds."""
        if not self._started:
            self._started = True
            return 0.0
        bound = min(self._limit, 2 * self._base * 2**self._failures)
        if bound < self._limit:
            self._failures += 1
        return self._random.uniform(0.0, bound)

    def reset(self) -> None:
        """Note a success: the next wait is short again."""
        self._failures = 0
