"""Requests in flight, and how they are stopped."""

import collections.abc
import contextlib
import enum

import trio


class StopReason(enum.Enum):
    """Why a running request is stopped."""

    CALLER_LEFT = 'caller_left'
    CANCELLED = 'cancelled'
    DRAINING = 'draining'
    TAKEN_OVER = 'taken_over'


class Running:
    """One request in flight.

    Attributes
    ----------
    scope : CancelScope
        Encloses the work on the request.
    reason : StopReason or None
        Why it was stopped.
    """

    def __init__(self) -> None:
        self.scope = trio.CancelScope()
        self.reason: StopReason | None = None
        self._ended = trio.Event()

    def stop(self, reason: StopReason) -> None:
        """Cancel the work; the first reason counts."""
        if self.reason is None:
            self.reason = reason
            self.scope.cancel()

    def end(self) -> None:
        """Note that the work is over."""
        self._ended.set()

    async def wait_ended(self) -> None:
        """Return when the work is over."""
        await self._ended.wait()


class InFlight:
    """All requests in flight on this host."""

    def __init__(self) -> None:
        self._running: set[Running] = set()
        self._none = trio.Event()
        self._none.set()

    def __len__(self) -> int:
        return len(self._running)

    @contextlib.contextmanager
    def track(self) -> collections.abc.Iterator[Running]:
        """Count a request as in flight during the body."""
        running = Running()
        if not self._running:
            self._none = trio.Event()
        self._running.add(running)
        try:
            yield running
        finally:
            self._running.discard(running)
            running.end()
            if not self._running:
                self._none.set()

    async def wait_none(self) -> None:
        """Return when nothing is in flight."""
        while self._running:
            await self._none.wait()

    def stop_all(self, reason: StopReason) -> None:
        """Stop every request; each tells its caller why."""
        for running in list(self._running):
            running.stop(reason)
