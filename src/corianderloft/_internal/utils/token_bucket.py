"""Rate limit by tokens that refill at a steady rate."""

import trio


class TokenBucket:
    """A bucket that starts full, on trio's clock.

    Parameters
    ----------
    rate : float
        Tokens a second.
    burst : float or None
        Largest number of tokens; one second's worth unless given.
    """

    def __init__(self, rate: float, burst: float | None = None) -> None:
        self._rate = rate
        self._burst = rate if burst is None else burst
        self._tokens = self._burst
        self._filled_at: float | None = None

    def take(self, keep_fraction: float = 0.0) -> bool:
        """Take a token, or none and return False.

        Parameters
        ----------
        keep_fraction : float
            Part of a full bucket that must be left, from 0 to 1.
        """
        self._refill()
        if self._tokens - 1.0 < keep_fraction * self._burst:
            return False
        self._tokens -= 1.0
        return True

    def _refill(self) -> None:
        now = trio.current_time()
        if self._filled_at is not None:
            grown = self._tokens + (now - self._filled_at) * self._rate
            self._tokens = min(self._burst, grown)
        self._filled_at = now
