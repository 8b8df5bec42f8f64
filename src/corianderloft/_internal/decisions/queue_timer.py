"""Waiting in a queue, and the timer that serves the queue periodically."""

import math
import typing

import trio

from corianderloft._internal.decisions import waiting

_TICK_S = 0.1
"""Time between two periodic passes over an idle queue, in seconds."""


class Queue(typing.Protocol):
    """Queue of a service, as the timer uses it."""

    def grant_waiting(self, now: float) -> None:
        """Grant the queued requests that may start."""

    def any_waiter(self) -> waiting.Waiter | None:
        """Return one queued request, or None."""


class QueueTimer:
    """Runs the periodic pass over a queue in the task of one request.

    Probes and guarantees become due without any event. The dispatcher has
    no background task, so one queued request wakes up every tick and, when
    it leaves the queue, wakes another one to take over the timer.
    """

    def __init__(self) -> None:
        self._timer_owner: waiting.Waiter | None = None

    async def wait(self, queue: Queue, waiter: waiting.Waiter) -> None:
        """Wait until ``waiter`` has an outcome or its deadline passes."""
        start_by = waiter.ticket.start_by
        try:
            while waiter.outcome is None and trio.current_time() < start_by:
                if self._timer_owner is None:
                    self._timer_owner = waiter
                owns_timer = self._timer_owner is waiter
                tick = (
                    trio.current_time() + _TICK_S if owns_timer else math.inf
                )
                with trio.move_on_at(min(start_by, tick)):
                    await waiter.woken.wait()
                if waiter.outcome is None:
                    waiter.woken = trio.Event()
                    if owns_timer:
                        queue.grant_waiting(trio.current_time())
        finally:
            if self._timer_owner is waiter:
                self._timer_owner = None
                self._hand_over(queue, waiter)

    def _hand_over(self, queue: Queue, leaving: waiting.Waiter) -> None:
        successor = queue.any_waiter()
        if successor is not None and successor is not leaving:
            successor.woken.set()
