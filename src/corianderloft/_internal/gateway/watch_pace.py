"""How long the store may hold a watch back, and how often it is asked.

Answers the load on the store: each watch is a call, and every host asks for
itself, so calls grow with the hosts and with the changes.
"""

from corianderloft._internal.gateway import settings
from corianderloft._internal.gateway import view

LONGEST_WAIT = 10.0
"""Longest wait of a watch in seconds, where nothing else bounds it."""

LEAST_WAIT = 0.2
"""Shortest wait of a watch in seconds, when a confirmation is overdue."""

LOST_TIME = 1.0
"""Time after the wait from which a watch counts as lost, in seconds; the
bound on calls of the store."""

RETRY_TIME = 0.75
"""Life of keys that is left when a watch answers, in seconds: enough to read
the store once after a connection to it was cut."""

PAUSE_PART = 0.25
"""Part of the tightest bound on changes that passes between two watches.
The store may keep a change from a watch for half of that bound."""

LONGEST_PAUSE = 0.5
"""Longest pause between two watches in seconds; changes that come within it
come with one call."""


def longest_wait(bounds: settings.Bounds, beliefs: view.View) -> float:
    """Return how long the next watch may wait, in seconds.

    A watch that is lost is noticed before the deployment counts as settled
    again, and one that answers confirms the keys while they are honoured.
    """
    wait = min(LONGEST_WAIT, bounds.settled_time - LOST_TIME)
    if bounds.key_life is not None:
        left = bounds.key_life - view.KEY_MARGIN - beliefs.age()
        wait = min(wait, left - RETRY_TIME)
    return max(LEAST_WAIT, wait)


def pause(bounds: settings.Bounds) -> float:
    """Return the pause after a change, in seconds."""
    tightest = min(bounds.drain_time, bounds.apply_time)
    return min(LONGEST_PAUSE, PAUSE_PART * tightest)
