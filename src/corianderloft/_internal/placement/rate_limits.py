"""Rates that backend servers under pressure take from all hosts together.

Each host counts what it sends to a server that names a limit. The hosts tell
each other their counts, and a host sends only while all of them together stay
within the limit.
"""

import collections
import dataclasses
import logging

from corianderloft._internal.models import ids

logger = logging.getLogger(__name__)

WINDOW_S = 4.0
"""Window in which requests are counted; long enough for low limits."""

TOLERANCE_RATIO = 1.25
TOLERANCE_REQUESTS = 2
"""Use of a limit in one window: requests are few and do not arrive evenly, and
those that are refused for it are not served at all. This is half of what the
platform tolerates; the other half covers requests that several hosts send
before they hear of each other."""

MIN_NEWS_LEAD_S = 0.25
"""Time by which a response at another host must seem newer than the last one
here to count: reports take that long, and seem newer by as much."""

NEWS_AGE_S = 10.0
"""Time for which hosts are told that a server names no limit any more."""


@dataclasses.dataclass(frozen=True)
class RateUse:
    """Use of a limited server by one or more hosts.

    Attributes
    ----------
    sent : int
        Requests that they sent within the window.
    limit : float or None
        Requests per second that the server takes; None if it named none.
    age_s : float
        Age of the response that said so, in seconds.
    """

    sent: int
    limit: float | None
    age_s: float


class RateLimit:
    """Limit that one backend server names, and the requests sent to it.

    Attributes
    ----------
    limit : float or None
        Requests per second; None while the server names none.
    """

    def __init__(self, engine_id: ids.EngineId) -> None:
        self._engine_id = engine_id
        self._sent_at: collections.deque[float] = collections.deque()
        self._peers: dict[str, int] = {}
        self._heard_at = float('-inf')
        self._lifted_at = float('-inf')
        self.limit: float | None = None

    def record_send(self, now: float) -> None:
        """Count a request that this host sends."""
        self._sent_at.append(now)
        self._recent(now)

    def record_response(self, limit: float | None, now: float) -> None:
        """Store the limit that a response names."""
        self._heard_at = now
        if limit == self.limit:
            return
        logger.info(
            'limit of a backend server changed',
            extra={
                'engine': self._engine_id,
                'limit_per_s': limit,
                'before_per_s': self.limit,
                'sent_here': self._recent(now),
                'sent_elsewhere': sum(self._peers.values()),
                'window_s': WINDOW_S,
            },
        )
        if limit is None:
            self._lifted_at = now
        self.limit = limit

    def admits(self, now: float) -> bool:
        """Return whether the server may get another request."""
        if self.limit is None:
            return True
        allowed = TOLERANCE_RATIO * self.limit * WINDOW_S
        sent = self._recent(now) + sum(self._peers.values())
        return sent + 1 <= allowed + TOLERANCE_REQUESTS

    def own_use(self, now: float) -> RateUse | None:
        """Return the use by this host; None if hosts need not know it."""
        if self.limit is None and now - self._lifted_at > NEWS_AGE_S:
            return None
        age = now - self._heard_at
        return RateUse(self._recent(now), self.limit, age)

    def update_peer(
        self, source: str, use: RateUse | None, now: float
    ) -> None:
        """Replace the use that ``source`` reported; None if it has none."""
        if use is None:
            self._peers.pop(source, None)
            return
        self._peers[source] = use.sent
        heard_at = now - use.age_s
        if heard_at > self._heard_at + MIN_NEWS_LEAD_S:
            self.record_response(use.limit, heard_at)

    def _recent(self, now: float) -> int:
        """Return the requests of this host within the window."""
        while self._sent_at and self._sent_at[0] <= now - WINDOW_S:
            self._sent_at.popleft()
        return len(self._sent_at)
