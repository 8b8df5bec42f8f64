"""Computes how long a watch waits and the pause between two watches.

Limits the load on the store: each watch is a call. In a small fleet every
host watches, in a large one only the delegate of each group, so the calls grow
with the number of watching hosts and the rate of changes.
"""

import math

from corianderloft._internal.gateway import change_budget
from corianderloft._internal.gateway import settings
from corianderloft._internal.gateway import view

MAX_WAIT_S = 10.0
"""Maximum wait of a watch if nothing else limits it."""

MIN_REVOCATION_TIME_LEFT_RATIO = 0.35
"""Fraction of the revocation time that must be left whenever a watch returns.
During an outage of the store callers are served for at least that long."""

MAX_PAUSE_S = 1.5
"""Maximum pause between two watches; changes made within it arrive with one
call."""


def max_wait(
    bounds: settings.Bounds, local_view: view.View, is_delegate: bool = False
) -> float:
    """Return how long the next watch may wait, in seconds.

    Besides the budget of changes, a watch must return while keys are still
    honoured.

    Parameters
    ----------
    bounds : Bounds
        Guarantees of the deployment.
    local_view : View
        Local copy of the store.
    is_delegate : bool
        Whether other hosts follow this one.
    """
    wait_s = min(
        MAX_WAIT_S,
        change_budget.max_wait(bounds, is_delegate, local_view.heard_age()),
        _time_to_confirm(bounds, local_view),
    )
    return max(change_budget.MIN_WAIT_S, wait_s)


def mean_pause(
    bounds: settings.Bounds,
    local_view: view.View,
    is_delegate: bool = False,
    excess_s: float = 0.0,
) -> float:
    """Return the mean pause after a change, in seconds.

    Besides the budget of changes, keys must be honoured until the next watch
    returns.

    Parameters
    ----------
    bounds : Bounds
        Guarantees of the deployment.
    local_view : View
        Local copy of the store.
    is_delegate : bool
        Whether other hosts follow this one.
    excess_s : float
        What the declarations need beyond the budgeted steps, in seconds.
    """
    max_pause = min(
        MAX_PAUSE_S,
        change_budget.max_pause(
            bounds, is_delegate, local_view.heard_age(), excess_s
        ),
        _time_to_confirm(bounds, local_view) - change_budget.MIN_WAIT_S,
    )
    return max(0.0, max_pause / (1 + change_budget.JITTER_RATIO))


def _time_to_confirm(bounds: settings.Bounds, local_view: view.View) -> float:
    """Return the time until keys must be confirmed again, in seconds."""
    if bounds.revocation_time is None:
        return math.inf
    max_age = (
        1 - MIN_REVOCATION_TIME_LEFT_RATIO
    ) * bounds.revocation_time - view.KEY_MARGIN_S
    return max_age - local_view.age()
