"""Graceful shutdown of a host, without interrupting requests."""

import enum
import logging

import trio

from corianderloft._internal.entry import components as host_components
from corianderloft._internal.entry import inflight

logger = logging.getLogger(__name__)

LEAVE_TIMEOUT_S = 10.0
"""Timeout for announcing that the host leaves, in seconds."""

FLUSH_TIMEOUT_S = 2.0
"""Time for stopped requests to send their final error, in seconds."""


class DrainState(enum.Enum):
    """Stages of the drain of a host."""

    SERVING = 'serving'
    LEAVING = 'leaving'
    REFUSING = 'refusing'
    HELD = 'held'
    STOPPED = 'stopped'


class DrainController:
    """Drains a host in stages.

    The host first removes itself from the addresses given to callers and
    keeps serving until the last response that lists it has expired. It then
    refuses new requests and waits for those in flight.

    Parameters
    ----------
    components : HostComponents
        Components of the host.

    Attributes
    ----------
    state : DrainState
        Current stage.
    """

    def __init__(self, components: host_components.HostComponents) -> None:
        self._components = components
        self._cfg = components.settings.callers
        self.state = DrainState.SERVING
        self._reset()

    def _reset(self) -> None:
        self._drain_requested = trio.Event()
        self._shorten_requested = trio.Event()
        self._exit_allowed = trio.Event()
        self._undo_scope: trio.CancelScope | None = None

    def accepts_requests(self) -> bool:
        """Return whether new requests are accepted."""
        return self.state in (DrainState.SERVING, DrainState.LEAVING)

    def begin(self, hold: bool = False) -> None:
        """Start to drain, or shorten a drain that is not held.

        Parameters
        ----------
        hold : bool
            Keep the process running after the drain, until `begin` is called
            without ``hold`` or the drain is undone.
        """
        is_held = (
            self._drain_requested.is_set() and not self._exit_allowed.is_set()
        )
        if self._drain_requested.is_set() and not is_held:
            self._shorten_requested.set()
        if not hold:
            self._exit_allowed.set()
        self._drain_requested.set()

    def undo(self) -> bool:
        """Return the host to service; return False if it is too late."""
        if self._undo_scope is None:
            return False
        self._undo_scope.cancel()
        return True

    async def run(self) -> None:
        """Wait for a drain request and return once the host has drained."""
        while not await self._wait_drained():
            await self._components.shared.cancel_leave()
            logger.info('drain undone; accepting requests again')
            self.state = DrainState.SERVING
            self._reset()
        self.state = DrainState.REFUSING
        remaining = len(self._components.inflight)
        if remaining:
            logger.warning(
                'drain timed out; stopping %d requests in flight', remaining
            )
            self._components.inflight.stop_all(inflight.StopReason.DRAINING)
            with trio.move_on_after(FLUSH_TIMEOUT_S):
                await self._components.inflight.wait_until_idle()
        self.state = DrainState.STOPPED

    async def _wait_drained(self) -> bool:
        """Wait until the host may stop; return False if undone."""
        await self._drain_requested.wait()
        with trio.CancelScope() as undo_scope:
            self._undo_scope = undo_scope
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._shorten_drain, nursery.cancel_scope)
                await self._drain_gracefully()
                nursery.cancel_scope.cancel()
        self._undo_scope = None
        return not undo_scope.cancelled_caught

    async def _drain_gracefully(self) -> None:
        self.state = DrainState.LEAVING
        addresses_ttl_s = 0.0
        with trio.move_on_after(LEAVE_TIMEOUT_S):
            addresses_ttl_s = await self._components.shared.leave()
        logger.info(
            'draining; addresses given to callers expire in %.1f s',
            addresses_ttl_s,
        )
        await trio.sleep(addresses_ttl_s)
        self.state = DrainState.REFUSING
        with trio.move_on_after(self._cfg.drain_time):
            await self._components.inflight.wait_until_idle()
        if not self._exit_allowed.is_set():
            self.state = DrainState.HELD
            await self._exit_allowed.wait()

    async def _shorten_drain(self, graceful_scope: trio.CancelScope) -> None:
        """Apply the shortened drain timeout after a second request."""
        await self._shorten_requested.wait()
        self.state = DrainState.REFUSING
        logger.warning('drain requested again; shortening the drain')
        with trio.move_on_after(self._cfg.shortened_drain_time):
            await self._components.inflight.wait_until_idle()
        graceful_scope.cancel()
