"""Faults of a plain service."""

import pydantic

from corianderloft._internal.standin import faults


class Faults(faults.FaultSet):
    """Faults in force.

    Attributes
    ----------
    delay : float
        Wait before a call runs, in seconds.
    lose_answers : int
        That many next calls run and lose their answer.
    refuse_not_run : int
        That many next calls are refused with ``X-Not-Run``.
    fail_after_run : int
        That many next calls run and answer 500.
    hang : bool
        Calls run and are never answered.
    leaving : bool
        All calls are refused with ``X-Not-Run``.
    """

    delay: float = pydantic.Field(default=0.0, ge=0)
    lose_answers: int = pydantic.Field(default=0, ge=0)
    refuse_not_run: int = pydantic.Field(default=0, ge=0)
    fail_after_run: int = pydantic.Field(default=0, ge=0)
    hang: bool = False
    leaving: bool = False

    def take(self, name: str) -> bool:
        """Return whether a counted fault applies now, and count it."""
        left = int(getattr(self, name))
        if left:
            setattr(self, name, left - 1)
        return left > 0
