"""Rows of the table of costs."""

import dataclasses
import enum


class Status(enum.Enum):
    """How a figure was obtained."""

    MEASURED = 'measured'
    EXTRAPOLATED = 'extrapolated'
    NOT_BUILT = 'not yet built'


@dataclasses.dataclass(frozen=True)
class Row:
    """One quantity of one role.

    Attributes
    ----------
    role, quantity, formula : str
        Role and name of the quantity, and how it is computed.
    value : float
        Value at the design size, in ``unit``.
    unit : str
        Unit of ``value`` and ``budget``.
    budget : float or None
        Upper limit, if any.
    mechanism : str
        Module that causes the cost.
    status : Status
        How the value was obtained.
    is_peak : bool
        Whether the value is a temporary peak rather than a steady state.
    """

    role: str
    quantity: str
    formula: str
    value: float
    unit: str
    budget: float | None
    mechanism: str
    status: Status
    is_peak: bool = False
