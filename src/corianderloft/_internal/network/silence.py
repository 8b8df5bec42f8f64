"""Notices peers that make no progress."""

import collections.abc
import contextlib
import math
import typing

import trio

CHECK_INTERVAL = 0.05
"""Time between two looks at all guards, in seconds."""


class Guard:
    """Bounds the silence of one peer while somebody waits for it.

    Attributes
    ----------
    silent : bool
        Whether the bound was reached and the wait cancelled.
    """

    __slots__ = ('_bound', '_scope', '_since', 'silent')

    def __init__(self, bound: float, scope: trio.CancelScope) -> None:
        self._bound = bound
        self._scope = scope
        self._since = math.inf
        self.silent = False

    def start_wait(self) -> None:
        """Note that the peer is waited for from now on."""
        self._since = trio.current_time()

    def end_wait(self) -> None:
        """Note that the peer is not waited for."""
        self._since = math.inf

    def set_bound(self, bound: float) -> None:
        """Replace the bound, in seconds."""
        self._bound = bound

    def check(self, now: float) -> None:
        """Cancel the wait when it has lasted longer than the bound."""
        if now - self._since > self._bound:
            self.silent = True
            self._scope.cancel()


class SilenceMonitor:
    """All guards of a process, looked at by one task.

    One look over a set costs less than a timer that each chunk renews.
    """

    def __init__(self) -> None:
        self._guards: set[Guard] = set()

    async def run(self) -> typing.NoReturn:
        """Look at all guards for ever."""
        while True:
            await trio.sleep(CHECK_INTERVAL)
            now = trio.current_time()
            for guard in list(self._guards):
                guard.check(now)

    @contextlib.contextmanager
    def guard(self, bound: float) -> collections.abc.Iterator[Guard]:
        """Cancel the body when a wait in it lasts longer than ``bound``.

        Parameters
        ----------
        bound : float
            Longest silence in seconds.
        """
        with trio.CancelScope() as scope:
            guard = Guard(bound, scope)
            self._guards.add(guard)
            try:
                yield guard
            finally:
                self._guards.discard(guard)
