"""How a host leaves without cutting off a request."""

import enum
import logging

import trio

from corianderloft._internal.entry import inflight
from corianderloft._internal.entry import parts as entry_parts

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

    def __init__(self, parts: entry_parts.Parts) -> None:
        self._parts = parts
        self._cfg = parts.settings.callers
        self._asked = trio.Event()
        self._shortened = trio.Event()
        self.state = DrainState.SERVING

    def takes_work(self) -> bool:
        """Return whether new requests are taken."""
        return self.state in (DrainState.SERVING, DrainState.LEAVING)

    def begin(self) -> None:
        """Ask the host to leave; asked again, it leaves at once."""
        if self._asked.is_set():
            self._shortened.set()
        self._asked.set()

    async def run(self) -> None:
        """Wait until asked to leave; return when nothing is in flight."""
        await self._asked.wait()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._shorten, nursery.cancel_scope)
            await self._gently()
            nursery.cancel_scope.cancel()
        self.state = DrainState.REFUSING
        left = len(self._parts.inflight)
        if left:
            logger.warning('stopping %d requests in flight', left)
            self._parts.inflight.stop_all(inflight.StopReason.DRAINING)
            with trio.move_on_after(FLUSH_TIME):
                await self._parts.inflight.wait_none()
        self.state = DrainState.STOPPED

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

    async def _shorten(self, gentle: trio.CancelScope) -> None:
        """Replace the long bound by the short one once asked again."""
        await self._shortened.wait()
        self.state = DrainState.REFUSING
        logger.warning('asked to leave again; leaving at once')
        with trio.move_on_after(self._cfg.shortened_drain_time):
            await self._parts.inflight.wait_none()
        gentle.cancel()
