"""Injected faults of a model engine."""

import pydantic

from corianderloft._internal.standin import faults


class Faults(faults.FaultSet):
    """Faults currently in effect.

    Attributes
    ----------
    slow_factor : float
        Factor by which each step is slowed down.
    silent : bool
        The engine generates no tokens and sends no responses, but keeps
        its connections open.
    crashed : bool
        All streams are cut off and all state is lost; the connections of
        new calls are closed without a response.
    leaving : bool
        New requests are refused without being run; running ones continue.
    overloaded : bool
        New requests are refused without being run.
    order_delay : float
        Delay before an order takes effect, in seconds; it takes effect
        even if its sender has disconnected.
    """

    slow_factor: float = pydantic.Field(default=1.0, gt=0)
    silent: bool = False
    crashed: bool = False
    leaving: bool = False
    overloaded: bool = False
    order_delay: float = pydantic.Field(default=0.0, ge=0)

    def refusal_code(self) -> str | None:
        """Return the error code for new requests, None if accepted."""
        if self.leaving:
            return 'leaving'
        return 'overloaded' if self.overloaded else None
