"""Hedge rule ``budgeted``: within a budget of wasted work."""

from corianderloft._internal.decisions import lengths
from corianderloft._internal.decisions import plugins
from corianderloft._internal.models import requests

_LOSER_TOKENS = 8.0
"""Tokens that the losing attempt is reckoned to have generated."""

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

    def delay(
        self, ticket: requests.Ticket, cost: float, target: float
    ) -> float | None:
        """Return the wait before a second attempt, or None."""
        if not ticket.idempotent or self._balance < self.charge(ticket):
            return None
        patience = self._cfg.hedge_target_part * target
        if cost > self._cfg.long_cost:
            return patience
        usual = max(self._cfg.hedge_least_delay, self._percentile)
        return min(usual, patience)

    def charge(self, ticket: requests.Ticket) -> float:
        """Return what a second attempt wastes, in generated tokens.

        The loser is cancelled at the winner's first token: it has read the
        prompt and generated next to nothing.
        """
        prompt = ticket.prompt_tokens / lengths.PROMPT_TOKENS_PER_TOKEN
        return prompt + _LOSER_TOKENS

    def spend(self, ticket: requests.Ticket) -> bool:
        """Charge a second attempt; return False when it may not start."""
        cost = self.charge(ticket)
        if self._balance < cost:
            return False
        self._balance -= cost
        return True
