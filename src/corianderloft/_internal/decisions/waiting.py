"""Queued requests and the lanes in which they are admitted."""

import collections.abc
import dataclasses
import typing

import trio

from corianderloft._internal.decisions import interface
from corianderloft._internal.models import ids
from corianderloft._internal.models import requests


class Lane(typing.NamedTuple):
    """Admission lane: requests of one tier and expected length.

    Lanes compare in order of priority, the highest priority first.

    Attributes
    ----------
    tier : Tier
        Priority of the class.
    long : bool
        Whether the expected cost is above ``long_cost``.
    """

    tier: ids.Tier
    long: bool = False


LaneFilter = collections.abc.Callable[[Lane], bool]


@dataclasses.dataclass(eq=False)
class Waiter:
    """A request in the queue of its service.

    Attributes
    ----------
    ticket : Ticket
        The request.
    lane : Lane
        Admission lane.
    cost : float
        Estimated cost, in tokens.
    weight : int
        Weight of the workspace within the tier.
    start_target : float
        Latest start that can meet the first-token target, on trio's
        clock, in seconds.
    exclude : set of EngineId
        Backend servers that already failed the request.
    sequence : int
        Position in the order of arrival.
    woken : Event
        Set when there is an outcome or the queue timer is handed over.
    outcome : Grant or Refused or None
        Grant or refusal; None while queued.
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
        """Set the outcome and wake the waiting task."""
        self.outcome = outcome
        self.woken.set()
