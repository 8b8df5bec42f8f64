"""Retry rule ``bounded``: baseline limited by attempts and deadline."""

import random

from corianderloft._internal.decisions import interface
from corianderloft._internal.decisions import plugins
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests

_REASONS = {
    interface.AttemptEnd.CONNECT_FAILED: reasons.RetryReason.CONNECT_FAILED,
    interface.AttemptEnd.CONNECTION_LOST: reasons.RetryReason.CONNECTION_LOST,
    interface.AttemptEnd.SILENT: reasons.RetryReason.SILENT,
    interface.AttemptEnd.BACKEND_REFUSED: reasons.RetryReason.BACKEND_REFUSED,
    interface.AttemptEnd.BACKEND_ERROR: reasons.RetryReason.BACKEND_ERROR,
}

_GiveUp = interface.GiveUp
_Refusal = reasons.RetryRefusalReason


@plugins.RETRY_RULES.register('bounded')
class Bounded:
    """Retries retryable failures, up to a number of attempts."""

    def __init__(self, cfg: plugins.Settings, rng: random.Random) -> None:
        self._cfg = cfg
        self._rng = rng

    def on_granted(self, now: float) -> None:
        """Ignore first attempts."""

    def decide(
        self,
        ticket: requests.Ticket,
        end: interface.AttemptEnd,
        attempts: int,
        may_have_run: bool,
        relayed_tokens: int,
        now: float,
    ) -> interface.RetryNow | interface.GiveUp:
        """Decide whether to retry a failed attempt."""
        if may_have_run and not ticket.idempotent:
            return _GiveUp(_Refusal.NOT_IDEMPOTENT)
        reason = _REASONS.get(end)
        if reason is None or attempts >= self._cfg.max_attempts:
            return _GiveUp(_Refusal.ATTEMPTS)
        if relayed_tokens:
            return interface.RetryNow(reasons.RetryReason.RESUME, 0.0)
        ceiling = self._cfg.retry_base_delay * 2 ** (attempts - 1)
        delay = self._rng.uniform(0.0, ceiling)
        if now + delay >= ticket.start_by:
            return _GiveUp(_Refusal.DEADLINE)
        return interface.RetryNow(reason, delay)
