"""Requests that wait at this host for a backend server."""

import collections.abc

import trio

from corianderloft._internal.placement import engines
from corianderloft._internal.placement import interface

WAIT_PART = 0.7
"""Part of its target that a request waits before it is refused: later it
could not be in time."""

MOST_LOOKED_AT = 64
"""Waiting requests that are looked at together."""


class Waiter:
    """One request that waits.

    Attributes
    ----------
    job : Job
        The request.
    exclude : set of Key
        Backend servers that it does not go to.
    number : int
        Order of arrival.
    give_up_at : float
        When it is refused, on trio's clock.
    granted : Event
        Set once ``engine`` may run it.
    engine : Engine or None
        Where it runs.
    """

    def __init__(
        self,
        job: interface.Job,
        exclude: collections.abc.Set[engines.Key],
        number: int,
    ) -> None:
        self.job = job
        self.exclude = exclude
        self.number = number
        self.give_up_at = min(
            job.deadline, trio.current_time() + WAIT_PART * job.route.target
        )
        self.granted = trio.Event()
        self.engine: engines.Engine | None = None

    def grant(self, engine: engines.Engine) -> None:
        """Let the request run."""
        self.engine = engine
        self.granted.set()


class Queue:
    """Waiting requests: urgent ones first, then in order of arrival."""

    def __init__(self) -> None:
        self._waiters: dict[int, Waiter] = {}

    def __len__(self) -> int:
        return len(self._waiters)

    def add(self, waiter: Waiter) -> None:
        """Let a request wait."""
        self._waiters[waiter.number] = waiter

    def discard(self, waiter: Waiter) -> None:
        """Take a request out, if it still waits."""
        self._waiters.pop(waiter.number, None)

    def in_order(self) -> list[Waiter]:
        """Return the requests that are next."""
        ordered = sorted(
            self._waiters.values(), key=lambda w: (w.job.urgency, w.number)
        )
        return ordered[:MOST_LOOKED_AT]
