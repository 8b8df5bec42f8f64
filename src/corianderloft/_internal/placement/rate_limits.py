"""Rates that backend servers under pressure take from all hosts together."""

import collections
import logging

from corianderloft._internal.models import ids

logger = logging.getLogger(__name__)

WINDOW_S = 4.0
"""Window in which requests are counted; long enough for low limits."""


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
        self.limit: float | None = None

    def record_send(self, now: float) -> None:
        """Count a request that this host sends."""
        self._sent_at.append(now)
        self._recent(now)

    def record_response(self, limit: float | None, now: float) -> None:
        """Store the limit that a response names."""
        if limit == self.limit:
            return
        logger.info(
            'limit of a backend server changed',
            extra={
                'engine': self._engine_id,
                'limit_per_s': limit,
                'before_per_s': self.limit,
                'sent_here': self._recent(now),
                'window_s': WINDOW_S,
            },
        )
        self.limit = limit

    def _recent(self, now: float) -> int:
        """Return the requests of this host within the window."""
        while self._sent_at and self._sent_at[0] <= now - WINDOW_S:
            self._sent_at.popleft()
        return len(self._sent_at)
