"""Faults of a model engine."""

import pydantic

from corianderloft._internal.standin import faults


class Faults(faults.FaultSet):
    """Faults in force.

    Attributes
    ----------
    slow_factor : float
        Each step takes that many times longer.
    silent : bool
        The engine generates and answers nothing, and closes nothing.
    crashed : bool
        All streams are cut and state is lost; calls are cut.
    leaving : bool
        New requests are refused as not run; running ones go on.
    overloaded : bool
        New requests are refused as not run.
    order_delay : float
        Wait before an order arrives, in seconds; it arrives also when its
        sender has left.
    """

    slow_factor: float = pydantic.Field(default=1.0, gt=0)
    silent: bool = False
    crashed: bool = False
    leaving: bool = False
    overloaded: bool = False
    order_delay: float = pydantic.Field(default=0.0, ge=0)

    def refusal(self) -> str | None:
        """Return the code with which new requests are refused."""
        if self.leaving:
            return 'leaving'
        return 'overloaded' if self.overloaded else None
