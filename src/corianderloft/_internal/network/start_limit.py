"""Adaptive limit on connections that a process begins to serve at once.

Nothing here waits or uses the network; `serving` does. The load that it
answers is more new connections than the processor time of the process serves.
Begun all at once they make each step of the event loop longer, and neither
they nor requests on kept connections are answered before their clients give
up.
"""

import collections
import collections.abc

MAX_LIMIT = 16
"""Largest number of starts in progress."""

SLOW_START_S = 0.05
"""A start takes a few steps of the event loop, and a request some ten times as
many: it would not be answered in time if they were longer."""

DECREASE_RATIO = 0.5

SILENT_INTERVAL_S = 0.1
"""Time in which a new connection without a request counts as a start."""


class StartLimit:
    """Additive increase and multiplicative decrease of the limit.

    A start begins as a connection whose request has arrived gets a slot, and
    ends as the request is passed to the application. Nothing of it depends on
    the client.
    """

    def __init__(self) -> None:
        self._limit = float(MAX_LIMIT)
        self._in_progress = 0
        self._decreased_at = 0.0
        self._silent: collections.deque[float] = collections.deque()

    def free(self) -> int:
        """Return how many starts may begin now."""
        return max(0, int(self._limit) - self._in_progress)

    def is_relaxed(self) -> bool:
        """Return whether recent starts were fast, and another may begin."""
        return self._limit >= MAX_LIMIT and self.free() > 0

    def try_begin_silent(self, now: float) -> bool:
        """Return whether a connection without a request may be begun.

        Its request may arrive with those of others, so there may be as many
        as starts in a short time.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        while self._silent and now - self._silent[0] > SILENT_INTERVAL_S:
            self._silent.popleft()
        if len(self._silent) >= MAX_LIMIT:
            return False
        self._silent.append(now)
        return True

    def begin(self) -> None:
        """Record the begin of a start."""
        self._in_progress += 1

    def end(self, began: float, now: float) -> None:
        """Record the end of a start and adapt the limit to its duration.

        Parameters
        ----------
        began, now : float
            Begin and end of the start in seconds.
        """
        self._in_progress -= 1
        if now - began <= SLOW_START_S:
            self._limit = min(MAX_LIMIT, self._limit + 1)
        elif began >= self._decreased_at:
            # Starts that began before the last decrease tell nothing new.
            self._limit = max(1.0, self._limit * DECREASE_RATIO)
            self._decreased_at = now


class Start:
    """The start of one connection.

    Parameters
    ----------
    limit : StartLimit or None
        Limit that it counts for, if any.
    clock : callable
        Returns the present time in seconds.
    on_end : callable
        Called when another connection may start.
    """

    def __init__(
        self,
        limit: StartLimit | None,
        clock: collections.abc.Callable[[], float],
        on_end: collections.abc.Callable[[], None],
    ) -> None:
        self._limit = limit
        self._clock = clock
        self._on_end = on_end
        self._began = clock()
        if limit is not None:
            limit.begin()

    def end(self) -> None:
        """Record that the connection is begun, or has ended."""
        limit, self._limit = self._limit, None
        if limit is not None:
            limit.end(self._began, self._clock())
            self._on_end()


__all__ = ['Start', 'StartLimit']
