"""Hedge rule ``budgeted``: limits hedges by a budget of wasted work."""

from corianderloft._internal.decisions import lengths
from corianderloft._internal.decisions import plugins
from corianderloft._internal.models import requests

_LOSING_ATTEMPT_TOKENS = 8.0
"""Estimated tokens that the losing attempt generates."""

_PERCENTILE_STEP_RATIO = 0.02
"""Relative step of the percentile estimate for each new wait."""


@plugins.HEDGE_RULES.register('budgeted')
class Budgeted:
    """Hedges after a high percentile of the time to first token.

    Each started attempt earns a fraction of its cost; a hedge spends the
    work that it wastes at worst.
    """

    def __init__(self, cfg: plugins.Settings) -> None:
        self._cfg = cfg
        self._balance = cfg.hedge_burst
        self._percentile = cfg.hedge_least_delay

    def on_granted(self, cost: float) -> None:
        """Add a fraction of the cost of started work to the budget."""
        self._balance = min(
            self._cfg.hedge_burst, self._balance + self._cfg.hedge_part * cost
        )

    def on_first_token(self, wait: float) -> None:
        """Move the percentile estimate towards ``wait``."""
        quantile = self._cfg.hedge_percentile
        step = _PERCENTILE_STEP_RATIO * max(wait, self._percentile)
        if wait > self._percentile:
            self._percentile += step * quantile
        else:
            self._percentile -= step * (1 - quantile)

    def delay(
        self, ticket: requests.Ticket, cost: float, target: float
    ) -> float | None:
        """Return the hedging delay in seconds, or None for no hedge."""
        if not ticket.idempotent or self._balance < self.wasted_cost(ticket):
            return None
        target_delay = self._cfg.hedge_target_part * target
        if cost > self._cfg.long_cost:
            return target_delay
        percentile_delay = max(self._cfg.hedge_least_delay, self._percentile)
        return min(percentile_delay, target_delay)

    def wasted_cost(self, ticket: requests.Ticket) -> float:
        """Return the work that a hedge wastes, in generated tokens.

        The losing attempt is cancelled at the winner's first token. By then
        it has prefilled the prompt and generated few tokens.
        """
        prefill_cost = (
            ticket.prompt_tokens / lengths.PROMPT_TOKENS_PER_GENERATED_TOKEN
        )
        return prefill_cost + _LOSING_ATTEMPT_TOKENS

    def try_spend(self, ticket: requests.Ticket) -> bool:
        """Charge a hedge; return False if the budget is too low."""
        cost = self.wasted_cost(ticket)
        if self._balance < cost:
            return False
        self._balance -= cost
        return True
