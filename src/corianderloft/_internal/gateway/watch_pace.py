"""Computes how long a watch waits and the pause between two watches.

Limits the load on the store: each watch is a call. In a small fleet every
host watches, in a large one only the delegate of each group, so the calls grow
with the number of watching hosts and the rate of changes.
"""

import math

from corianderloft._internal.gateway import settings
from corianderloft._internal.gateway import view

MAX_WAIT_S = 10.0
"""Maximum wait of a watch if nothing else limits it."""

MIN_WAIT_S = 0.2
"""Minimum wait of a watch, used when a confirmation is overdue."""

LOST_AFTER_S = 0.5
"""Time beyond the wait after which a watch counts as lost; must match the
client of the store."""

MIN_REVOCATION_TIME_LEFT_RATIO = 0.35
"""Fraction of the revocation time that must be left whenever a watch returns.
During an outage of the store callers are served for at least that long."""

STORE_DELAY_S = 1.1
"""Maximum delay before the store delivers a change to a watch; the platform
specifies one second."""

APPLY_DELAY_S = 0.3
"""Time from the response to a watch until the change takes effect; the store
may be 60 times slower than its usual 4 ms per response."""

MAX_PAUSE_S = 1.5
"""Maximum pause between two watches; changes made within it arrive with one
call."""

JITTER_RATIO = 0.2
"""Jitter of pauses, so that hosts do not call the store in lockstep."""

MAX_DELEGATE_PAUSE_S = 1.0
"""Maximum pause between two watches of a host that others follow: a third of
the 3 s within which a change must take effect in large deployments."""


def max_wait(
    bounds: settings.Bounds, local_view: view.View, is_delegate: bool = False
) -> float:
    """Return how long the next watch may wait, in seconds.

    A lost watch must be detected within the recovery time, and a watch must
    return while keys are still honoured. If other hosts follow this one, they
    must be able to read the store within the tightest bound even if this host
    is cut off at the start of a pause.

    Parameters
    ----------
    bounds : Bounds
        Guarantees of the deployment.
    local_view : View
        Local copy of the store.
    is_delegate : bool
        Whether other hosts follow this one.
    """
    wait_s = min(MAX_WAIT_S, bounds.recovery_time - LOST_AFTER_S)
    if is_delegate:
        overhead_s = (
            (1 + JITTER_RATIO) * _max_delegate_pause(bounds)
            + LOST_AFTER_S
            + APPLY_DELAY_S
        )
        wait_s = min(wait_s, _tightest_bound(bounds) - overhead_s)
    return max(MIN_WAIT_S, min(wait_s, _time_to_confirm(bounds, local_view)))


def mean_pause(
    bounds: settings.Bounds, local_view: view.View, is_delegate: bool = False
) -> float:
    """Return the mean pause after a change, in seconds.

    A change made at the start of the pause must take effect within the
    tightest bound, and keys must be honoured until the next watch returns.

    Parameters
    ----------
    bounds : Bounds
        Guarantees of the deployment.
    local_view : View
        Local copy of the store.
    is_delegate : bool
        Whether other hosts follow this one.
    """
    max_pause = min(
        MAX_PAUSE_S,
        _tightest_bound(bounds) - STORE_DELAY_S - APPLY_DELAY_S,
        _time_to_confirm(bounds, local_view) - MIN_WAIT_S,
    )
    mean = max(0.0, max_pause / (1 + JITTER_RATIO))
    return min(mean, _max_delegate_pause(bounds)) if is_delegate else mean


def _max_delegate_pause(bounds: settings.Bounds) -> float:
    """Return the maximum mean pause of a host that others follow, in seconds.

    Half of the time available within the tightest bound is for the pause and
    half for the wait of the next watch.
    """
    available = _tightest_bound(bounds) - LOST_AFTER_S - APPLY_DELAY_S
    return max(
        0.0, min(MAX_DELEGATE_PAUSE_S, available / 2 / (1 + JITTER_RATIO))
    )


def _tightest_bound(bounds: settings.Bounds) -> float:
    return min(bounds.drain_time, bounds.apply_time)


def _time_to_confirm(bounds: settings.Bounds, local_view: view.View) -> float:
    """Return the time until keys must be confirmed again, in seconds."""
    if bounds.revocation_time is None:
        return math.inf
    max_age = (
        1 - MIN_REVOCATION_TIME_LEFT_RATIO
    ) * bounds.revocation_time - view.KEY_MARGIN_S
    return max_age - local_view.age()
