"""Injected faults of the key-value service."""

import enum

import pydantic
import trio

from corianderloft._internal.standin import faults

CHECK_INTERVAL_S = 0.02


class Outage(enum.Enum):
    """How calls fail during an outage; they take no effect."""

    NONE = 'none'
    REFUSE = 'refuse'
    SILENT = 'silent'


class Faults(faults.FaultSet):
    """Faults currently in effect.

    Attributes
    ----------
    outage : Outage
        Whether and how calls fail.
    delay : float
        Delay before each call is served, in seconds.
    lose_replies : int
        Number of upcoming writes that take effect without a response.
    read_age : float
        Staleness of reads, in seconds.
    silent_watches : bool
        Whether watches stay open without sending anything.
    platform_lag : float
        Delay before writes below ``platform/`` take effect, in seconds.
    """

    outage: Outage = Outage.NONE
    delay: float = pydantic.Field(default=0.0, ge=0)
    lose_replies: int = pydantic.Field(default=0, ge=0)
    read_age: float = pydantic.Field(default=0.0, ge=0)
    silent_watches: bool = False
    platform_lag: float = pydantic.Field(default=0.0, ge=0)

    def consume_lost_reply(self) -> bool:
        """Return whether this write gets no response, and count it."""
        if not self.lose_replies:
            return False
        self.lose_replies -= 1
        return True

    async def wait_until_watches_deliver(self) -> None:
        """Wait until no fault keeps watches from sending."""
        while self.silent_watches or self.outage is not Outage.NONE:
            await trio.sleep(CHECK_INTERVAL_S)
