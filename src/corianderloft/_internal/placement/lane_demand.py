"""Prefill work that callers ask of a service, by length of the prompts."""

import dataclasses
import math

AVERAGING_S = 10.0
"""Time constant of the averages: a burst of long prompts moves few engines
from one lane to the other."""

RECENT_S = 2.5
"""Time constant of the average that follows a burst of short prompts, whose
targets do not let them wait for engines."""


@dataclasses.dataclass(frozen=True)
class Demand:
    """Unshared prompt tokens per second of short and of long prompts.

    Shared prefixes are left out: how many of them are prefilled depends on
    the caches, which the division of the engines must not follow.

    Attributes
    ----------
    short, long : float
        Averages over `AVERAGING_S`.
    recent_short, recent_long : float
        Averages over `RECENT_S`.
    """

    short: float = 0.0
    long: float = 0.0
    recent_short: float = 0.0
    recent_long: float = 0.0

    def short_fraction(self, weight: float) -> float | None:
        """Return the fraction of the work that short prompts are.

        The larger one of both averages; None without any work.

        Parameters
        ----------
        weight : float
            Weight of a token of a short prompt.
        """
        fractions = [
            weight * short / (weight * short + long)
            for short, long in (
                (self.short, self.long),
                (self.recent_short, self.recent_long),
            )
            if short + long > 0
        ]
        return max(fractions, default=None)

    def __add__(self, other: 'Demand') -> 'Demand':
        return Demand(
            self.short + other.short,
            self.long + other.long,
            self.recent_short + other.recent_short,
            self.recent_long + other.recent_long,
        )


class DemandMeter:
    """Measures the demand at this host with exponential averages."""

    def __init__(self) -> None:
        self._demand = Demand()
        self._updated_at = 0.0

    def record(self, short_prompt: bool, tokens: int, now: float) -> None:
        """Record a request that is sent to a backend server.

        Parameters
        ----------
        short_prompt : bool
            Whether its route has short prompts.
        tokens : int
            Tokens that only this request has.
        now : float
            Current time on trio's clock.
        """
        slow, recent = tokens / AVERAGING_S, tokens / RECENT_S
        added = (
            Demand(short=slow, recent_short=recent)
            if short_prompt
            else Demand(long=slow, recent_long=recent)
        )
        self._demand = self.demand(now) + added

    def demand(self, now: float) -> Demand:
        """Return the present averages."""
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = now
        decay = math.exp(-elapsed / AVERAGING_S)
        recent_decay = math.exp(-elapsed / RECENT_S)
        self._demand = Demand(
            self._demand.short * decay,
            self._demand.long * decay,
            self._demand.recent_short * recent_decay,
            self._demand.recent_long * recent_decay,
        )
        return self._demand
