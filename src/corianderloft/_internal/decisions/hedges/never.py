"""Hedge rule ``never``: baseline that sends no hedges."""

from corianderloft._internal.decisions import plugins
from corianderloft._internal.models import requests


@plugins.HEDGE_RULES.register('never')
class Never:
    """Never hedges."""

    def __init__(self, cfg: plugins.Settings) -> None:
        del cfg

    def on_granted(self, cost: float) -> None:
        """Ignore started work."""

    def on_first_token(self, wait: float) -> None:
        """Ignore observations."""

    def delay(
        self, ticket: requests.Ticket, cost: float, target: float
    ) -> float | None:
        """Return None."""
        return None

    def try_spend(self, ticket: requests.Ticket) -> bool:
        """Return False: hedges are never sent."""
        return False
