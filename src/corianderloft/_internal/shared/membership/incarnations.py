"""Incarnations: numbers that grow with each start of a host.

The upper bits tell the start, the lower ones how often the host refuted
what was said of it since.
"""

import time

from corianderloft._internal.models import ids

REFUTATION_BITS = 16


def new_incarnation() -> ids.Incarnation:
    """Return the incarnation of a host that starts now."""
    milliseconds = time.time_ns() // 1_000_000
    return ids.Incarnation(milliseconds << REFUTATION_BITS)


def same_start(one: ids.Incarnation, other: ids.Incarnation) -> bool:
    """Return whether two incarnations belong to one start of a host."""
    return one >> REFUTATION_BITS == other >> REFUTATION_BITS
