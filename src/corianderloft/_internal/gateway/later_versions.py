"""Declarations that other hosts have in force and this one lacks.

A host that knows of later declarations cannot tell whether they have a route
or a key that it lacks. Once they are overdue it serves nothing by its own.
"""

import collections
import logging

logger = logging.getLogger(__name__)

BELIEF_S = 10.0
"""Time for which missing declarations are waited for. The operator may have
withdrawn a version that some hosts took from a store that lost it."""

MAX_VERSIONS = 64
"""Missing versions that are kept; the oldest of them matters."""


class LaterVersions:
    """The missing versions, and since when each of them is known.

    All times are on `clock.now`, in seconds.
    """

    def __init__(self) -> None:
        self._newest = 0
        self._missing: collections.deque[tuple[int, float]] = (
            collections.deque()
        )

    def newest(self, own_version: int, now: float) -> int:
        """Return the newest version that this host has or waits for.

        What it does not wait for any more must not reach other hosts anew.
        """
        if self.missing_for(own_version, now) is None:
            return own_version
        return self._missing[-1][0]

    def note(self, version: int, own_version: int, now: float) -> None:
        """Record that another host has a version in force."""
        if version <= max(self._newest, own_version):
            return
        self._newest = version
        if len(self._missing) < MAX_VERSIONS:
            self._missing.append((version, now))
        logger.info(
            'another host has later declarations in force',
            extra={'version': own_version, 'newest_version': version},
        )

    def missing_for(self, own_version: int, now: float) -> float | None:
        """Return for how long a later version is missing; None if none is."""
        while self._missing:
            version, known_since = self._missing[0]
            if version > own_version and now < known_since + BELIEF_S:
                return now - known_since
            self._missing.popleft()
        return None
