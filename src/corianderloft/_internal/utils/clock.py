"""A clock that also counts the time in which the host was suspended."""

import time


def now() -> float:
    """Return the seconds since the host started, suspensions included.

    trio's own clock stands still while a host is suspended, so beliefs
    that expire are dated by this one.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
