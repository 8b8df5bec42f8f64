"""How a request waits, and how time passes for a queue."""

import math
import typing

import trio

from corianderloft._internal.decisions import waiting

_TICK = 0.1
"""Time between two looks at a queue in which nothing happens, in seconds."""


class Queue(typing.Protocol):
    """What the keeper does with the queue of a service."""

    def pump(self, now: float) -> None:
        """Grant what may be granted."""

    def any_waiter(self) -> waiting.Waiter | None:
        """Return a request that waits, or None."""


class Keeper:
    """Lets one of the waiting requests keep the time for all.

    Probes and guarantees fall due by time alone. The dispatcher has no task
    of its own, so one waiting request wakes every tick; when it leaves, it
    hands that duty to another.
    """

    def __init__(self) -> None:
        self._holder: waiting.Waiter | None = None

    async def wait(self, queue: Queue, waiter: waiting.Waiter) -> None:
        """Wait until ``waiter`` is decided or its deadline passes."""
        start_by = waiter.ticket.start_by
        try:
            while waiter.outcome is None and trio.current_time() < start_by:
                if self._holder is None:
                    self._holder = waiter
                holds = self._holder is waiter
                tick = trio.current_time() + _TICK if holds else math.inf
                with trio.move_on_at(min(start_by, tick)):
                    await waiter.woken.wait()
                if waiter.outcome is None:
                    waiter.woken = trio.Event()
                    if holds:
                        queue.pump(trio.current_time())
        finally:
            if self._holder is waiter:
                self._holder = None
                self._hand_over(queue, waiter)

    def _hand_over(self, queue: Queue, leaving: waiting.Waiter) -> None:
        follower = queue.any_waiter()
        if follower is not None and follower is not leaving:
            follower.woken.set()
