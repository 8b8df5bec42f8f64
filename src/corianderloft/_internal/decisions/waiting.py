"""A request that waits for an engine."""

import collections.abc
import dataclasses
import typing

import trio

from corianderloft._internal.decisions import interface
from corianderloft._internal.models import ids
from corianderloft._internal.models import requests


class Lane(typing.NamedTuple):
    """Requests that are admitted alike.

    Attributes
    ----------
    tier : Tier
        Priority of their class.
    long : bool
        Whether a long answer is expected.
    """

    tier: ids.Tier
    long: bool = False


LaneFilter = collections.abc.Callable[[Lane], bool]


@dataclasses.dataclass(eq=False)
class Waiter:
    """One request in the queue of its service.

    Attributes
    ----------
    ticket : Ticket
        The request.
    lane : Lane
        How it is admitted.
    cost : float
        Estimated work, in tokens.
    weight : int
        Share of its workspace inside the tier.
    start_target : float
        When it must start to meet the target of its class, on trio's
        clock, in seconds.
    exclude : set of EngineId
        Backend servers that already failed it.
    sequence : int
        Place in the order of arrival.
    woken : Event
        Set when the request has something to look at.
    outcome : Grant or Refused or None
        What was decided.
    """

    ticket: requests.Ticket
    lane: Lane
    cost: float
    weight: int
    start_target: float
    exclude: collections.abc.Set[ids.EngineId]
    sequence: int = 0
    woken: trio.Event = dataclasses.field(default_factory=trio.Event)
    outcome: interface.Grant | requests.Refused | None = None

    def resolve(self, outcome: interface.Grant | requests.Refused) -> None:
        """Wake the request with its outcome."""
        self.outcome = outcome
        self.woken.set()
