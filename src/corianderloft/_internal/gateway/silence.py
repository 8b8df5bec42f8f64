"""Decides when a request leaves a backend server that sends nothing.

A sound server may pause for longer than any timeout, for instance while it
serves more urgent requests. So a timeout alone ends nothing: the request
leaves only if another server takes it over at once, and else goes on waiting.
"""

import collections.abc
import math

import trio

SILENCE_TIMEOUT_RATIO = 3.0
"""Multiple of a latency target after which a server counts as silent."""

MIN_SILENCE_TIMEOUT_S = 0.25
"""Lower bound of the timeout."""

RECHECK_INTERVAL_S = 0.1
"""Time between two searches for a server that takes the request over."""

MAX_WAKE_DELAY_S = 0.1
"""If the timeout is noticed later than that, this process was held up, and
what the server has sent meanwhile may not have been read yet."""


def timeout(target: float) -> float:
    """Return how long a server may be silent, in seconds.

    Parameters
    ----------
    target : float
        Latency target for what is awaited, in seconds.
    """
    return max(MIN_SILENCE_TIMEOUT_S, SILENCE_TIMEOUT_RATIO * target)


class SilenceWatch:
    """Watches one attempt for silence of its server.

    Parameters
    ----------
    start_timeout_s : float
        Timeout for the start of the response.
    gap_timeout_s : float
        Timeout after progress.
    take_over : callable
        Called when the server counts as silent; returns whether another one
        takes the request over.
    hedge_delay_s : float
        Time before the start of the response after which a second attempt is
        considered; infinite if none is.
    hedge : callable
        Called once then; returns whether the request leaves the server.

    Attributes
    ----------
    expired : bool
        Whether the request leaves the server.
    moved : bool
        Whether it leaves for a second attempt.
    """

    def __init__(
        self,
        start_timeout_s: float,
        gap_timeout_s: float,
        take_over: collections.abc.Callable[[], bool],
        hedge_delay_s: float = math.inf,
        hedge: collections.abc.Callable[[], bool] = lambda: False,
    ) -> None:
        self._gap_timeout_s = gap_timeout_s
        self._take_over = take_over
        now = trio.current_time()
        self._deadline = now + start_timeout_s
        self._hedge = hedge
        self._hedge_at = math.inf
        if hedge_delay_s < start_timeout_s:
            self._hedge_at = now + hedge_delay_s
        self.expired = False
        self.moved = False

    def restart(self) -> None:
        """Start the timeout anew, since the server has made progress."""
        self._deadline = trio.current_time() + self._gap_timeout_s

    def pause(self) -> None:
        """Stop the timeout: nobody waits for the server."""
        self._deadline = math.inf
        self.note_started()

    def note_started(self) -> None:
        """Record that the response has begun: it is not hedged any more."""
        self._hedge_at = math.inf

    async def run(self, attempt_scope: trio.CancelScope) -> None:
        """Cancel the attempt once the request leaves its server."""
        while not self.expired:
            now = trio.current_time()
            if now >= self._hedge_at:
                is_late = now - self._hedge_at > MAX_WAKE_DELAY_S
                self.note_started()
                if not is_late and self._hedge():
                    self.expired = self.moved = True
                    attempt_scope.cancel()
            elif now < self._deadline:
                # A restart may bring the deadline forward.
                wake_at = min(self._deadline, self._hedge_at)
                await trio.sleep(min(wake_at - now, self._gap_timeout_s))
            elif now - self._deadline > MAX_WAKE_DELAY_S:
                self._deadline = now + MIN_SILENCE_TIMEOUT_S
            elif self._take_over():
                self.expired = True
                attempt_scope.cancel()
            else:
                self._deadline = now + RECHECK_INTERVAL_S
