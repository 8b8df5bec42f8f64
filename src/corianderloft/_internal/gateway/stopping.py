"""How a host of the gateway ends without cutting an answer."""

import collections.abc
import contextlib
import logging

import trio

from corianderloft._internal.gateway import membership

logger = logging.getLogger(__name__)

ACCEPT_TIME = 3.0
ACCEPT_PART = 0.375
"""Time after the signal in which requests are still served, in seconds and as
part of the time until the kill, whichever is shorter: callers learn of other
hosts within it, and what came last has the rest to end."""

QUIET_TIME = 2.0
QUIET_PART = 0.25
"""Least time between the signal and the end, in seconds and as part of the
time until the kill, as callers that know only this host still come."""

KILL_MARGIN = 0.6
KILL_PART = 0.1
"""Time before the kill at which the process ends in any case, in seconds and
as part of the time until the kill, whichever is shorter."""

LOOK_INTERVAL = 0.1
"""Time between two looks whether anything is in flight, in seconds."""


class Stopping:
    """Counts what is in flight, and says what is still taken.

    Attributes
    ----------
    refusing : bool
        Whether new requests are turned away.
    """

    def __init__(self) -> None:
        self._told = trio.Event()
        self.refusing = False
        self._inflight = 0
        self._last_request = float('-inf')

    @property
    def leaving(self) -> bool:
        """Whether connections are closed after their next answer."""
        return self._told.is_set()

    async def wait_leaving(self) -> None:
        """Wait until the process is told to stop."""
        await self._told.wait()

    @contextlib.contextmanager
    def request(self) -> collections.abc.Iterator[None]:
        """Count one request while it is served."""
        self._inflight += 1
        self._last_request = trio.current_time()
        try:
            yield
        finally:
            self._inflight -= 1

    async def run(
        self, entry: membership.Membership, termination_grace: float
    ) -> None:
        """Leave; return when nothing is in flight or the time is up.

        Parameters
        ----------
        entry : Membership
            Entry of this host.
        termination_grace : float
            Time until the process is killed, in seconds.
        """
        began = trio.current_time()
        accept = min(ACCEPT_TIME, ACCEPT_PART * termination_grace)
        quiet = min(QUIET_TIME, QUIET_PART * termination_grace)
        margin = min(KILL_MARGIN, KILL_PART * termination_grace)
        self._told.set()
        logger.info('stopping', extra={'inflight': self._inflight})
        with trio.move_on_after(termination_grace - margin):
            await entry.leave()
            while not self._quiet(began, quiet):
                await trio.sleep(LOOK_INTERVAL)
                if trio.current_time() - began >= accept:
                    self.refusing = True
        self.refusing = True
        logger.info(
            'stopped',
            extra={
                'inflight': self._inflight,
                'took_s': round(trio.current_time() - began, 2),
            },
        )

    def _quiet(self, began: float, least: float) -> bool:
        now = trio.current_time()
        if self._inflight or now - began < least:
            return False
        return now - self._last_request >= least / 4
