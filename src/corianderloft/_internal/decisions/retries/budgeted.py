"""Retry rule ``budgeted``: ``bounded`` with a retry budget per service."""

import random

from corianderloft._internal.decisions import interface
from corianderloft._internal.decisions import plugins
from corianderloft._internal.decisions.retries import bounded
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests


@plugins.RETRY_RULES.register('budgeted')
class Budgeted:
    """Limits retries to a fraction of the first attempts plus a burst.

    Each first attempt earns a fraction of a retry, up to ``retry_burst``.
    The balance never falls below zero, so that in any period the number of
    retries is at most the burst plus that fraction of first attempts.
    """

    def __init__(self, cfg: plugins.Settings, rng: random.Random) -> None:
        self._cfg = cfg
        self._bounded = bounded.Bounded(cfg, rng)
        self._balance = cfg.retry_burst

    def on_granted(self, now: float) -> None:
        """Add a fraction of a retry to the budget."""
        self._balance = min(
            self._cfg.retry_burst, self._balance + self._cfg.retry_part
        )

    def decide(
        self,
        ticket: requests.Ticket,
        end: interface.AttemptEnd,
        attempts: int,
        may_have_run: bool,
        relayed_tokens: int,
        now: float,
    ) -> interface.RetryNow | interface.GiveUp:
        """Decide whether to retry a failed attempt and charge the budget."""
        decision = self._bounded.decide(
            ticket, end, attempts, may_have_run, relayed_tokens, now
        )
        if isinstance(decision, interface.GiveUp):
            return decision
        if self._balance < 1.0:
            return interface.GiveUp(reasons.RetryRefusalReason.BUDGET)
        self._balance -= 1.0
        return decision
