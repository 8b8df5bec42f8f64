"""This host's share of the retry budget."""

import collections

from corianderloft._internal.models import ids

USABLE_BUDGET_RATIO = 0.8
"""Fraction of the budget that hosts use. The rest is a reserve for hosts that
join or leave, since the others learn of the new host count late."""


class RetryBudget:
    """Limits the retries to each service over a sliding window.

    All hosts together may retry a fixed ratio of the requests, plus a fixed
    number of retries. Each host applies the ratio to its own requests and
    uses an equal share of the fixed number, so no coordination is needed.

    Parameters
    ----------
    ratio : float
        Retries per request.
    slack : float
        Additional retries of all hosts together in one window.
    window : float
        Length of the window in seconds.
    """

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._host_count = 1
        self._requests: dict[ids.ServiceName, collections.deque[float]] = {}
        self._retries: dict[ids.ServiceName, collections.deque[float]] = {}

    def set_limits(self, ratio: float, slack: float, window: float) -> None:
        """Change the budget; the parameters are those of the class."""
        self._ratio = ratio
        self._slack = slack
        self._window = window

    def set_host_count(self, count: int) -> None:
        """Set how many hosts share the budget."""
        self._host_count = max(1, count)

    def record_request(self, service: ids.ServiceName, now: float) -> None:
        """Count a caller's request to a service."""
        self._recent(self._requests, service, now).append(now)

    def try_acquire(self, service: ids.ServiceName, now: float) -> bool:
        """Count one retry if the budget allows it; return whether it does."""
        if not self.allows(service, now):
            return False
        self._recent(self._retries, service, now).append(now)
        return True

    def allows(self, service: ids.ServiceName, now: float) -> bool:
        """Return whether the budget allows one more retry."""
        requests = len(self._recent(self._requests, service, now))
        retries = len(self._recent(self._retries, service, now))
        slack = self._slack / self._host_count
        return retries + 1 <= USABLE_BUDGET_RATIO * (
            self._ratio * requests + slack
        )

    def _recent(
        self,
        times: dict[ids.ServiceName, collections.deque[float]],
        service: ids.ServiceName,
        now: float,
    ) -> collections.deque[float]:
        recent = times.setdefault(service, collections.deque())
        while recent and recent[0] <= now - self._window:
            recent.popleft()
        return recent
