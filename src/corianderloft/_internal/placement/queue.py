"""Requests queued at this host until a backend server has capacity."""

import collections.abc

import trio

from corianderloft._internal.placement import engines
from corianderloft._internal.placement import interface

MAX_WAIT_TARGET_RATIO = 0.7
"""Fraction of its target that a request may be queued before it is refused;
after a longer wait the answer would miss the target."""

MAX_SCANNED_REQUESTS = 64
"""Queued requests examined in one pass."""

Keys = collections.abc.Set[engines.Key]


class Waiter:
    """One queued request.

    Attributes
    ----------
    job : Job
        The request.
    exclude : set of Key
        Backend servers that must not be chosen.
    number : int
        Position in the order of arrival.
    wait_deadline : float
        When it is refused if still queued, on trio's clock.
    granted : Event
        Set once ``engine`` is assigned.
    engine : Engine or None
        Backend server that it is assigned to.
    long_prompt : bool
        Whether its route has long prompts; only with memory admission.
    tokens : int
        Work that it asks for; only with memory admission.
    """

    def __init__(
        self,
        job: interface.Job,
        exclude: Keys,
        number: int,
    ) -> None:
        self.job = job
        self.exclude = exclude
        self.number = number
        self.wait_deadline = min(
            job.deadline,
            trio.current_time() + MAX_WAIT_TARGET_RATIO * job.route.target,
        )
        self.granted = trio.Event()
        self.engine: engines.Engine | None = None
        self.long_prompt = False
        self.tokens = 1

    def grant(self, engine: engines.Engine) -> None:
        """Assign the request to a backend server."""
        self.engine = engine
        self.granted.set()


class Queue:
    """Queued requests by priority, then in order of arrival."""

    max_failures = MAX_SCANNED_REQUESTS

    def __init__(self) -> None:
        self._waiters: dict[int, Waiter] = {}

    def __len__(self) -> int:
        return len(self._waiters)

    def add(self, waiter: Waiter) -> None:
        """Queue a request."""
        self._waiters[waiter.number] = waiter

    def discard(self, waiter: Waiter) -> None:
        """Remove a request if it is still queued."""
        self._waiters.pop(waiter.number, None)

    def in_order(self) -> list[Waiter]:
        """Return up to `MAX_SCANNED_REQUESTS` requests, most urgent first."""
        ordered = sorted(
            self._waiters.values(), key=lambda w: (w.job.urgency, w.number)
        )
        return ordered[:MAX_SCANNED_REQUESTS]

    def batches(self, now: float) -> list[list[Waiter]]:
        """Return the requests to examine in one pass."""
        return [self.in_order()]
