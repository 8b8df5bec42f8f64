"""Time budget of a change, from its acknowledgement to the last use of the
state before it.

A change must be in force everywhere within a bound of the deployment. This
module divides the bound among the steps on the way, keeps a reserve, and
limits how old the evidence may be on which a host goes on serving. Four paths
are covered:

- a host that watches the store: pause, delivery, application, send;
- a host that follows another one: the same and the relay between them;
- a host whose source has failed or is slow: at `max_evidence_age` it turns to
  the store itself, which takes a read, application and send;
- a host that was cut from the store, for which `following.BACKOFF_LIMIT_S`
  leaves time within the recovery time.
"""

import math

from corianderloft._internal.gateway import settings

STORE_DELAY_S = 1.1
"""Maximum delay before the store delivers a change to a watch; the platform
specifies one second."""

LATE_REPLY_S = 0.5
"""Time beyond its wait after which a watch counts as lost; must match the
client of the store."""

READ_S = 0.3
"""Connecting to the store and reading what has changed; the store usually
replies within 4 ms. Large values take longer, see `transfer_time`."""

RELAY_S = 0.3
"""From the reply of the store at a host until the hosts that follow it have
the changes."""

APPLY_S = 0.3
"""From the receipt of a change until it takes effect, on a host that is short
of processor time; `excess_time` adds what large declarations take beyond."""

SEND_S = 0.1
"""From the last check of a server's state until a request arrives there."""

NOTICE_S = 0.6
"""From when another host of the group has declarations in force until this
host hears of that; longer than the interval between datagrams with the full
state."""

ENCODING_RATIO = 4 / 3
"""Size of a value in a reply of the store, which is base64, to its size."""

MIN_WAIT_S = 0.2
"""Shortest wait of a watch."""

MIN_FOLLOWING_S = 0.3
"""Shortest wait of a host that others follow, if no time is left for a longer
one. With less time they call the store themselves."""

RESERVE_RATIO = 0.15
"""Part of each bound that is left over."""

JITTER_RATIO = 0.2
"""Jitter of pauses, so that hosts do not call the store in lockstep."""


def usable(bound: float) -> float:
    """Return the part of a bound that may be planned for, in seconds."""
    return (1 - RESERVE_RATIO) * bound


def change_bound(bounds: settings.Bounds) -> float:
    """Return the time within which every change must be in force."""
    return min(bounds.drain_time, bounds.apply_time)


def transfer_time(value_bytes: int, link_kbps: int) -> float:
    """Return how long a value takes to arrive from the store, in seconds.

    Parameters
    ----------
    value_bytes : int
        Size of the value.
    link_kbps : int
        Bandwidth of the link, in kbit/s; 0 if it is not known, and then
        nothing is added for the transfer.
    """
    if not link_kbps:
        return 0.0
    return value_bytes * ENCODING_RATIO * 8 / (link_kbps * 1000)


def excess_time(value_bytes: int, link_kbps: int, apply_s: float) -> float:
    """Return what a value needs beyond the budgeted steps, in seconds.

    Parameters
    ----------
    value_bytes, link_kbps : int
        As for `transfer_time`.
    apply_s : float
        Time that this host took to apply the last such value, in seconds.
    """
    return transfer_time(value_bytes, link_kbps) + max(0.0, apply_s - APPLY_S)


def max_pause(
    bounds: settings.Bounds,
    is_delegate: bool,
    heard_age: float,
    excess_s: float = 0.0,
) -> float:
    """Return the longest pause before a host watches again, in seconds.

    A change made at the start of the pause must still be in force in time.

    Parameters
    ----------
    bounds : Bounds
        Guarantees of the deployment.
    is_delegate : bool
        Whether other hosts follow this one.
    heard_age : float
        Time since the store was last known to be up, in seconds.
    excess_s : float
        What the declarations need beyond that, see `excess_time`, in seconds.
    """
    steps = STORE_DELAY_S + APPLY_S + SEND_S + excess_s
    if is_delegate:
        steps += RELAY_S
    until_stale = _time_until_stale(bounds, is_delegate, heard_age)
    return max(
        0.0,
        min(usable(change_bound(bounds)) - steps, until_stale - MIN_WAIT_S),
    )


def max_wait(
    bounds: settings.Bounds, is_delegate: bool, heard_age: float
) -> float:
    """Return the longest wait of a watch, in seconds.

    A watch that is lost must be replaced within the recovery time, and the
    evidence must not get too old while the watch waits.

    Parameters
    ----------
    bounds : Bounds
        Guarantees of the deployment.
    is_delegate : bool
        Whether other hosts follow this one.
    heard_age : float
        Time since the store was last known to be up, in seconds.
    """
    replacement = LATE_REPLY_S + READ_S + APPLY_S + SEND_S
    return max(
        MIN_WAIT_S,
        min(
            usable(bounds.recovery_time) - replacement,
            _time_until_stale(bounds, is_delegate, heard_age),
        ),
    )


def max_evidence_age(bounds: settings.Bounds) -> float:
    """Return the age of its evidence at which a follower asks the store.

    It is the time since the store was last known to be up. It stays below the
    shortest outage in which leases expire, so that one does not pass unseen.
    """
    age = usable(change_bound(bounds)) - READ_S - APPLY_S - SEND_S
    if bounds.min_outage:
        age = min(age, usable(bounds.min_outage))
    return age


def max_missing_time(apply_time: float) -> float:
    """Return how long a host may lack declarations that others have.

    Parameters
    ----------
    apply_time : float
        Time within which declarations must be in force, in seconds.
    """
    return max(0.0, usable(apply_time) - NOTICE_S - SEND_S)


def max_denial_age(apply_time: float, store_failing: bool) -> float:
    """Return the age of the view up to which it proves what does not exist.

    A change that is older than the time in which it must be in force is
    included then, or the store would have delivered it meanwhile.

    Parameters
    ----------
    apply_time : float
        Time within which declarations must be in force, in seconds.
    store_failing : bool
        Whether calls to the store fail, so that nothing is delivered.
    """
    return apply_time if store_failing else apply_time + STORE_DELAY_S


def allows_following(bounds: settings.Bounds) -> bool:
    """Return whether the bounds leave time to follow another host."""
    return _time_until_stale(bounds, True, 0.0) >= MIN_FOLLOWING_S


def _time_until_stale(
    bounds: settings.Bounds, is_delegate: bool, heard_age: float
) -> float:
    """Return how long a host may wait until it hears of the store again.

    The reply still has to arrive here, and at the hosts that follow this one.
    """
    if is_delegate:
        return max_evidence_age(bounds) - 2 * RELAY_S - heard_age
    if bounds.min_outage:
        return usable(bounds.min_outage) - RELAY_S - heard_age
    return math.inf
