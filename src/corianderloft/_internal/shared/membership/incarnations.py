"""Incarnations: numbers that grow with each start of a host.

The upper bits tell the start, the lower ones how often the host refuted
what was said of it since.
"""

from corianderloft._internal.models import ids

REFUTATION_BITS = 16


def begin(start: ids.Incarnation) -> ids.Incarnation:
    """Return ``start`` as the first incarnation of a host that starts."""
    return ids.Incarnation(start >> REFUTATION_BITS << REFUTATION_BITS)


def same_start(one: ids.Incarnation, other: ids.Incarnation) -> bool:
    """Return whether two incarnations belong to one start of a host."""
    return one >> REFUTATION_BITS == other >> REFUTATION_BITS
