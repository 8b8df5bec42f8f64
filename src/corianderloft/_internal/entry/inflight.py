"""Tracks requests in flight and stops them."""

import collections.abc
import contextlib
import enum

import trio


class StopReason(enum.Enum):
    """Why a request in flight is stopped."""

    CALLER_LEFT = 'caller_left'
    CANCELLED = 'cancelled'
    DRAINING = 'draining'
    TAKEN_OVER = 'taken_over'


class RequestTask:
    """Handle of the task that runs one request.

    Attributes
    ----------
    scope : CancelScope
        Cancel scope of the task.
    reason : StopReason or None
        Why the request was stopped.
    """

    def __init__(self) -> None:
        self.scope = trio.CancelScope()
        self.reason: StopReason | None = None
        self._ended = trio.Event()

    def stop(self, reason: StopReason) -> None:
        """Cancel the request; only the first reason is kept."""
        if self.reason is None:
            self.reason = reason
            self.scope.cancel()

    def mark_ended(self) -> None:
        """Mark the task as ended."""
        self._ended.set()

    async def wait_ended(self) -> None:
        """Wait until the task has ended."""
        await self._ended.wait()


class InFlightRequests:
    """All requests in flight on this host."""

    def __init__(self) -> None:
        self._tasks: set[RequestTask] = set()
        self._idle = trio.Event()
        self._idle.set()

    def __len__(self) -> int:
        return len(self._tasks)

    @contextlib.contextmanager
    def track(self) -> collections.abc.Iterator[RequestTask]:
        """Track a request while the ``with`` block runs."""
        task = RequestTask()
        if not self._tasks:
            self._idle = trio.Event()
        self._tasks.add(task)
        try:
            yield task
        finally:
            self._tasks.discard(task)
            task.mark_ended()
            if not self._tasks:
                self._idle.set()

    async def wait_until_idle(self) -> None:
        """Wait until no request is in flight."""
        while self._tasks:
            await self._idle.wait()

    def stop_all(self, reason: StopReason) -> None:
        """Stop every request; each reports the reason to its caller."""
        for task in list(self._tasks):
            task.stop(reason)
