"""How a host leaves without cutting off a request."""

import enum
import logging

import trio

from corianderloft._internal.entry import components as entry_components
from corianderloft._internal.entry import inflight

logger = logging.getLogger(__name__)

LEAVE_TIME = 10.0
"""Time for the announcement that the host leaves, in seconds."""

FLUSH_TIME = 2.0
"""Time for stopped requests to tell their callers why, in seconds."""


class DrainState(enum.Enum):
    """How far a host is on its way out."""

    SERVING = 'serving'
    LEAVING = 'leaving'
    REFUSING = 'refusing'
    HELD = 'held'
    STOPPED = 'stopped'


class Drain:
    """Takes a host out of service, step by step.

    A drained host leaves the address answers, serves until the last answer
    that names it has run out, then refuses new work and waits for what is
    in flight.

    Parameters
    ----------
    parts : Parts
        Parts of the host.

    Attributes
    ----------
    state : DrainState
        How far it is.
    """

    def __init__(self, parts: entry_components.Parts) -> None:
        self._parts = parts
        self._cfg = parts.settings.callers
        self.state = DrainState.SERVING
        self._reset()

    def _reset(self) -> None:
        self._asked = trio.Event()
        self._shortened = trio.Event()
        self._released = trio.Event()
        self._undoable: trio.CancelScope | None = None

    def takes_work(self) -> bool:
        """Return whether new requests are taken."""
        return self.state in (DrainState.SERVING, DrainState.LEAVING)

    def begin(self, hold: bool = False) -> None:
        """Ask the host to leave; asked again, it leaves at once.

        Parameters
        ----------
        hold : bool
            Keep the process once nothing is in flight, until it is asked
            without, or the drain is undone.
        """
        held = self._asked.is_set() and not self._released.is_set()
        if self._asked.is_set() and not held:
            self._shortened.set()
        if not hold:
            self._released.set()
        self._asked.set()

    def undo(self) -> bool:
        """Put the host back into service; False when it is too late."""
        if self._undoable is None:
            return False
        self._undoable.cancel()
        return True

    async def run(self) -> None:
        """Return once the host was asked to leave and nothing is in flight."""
        while not await self._left():
            await self._parts.shared.stay()
            logger.info('the drain is undone')
            self.state = DrainState.SERVING
            self._reset()
        self.state = DrainState.REFUSING
        left = len(self._parts.inflight)
        if left:
            logger.warning('stopping %d requests in flight', left)
            self._parts.inflight.stop_all(inflight.StopReason.DRAINING)
            with trio.move_on_after(FLUSH_TIME):
                await self._parts.inflight.wait_none()
        self.state = DrainState.STOPPED

    async def _left(self) -> bool:
        """Wait until the host may end; False when the drain is undone."""
        await self._asked.wait()
        with trio.CancelScope() as undoable:
            self._undoable = undoable
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._shorten, nursery.cancel_scope)
                await self._gently()
                nursery.cancel_scope.cancel()
        self._undoable = None
        return not undoable.cancelled_caught

    async def _gently(self) -> None:
        self.state = DrainState.LEAVING
        until = 0.0
        with trio.move_on_after(LEAVE_TIME):
            until = await self._parts.shared.leave()
        logger.info('leaving; address answers run out in %.1f s', until)
        await trio.sleep(until)
        self.state = DrainState.REFUSING
        with trio.move_on_after(self._cfg.drain_time):
            await self._parts.inflight.wait_none()
        if not self._released.is_set():
            self.state = DrainState.HELD
            await self._released.wait()

    async def _shorten(self, gentle: trio.CancelScope) -> None:
        """Replace the long bound by the short one once asked again."""
        await self._shortened.wait()
        self.state = DrainState.REFUSING
        logger.warning('asked to leave again; leaving at once')
        with trio.move_on_after(self._cfg.shortened_drain_time):
            await self._parts.inflight.wait_none()
        gentle.cancel()
