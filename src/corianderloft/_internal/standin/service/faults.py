"""Injected faults of a plain service."""

import pydantic

from corianderloft._internal.standin import faults


class Faults(faults.FaultSet):
    """Faults currently in effect.

    Attributes
    ----------
    delay : float
        Delay before a call runs, in seconds.
    lose_answers : int
        Number of upcoming calls that run but get no response.
    refuse_not_run : int
        Number of upcoming calls that are refused with ``X-Not-Run``.
    fail_after_run : int
        Number of upcoming calls that run but get a 500 response.
    hang : bool
        Whether calls run but never get a response.
    leaving : bool
        Whether all calls are refused with ``X-Not-Run``.
    """

    delay: float = pydantic.Field(default=0.0, ge=0)
    lose_answers: int = pydantic.Field(default=0, ge=0)
    refuse_not_run: int = pydantic.Field(default=0, ge=0)
    fail_after_run: int = pydantic.Field(default=0, ge=0)
    hang: bool = False
    leaving: bool = False

    def consume(self, name: str) -> bool:
        """Return whether a counted fault applies, and decrement its count."""
        remaining = int(getattr(self, name))
        if remaining:
            setattr(self, name, remaining - 1)
        return remaining > 0
