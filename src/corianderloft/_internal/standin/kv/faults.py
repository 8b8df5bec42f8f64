"""Faults of the key-value service."""

import enum

import pydantic
import trio

from corianderloft._internal.standin import faults

CHECK_INTERVAL = 0.02  # s


class Outage(enum.Enum):
    """How the service fails to answer; calls take no effect."""

    NONE = 'none'
    REFUSE = 'refuse'
    SILENT = 'silent'


class Faults(faults.FaultSet):
    """Faults in force.

    Attributes
    ----------
    outage : Outage
        Whether and how calls fail.
    delay : float
        Wait before each call is served, in seconds.
    lose_replies : int
        That many next writes take effect and lose their reply.
    read_age : float
        Reads show the store as it was that many seconds ago.
    silent_watches : bool
        Watches stay open and say nothing.
    platform_lag : float
        Wait before writes below ``platform/`` take effect, in seconds.
    """

    outage: Outage = Outage.NONE
    delay: float = pydantic.Field(default=0.0, ge=0)
    lose_replies: int = pydantic.Field(default=0, ge=0)
    read_age: float = pydantic.Field(default=0.0, ge=0)
    silent_watches: bool = False
    platform_lag: float = pydantic.Field(default=0.0, ge=0)

    def take_lost_reply(self) -> bool:
        """Return whether this write loses its reply, and count it."""
        if not self.lose_replies:
            return False
        self.lose_replies -= 1
        return True

    async def watches_speak(self) -> None:
        """Wait until no fault keeps watches silent."""
        while self.silent_watches or self.outage is not Outage.NONE:
            await trio.sleep(CHECK_INTERVAL)
