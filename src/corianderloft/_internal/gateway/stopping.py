"""Graceful shutdown of a gateway host."""

import collections.abc
import contextlib
import logging
import math

import trio

from corianderloft._internal.gateway import membership

logger = logging.getLogger(__name__)

ACCEPT_PERIOD_S = 2.8
ACCEPT_FRACTION = 0.35
"""Time after the signal in which new requests are still served: the shorter
of a fixed time and a fraction of the grace period. Callers learn of other
hosts within it, and the last requests can finish in the remaining time. It is
shorter than the 3 s after which the platform excuses no cut request, since a
process without processor time hears of the signal late."""

MIN_DRAIN_S = 2.0
MIN_DRAIN_FRACTION = 0.25
"""Minimum time between the signal and the exit: the shorter of a fixed time
and a fraction of the grace period. Callers that know only this host still
send requests within it."""

KILL_MARGIN_S = 0.6
KILL_MARGIN_FRACTION = 0.1
"""Time before the kill at which the process exits in any case: the shorter of
a fixed time and a fraction of the grace period."""

POLL_INTERVAL_S = 0.1
"""Interval between checks for requests in flight."""


class GracefulShutdown:
    """Tracks requests in flight and the progress of the shutdown."""

    def __init__(self) -> None:
        self._draining = trio.Event()
        self._refuses_from = math.inf
        self._in_flight = 0
        self._last_request_at = float('-inf')

    @property
    def draining(self) -> bool:
        """Whether connections are closed after their next response."""
        return self._draining.is_set()

    @property
    def refusing(self) -> bool:
        """Whether new requests are refused."""
        return trio.current_time() >= self._refuses_from

    async def wait_draining(self) -> None:
        """Wait until the shutdown begins."""
        await self._draining.wait()

    @contextlib.contextmanager
    def track_request(self) -> collections.abc.Iterator[None]:
        """Count a request as in flight while it is served."""
        self._in_flight += 1
        self._last_request_at = trio.current_time()
        try:
            yield
        finally:
            self._in_flight -= 1

    async def run(
        self, registration: membership.Membership, termination_grace: float
    ) -> None:
        """Deregister and drain; return when idle or when the time is up.

        Parameters
        ----------
        registration : Membership
            Registration of this host.
        termination_grace : float
            Time until the process is killed, in seconds.
        """
        started_at = trio.current_time()
        accept_s = min(ACCEPT_PERIOD_S, ACCEPT_FRACTION * termination_grace)
        min_drain_s = min(MIN_DRAIN_S, MIN_DRAIN_FRACTION * termination_grace)
        margin_s = min(KILL_MARGIN_S, KILL_MARGIN_FRACTION * termination_grace)
        self._refuses_from = started_at + accept_s
        self._draining.set()
        logger.info('stopping', extra={'inflight': self._in_flight})
        with trio.move_on_after(termination_grace - margin_s):
            await registration.deregister()
            while not self._is_idle(started_at, min_drain_s):
                await trio.sleep(POLL_INTERVAL_S)
        self._refuses_from = -math.inf
        logger.info(
            'stopped',
            extra={
                'inflight': self._in_flight,
                'took_s': round(trio.current_time() - started_at, 2),
            },
        )

    def _is_idle(self, started_at: float, min_drain_s: float) -> bool:
        now = trio.current_time()
        if self._in_flight or now - started_at < min_drain_s:
            return False
        return now - self._last_request_at >= min_drain_s / 4
