"""Passive health checks: ejects backend servers that fail requests."""

BASE_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0
"""Duration of the first and of the longest ejection; it doubles each time. The
first is short since a brief stall passes soon; the longest matches the time
until the registration of a dead server expires."""

EJECT_AFTER_TIMEOUTS = 2
"""Consecutive timeouts after which a server is ejected."""

ERROR_EWMA_WEIGHT = 0.15
"""Weight of the newest answer in the moving average of failures."""


class Health:
    """Health of one backend server, derived from its answers.

    After an ejection, one request at a time probes the server until it
    answers.

    Attributes
    ----------
    error_share : float
        Moving average of failed answers, from 0 to 1.
    """

    def __init__(self) -> None:
        self.error_share = 0.0
        self._timeouts = 0
        self._ejections = 0
        self._ejected_until = float('-inf')
        self._awaiting_answer = False

    def usable(self, now: float) -> bool:
        """Return whether the server may receive a request."""
        if now < self._ejected_until:
            return False
        return not (self._ejections and self._awaiting_answer)

    def record_sent(self) -> None:
        """Record that a request is sent to the server."""
        self._awaiting_answer = True

    def record_answer(self, failed: bool) -> None:
        """Record an answer, and whether it was a server error."""
        self._timeouts = 0
        self._ejections = 0
        self._awaiting_answer = False
        self.error_share += ERROR_EWMA_WEIGHT * (failed - self.error_share)

    def record_timeout(self, now: float) -> None:
        """Record a request that was not answered in time."""
        self._timeouts += 1
        self._awaiting_answer = False
        if self._timeouts >= EJECT_AFTER_TIMEOUTS or self._ejections:
            self._eject(now)

    def record_unreachable(self, now: float) -> None:
        """Record a connection that failed or broke."""
        self._awaiting_answer = False
        self._eject(now)

    def record_inconclusive(self) -> None:
        """Record an attempt whose outcome does not reflect server health."""
        self._awaiting_answer = False

    @property
    def suspected(self) -> bool:
        """Whether the server was ejected and has not answered since."""
        return self._ejections > 0

    def ejected(self, now: float) -> bool:
        """Return whether the server is currently ejected."""
        return now < self._ejected_until

    def _eject(self, now: float) -> None:
        duration = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**self._ejections)
        self._ejections += 1
        self._ejected_until = now + duration
