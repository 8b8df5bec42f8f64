"""Hedge rule ``budgeted``: short work, within a budget of wasted work."""

from corianderloft._internal.decisions import plugins
from corianderloft._internal.models import requests

_STEP = 0.02
"""Step by which the estimate of the percentile follows the waits."""


@plugins.HEDGE_RULES.register('budgeted')
class Budgeted:
    """Hedges after a high percentile of the waits for a first token.

    Each started attempt earns a part of its cost; a hedge spends the cost
    that it would waste at worst.
    """

    def __init__(self, cfg: plugins.Settings) -> None:
        self._cfg = cfg
        self._balance = cfg.hedge_burst
        self._percentile = cfg.hedge_least_delay

    def granted(self, cost: float) -> None:
        """Earn a part of the cost of started work."""
        self._balance = min(
            self._cfg.hedge_burst, self._balance + self._cfg.hedge_part * cost
        )

    def first_token(self, wait: float) -> None:
        """Move the estimate of the percentile towards ``wait``."""
        quantile = self._cfg.hedge_percentile
        step = _STEP * max(wait, self._percentile)
        if wait > self._percentile:
            self._percentile += step * quantile
        else:
            self._percentile -= step * (1 - quantile)

    def delay(self, ticket: requests.Ticket, cost: float) -> float | None:
        """Return the wait before a second attempt of short work, or None."""
        if not ticket.idempotent or cost > self._cfg.long_cost:
            return None
        if self._balance < cost:
            return None
        return max(self._cfg.hedge_least_delay, self._percentile)

    def spend(self, cost: float) -> bool:
        """Charge a second attempt; return False when it may not start."""
        if self._balance < cost:
            return False
        self._balance -= cost
        return True
