"""One row of the table of costs."""

import dataclasses
import enum


class Status(enum.Enum):
    """How a figure came about."""

    MEASURED = 'measured'
    EXTRAPOLATED = 'extrapolated'
    NOT_BUILT = 'not yet built'


@dataclasses.dataclass(frozen=True)
class Row:
    """One quantity of one role.

    Attributes
    ----------
    role, quantity, formula : str
        What it is, and how it is worked out.
    value : float
        At the design size, in ``unit``.
    unit : str
        Unit of value and budget.
    budget : float or None
        What it may be.
    mechanism : str
        Module that carries it.
    status : Status
        How the figure came about.
    worst : bool
        Whether it is a worst moment and no steady state.
    """

    role: str
    quantity: str
    formula: str
    value: float
    unit: str
    budget: float | None
    mechanism: str
    status: Status
    worst: bool = False
