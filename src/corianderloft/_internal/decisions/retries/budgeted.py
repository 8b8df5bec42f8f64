"""Retry rule ``budgeted``: bounded, within a budget of the service."""

import random

from corianderloft._internal.decisions import interface
from corianderloft._internal.decisions import plugins
from corianderloft._internal.decisions.retries import bounded
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests


@plugins.RETRY_RULES.register('budgeted')
class Budgeted:
    """Lets retries add only a stated part to the load of first attempts.

    Each first attempt earns a part of a retry, up to a bound. The balance
    never falls below zero, so that over any time retries are at most the
    bound plus that part of first attempts.
    """

    def __init__(self, cfg: plugins.Settings, rng: random.Random) -> None:
        self._cfg = cfg
        self._bounded = bounded.Bounded(cfg, rng)
        self._balance = cfg.retry_burst

    def granted(self, now: float) -> None:
        """Earn a part of a retry."""
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
        """Decide on one failed attempt and charge the budget."""
        decision = self._bounded.decide(
            ticket, end, attempts, may_have_run, relayed_tokens, now
        )
        if isinstance(decision, interface.GiveUp):
            return decision
        if self._balance < 1.0:
            return interface.GiveUp(reasons.RetryRefusalReason.BUDGET)
        self._balance -= 1.0
        return decision
