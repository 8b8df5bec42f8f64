"""How sure a host is that its configuration is the newest."""

import math

import trio

UNKNOWN_AGE_S = 1e6


class Currency:
    """Times up to which the configuration of this host is confirmed.

    Evidence is dated when the question was sent, so an answer that waited
    while the host was paused proves nothing about now.

    Attributes
    ----------
    confirmed_at : float
        When a peer or the service last confirmed it, on trio's clock.
    verified_at : float
        When the key-value service last held nothing newer, as this host or
        a peer found out, on trio's clock.
    """

    def __init__(self) -> None:
        self.confirmed_at = -math.inf
        self.verified_at = -math.inf

    def confirm(self, asked_at: float) -> None:
        """Note that a peer knew of nothing newer."""
        self.confirmed_at = max(self.confirmed_at, asked_at)

    def verify(self, asked_at: float) -> None:
        """Note that the service held nothing newer at ``asked_at``."""
        self.confirm(asked_at)
        self.verified_at = max(self.verified_at, asked_at)

    def verify_through_peer(self, asked_at: float, age: float) -> None:
        """Note that the service held nothing newer ``age`` s before."""
        self.verified_at = max(self.verified_at, asked_at - age)

    def confirmed_within(self, seconds: float) -> bool:
        """Return whether there is evidence of the last ``seconds``."""
        return trio.current_time() - self.confirmed_at < seconds

    def verified_age(self) -> float:
        """Return the seconds since the service held nothing newer."""
        return min(UNKNOWN_AGE_S, trio.current_time() - self.verified_at)
