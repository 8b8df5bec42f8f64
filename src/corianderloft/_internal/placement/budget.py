"""Part of this host in the budget for repeated sends."""

import collections

from corianderloft._internal.models import ids

USED_PART = 0.8
"""Part of the budget that hosts use; the rest covers hosts that come and go
and count each other late."""


class RetryBudget:
    """Repeated sends to each service, counted over a sliding window.

    All hosts together may repeat a fixed ratio of the requests, and a fixed
    number beyond. Each host keeps to the ratio of its own requests, and to
    its part of the number, so that nobody has to be asked.

    Parameters
    ----------
    ratio : float
        Repeated sends for each request.
    slack : float
        Repeated sends beyond, of all hosts together, in one window.
    window : float
        Length of the window in seconds.
    """

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._hosts = 1
        self._firsts: dict[ids.ServiceName, collections.deque[float]] = {}
        self._repeats: dict[ids.ServiceName, collections.deque[float]] = {}

    def set_limits(self, ratio: float, slack: float, window: float) -> None:
        """Change the budget; the arguments are those of the class."""
        self._ratio = ratio
        self._slack = slack
        self._window = window

    def set_host_count(self, count: int) -> None:
        """Take over how many hosts share the budget."""
        self._hosts = max(1, count)

    def record_request(self, service: ids.ServiceName, now: float) -> None:
        """Note a request of a caller for a service."""
        self._recent(self._firsts, service, now).append(now)

    def try_acquire(self, service: ids.ServiceName, now: float) -> bool:
        """Take one repeated send, or none and return False."""
        firsts = len(self._recent(self._firsts, service, now))
        repeats = self._recent(self._repeats, service, now)
        slack = self._slack / self._hosts
        if len(repeats) + 1 > USED_PART * (self._ratio * firsts + slack):
            return False
        repeats.append(now)
        return True

    def _recent(
        self,
        sends: dict[ids.ServiceName, collections.deque[float]],
        service: ids.ServiceName,
        now: float,
    ) -> collections.deque[float]:
        recent = sends.setdefault(service, collections.deque())
        while recent and recent[0] <= now - self._window:
            recent.popleft()
        return recent
