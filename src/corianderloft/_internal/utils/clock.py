"""Clock that keeps running while the host is suspended."""

import time


def now() -> float:
    """Return the seconds since the host booted, including suspensions.

    trio's clock stops while the host is suspended, so data that expires is
    timestamped with this clock instead.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
