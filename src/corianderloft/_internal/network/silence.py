"""Timeouts for peers that send no data."""

import collections.abc
import contextlib
import math
import typing

import trio

CHECK_INTERVAL_S = 0.05


class Guard:
    """Timeout for data from one peer.

    Attributes
    ----------
    silent : bool
        Whether the timeout expired and the wait was cancelled.
    """

    __slots__ = ('_bound', '_scope', '_since', '_waited', 'silent')

    def __init__(self, timeout: float, scope: trio.CancelScope) -> None:
        self._bound = timeout
        self._scope = scope
        self._since = math.inf
        self._waited = 0.0
        self.silent = False

    def start_wait(self) -> None:
        """Start or restart the timeout."""
        self._since = trio.current_time()

    def end_wait(self) -> None:
        """Stop the timeout: nobody waits for the peer."""
        if math.isfinite(self._since):
            self._waited = trio.current_time() - self._since
        self._since = math.inf

    def resume_wait(self) -> None:
        """Go on with the timeout from where it was stopped."""
        self._since = trio.current_time() - self._waited

    def set_timeout(self, timeout: float) -> None:
        """Replace the timeout, in seconds."""
        self._bound = timeout

    def check(self, now: float) -> None:
        """Cancel the wait if the timeout has expired."""
        if now - self._since > self._bound:
            self.silent = True
            self._scope.cancel()


class SilenceMonitor:
    """Checks all guards of a process in one task.

    A periodic check of the whole set costs less than a timer that is reset
    for each chunk.
    """

    def __init__(self) -> None:
        self._guards: set[Guard] = set()

    async def run(self) -> typing.NoReturn:
        """Check all guards periodically."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            now = trio.current_time()
            for guard in list(self._guards):
                guard.check(now)

    @contextlib.contextmanager
    def guard(self, timeout: float) -> collections.abc.Iterator[Guard]:
        """Cancel the ``with`` block when a wait in it exceeds ``timeout``.

        Parameters
        ----------
        timeout : float
            Timeout without data, in seconds.
        """
        with trio.CancelScope() as scope:
            guard = Guard(timeout, scope)
            self._guards.add(guard)
            try:
                yield guard
            finally:
                self._guards.discard(guard)
