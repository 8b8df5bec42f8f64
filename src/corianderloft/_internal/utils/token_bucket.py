"""Token bucket rate limiter."""

import trio


class TokenBucket:
    """Token bucket that is initially full and uses trio's clock.

    Parameters
    ----------
    rate : float
        Refill rate, in tokens per second.
    burst : float or None
        Capacity, in tokens; by default the refill of one second.
    """

    def __init__(self, rate: float, burst: float | None = None) -> None:
        self._rate = rate
        self._capacity = rate if burst is None else burst
        self._tokens = self._capacity
        self._refilled_at: float | None = None

    def take(self, reserved_fraction: float = 0.0) -> bool:
        """Take one token; return False if not enough tokens are left.

        Parameters
        ----------
        reserved_fraction : float
            Fraction of the capacity that must remain, from 0 to 1.
        """
        self._refill()
        if self._tokens - 1.0 < reserved_fraction * self._capacity:
            return False
        self._tokens -= 1.0
        return True

    def _refill(self) -> None:
        now = trio.current_time()
        if self._refilled_at is not None:
            refilled = self._tokens + (now - self._refilled_at) * self._rate
            self._tokens = min(self._capacity, refilled)
        self._refilled_at = now
