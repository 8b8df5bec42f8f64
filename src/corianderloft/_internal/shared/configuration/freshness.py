"""Tracks when the configuration of a host was last known to be current."""

import math

import trio

UNKNOWN_AGE_S = 1e6


class FreshnessTracker:
    """Times at which the configuration of this host was known to be current.

    A confirmation counts from the time at which its request was sent, so a
    response that was delayed while the host was paused does not make the
    configuration look more recent than it is.

    Attributes
    ----------
    confirmed_at : float
        When a peer or the key-value service last confirmed it, on trio's
        clock, in seconds.
    verified_at : float
        When this host or a peer last found that the key-value service holds
        nothing newer, on trio's clock, in seconds.
    """

    def __init__(self) -> None:
        self.confirmed_at = -math.inf
        self.verified_at = -math.inf

    def confirm(self, requested_at: float) -> None:
        """Record that a peer knew of nothing newer at ``requested_at``."""
        self.confirmed_at = max(self.confirmed_at, requested_at)

    def verify(self, requested_at: float) -> None:
        """Record that the service held nothing newer at ``requested_at``."""
        self.confirm(requested_at)
        self.verified_at = max(self.verified_at, requested_at)

    def verify_through_peer(self, requested_at: float, age: float) -> None:
        """Record a verification by a peer ``age`` s before the request."""
        self.verified_at = max(self.verified_at, requested_at - age)

    def confirmed_within(self, seconds: float) -> bool:
        """Return whether it was confirmed within the last ``seconds``."""
        return trio.current_time() - self.confirmed_at < seconds

    def verified_age(self) -> float:
        """Return the seconds since the last verification.

        At most `UNKNOWN_AGE_S`, which also stands for no verification.
        """
        return min(UNKNOWN_AGE_S, trio.current_time() - self.verified_at)
