"""Rates that backend servers under pressure take from all hosts together.

Each host counts what it sends to a server that names a limit. The hosts tell
each other their counts, and a host sends only while all of them together stay
within the limit.
"""

import collections
import dataclasses
import logging
import math
import random

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

CLAIM_INTERVAL_S = 0.05
"""Time in which hosts hear of each other's requests. A host sends at most one
request in it to a server whose limit is nearly used up."""

AMPLE_REQUESTS_PER_HOST = 2
"""Requests left for each host at which a limit is not nearly used up."""

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
        self._rng = random.Random()
        self._draw = 0.0
        self._drawn_until = float('-inf')
        self.limit: float | None = None

    def record_send(self, now: float) -> None:
        """Count a request that this host sends."""
        self._sent_at.append(now)
        self._recent(now)
        # Nothing more until other hosts have heard of this one.
        self._draw, self._drawn_until = math.inf, now + CLAIM_INTERVAL_S

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

    def admits(self, now: float, hosts: int = 1) -> bool:
        """Return whether the server may get another request.

        Hosts with waiting requests see at the same time that the limit has
        room again. Each of them uses it with a probability by which all of
        them together send about as many requests as are left.

        Parameters
        ----------
        now : float
            Current time on trio's clock.
        hosts : int
            Number of entry hosts.
        """
        if self.limit is None:
            return True
        allowed = TOLERANCE_RATIO * self.limit * WINDOW_S + TOLERANCE_REQUESTS
        sent = self._recent(now) + sum(self._peers.values())
        left = math.floor(allowed - sent)
        if left <= 0 or left >= AMPLE_REQUESTS_PER_HOST * hosts:
            return left > 0
        if now >= self._drawn_until:
            self._draw = self._rng.random()
            self._drawn_until = now + CLAIM_INTERVAL_S
        return self._draw * hosts < left

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
