"""How long the store may hold a watch back, and how often it is asked.

Answers the load on the store: each watch is a call, of every host in a small
fleet and of one host of each group in a large one, so calls grow with those
and with the changes.
"""

import math

from corianderloft._internal.gateway import settings
from corianderloft._internal.gateway import view

LONGEST_WAIT = 10.0
"""Longest wait of a watch in seconds, where nothing else bounds it."""

LEAST_WAIT = 0.2
"""Shortest wait of a watch in seconds, when a confirmation is overdue."""

LOST_TIME = 0.5
"""Time after the wait from which a watch counts as lost, in seconds; as in
the client of the store."""

KEYS_LEFT_PART = 0.35
"""Part of the life of keys that is left whenever a watch answers: callers are
served for that long, and mostly longer, when the store goes away."""

DEAF_TIME = 1.1
"""Time for which the store may keep a change from a watch, in seconds; the
platform names one second."""

STEP_TIME = 0.3
"""Time from the answer of a watch until a change is in force, in seconds: the
store may be 60 times slower than the 4 ms of an answer."""

LONGEST_PAUSE = 1.5
"""Longest pause between two watches in seconds; changes that come within it
come with one call."""

SPREAD = 0.2
"""Part by which pauses differ, so that hosts do not ask together."""

FOLLOWED_PAUSE = 1.0
"""Longest pause between two watches of a host that others follow, in
seconds: a third of the 3 s in which large deployments want a change in force.
"""


def longest_wait(
    bounds: settings.Bounds, beliefs: view.View, followed: bool = False
) -> float:
    """Return how long the next watch may wait, in seconds.

    A watch that is lost is noticed before the deployment counts as settled
    again, and one that answers confirms the keys while they are honoured.
    When others follow this host, they read the store within the tightest
    bound after it was cut off at the start of a pause.

    Parameters
    ----------
    bounds : Bounds
        Promises of the deployment.
    beliefs : View
        What this host believes.
    followed : bool
        Whether other hosts follow this one.
    """
    wait = min(LONGEST_WAIT, bounds.recovery_time - LOST_TIME)
    if followed:
        spent = (1 + SPREAD) * _followed_pause(bounds) + LOST_TIME + STEP_TIME
        wait = min(wait, _tightest(bounds) - spent)
    return max(LEAST_WAIT, min(wait, _time_to_confirm(bounds, beliefs)))


def pause(
    bounds: settings.Bounds, beliefs: view.View, followed: bool = False
) -> float:
    """Return the mean pause after a change, in seconds.

    A change that comes at its start is in force within the tightest bound,
    and the keys are honoured until the watch after it answers.

    Parameters
    ----------
    bounds : Bounds
        Promises of the deployment.
    beliefs : View
        What this host believes.
    followed : bool
        Whether other hosts follow this one.
    """
    longest = min(
        LONGEST_PAUSE,
        _tightest(bounds) - DEAF_TIME - STEP_TIME,
        _time_to_confirm(bounds, beliefs) - LEAST_WAIT,
    )
    mean = max(0.0, longest / (1 + SPREAD))
    return min(mean, _followed_pause(bounds)) if followed else mean


def _followed_pause(bounds: settings.Bounds) -> float:
    """Return the longest mean pause of a host that others follow.

    Half of what the tightest bound leaves goes to the pause, half to the
    wait of the watch after it.
    """
    left = _tightest(bounds) - LOST_TIME - STEP_TIME
    return max(0.0, min(FOLLOWED_PAUSE, left / 2 / (1 + SPREAD)))


def _tightest(bounds: settings.Bounds) -> float:
    return min(bounds.drain_time, bounds.apply_time)


def _time_to_confirm(bounds: settings.Bounds, beliefs: view.View) -> float:
    """Return the time until the keys have to be confirmed, in seconds."""
    if bounds.revocation_time is None:
        return math.inf
    oldest = (1 - KEYS_LEFT_PART) * bounds.revocation_time - view.KEY_MARGIN
    return oldest - beliefs.age()
