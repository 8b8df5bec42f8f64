"""Incarnation numbers, which increase with each start of a host.

The upper bits identify the start; the lower `REFUTATION_BITS` bits count how
often the host has refuted an outdated state since.
"""

from corianderloft._internal.models import ids

REFUTATION_BITS = 16


def first_incarnation(start: ids.Incarnation) -> ids.Incarnation:
    """Return the first incarnation of a host started at ``start``."""
    return ids.Incarnation(start >> REFUTATION_BITS << REFUTATION_BITS)


def same_start(one: ids.Incarnation, other: ids.Incarnation) -> bool:
    """Return whether two incarnations belong to one start of a host."""
    return one >> REFUTATION_BITS == other >> REFUTATION_BITS
