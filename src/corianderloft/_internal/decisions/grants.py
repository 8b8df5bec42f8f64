"""Grants: permissions to run one attempt on one engine."""

import typing

import trio

from corianderloft._internal.decisions import engines
from corianderloft._internal.decisions import interface
from corianderloft._internal.decisions import waiting

PRIORITIES_PER_TIER = 4
"""Engine priorities per tier; long requests are lowered within their tier."""


class AttemptObserver(typing.Protocol):
    """Receives the events of an attempt that the relay reports."""

    def on_first_token(self, grant: 'AttemptGrant', now: float) -> None:
        """Handle the first token."""

    def on_progress(
        self, grant: 'AttemptGrant', tokens: int, now: float
    ) -> None:
        """Handle ``tokens`` more tokens."""

    def on_close(
        self, grant: 'AttemptGrant', end: interface.AttemptEnd, now: float
    ) -> None:
        """Handle the end of the attempt."""


class AttemptGrant:
    """Holds one slot of this host on one engine until closed.

    Attributes
    ----------
    backend : Backend
        Where to send the request.
    priority : int
        Priority to send with the request. A larger number is a lower
        priority; it grows while a long request runs.
    waiter : Waiter
        The request.
    engine : EngineView
        The engine.
    started_at : float
        When it was granted, on trio's clock, in seconds.
    first_token_at : float or None
        When the first token arrived.
    last_progress_at : float
        When the last token arrived.
    tokens : int
        Tokens received so far.
    priority_steps : int
        How many times `priority` was lowered.
    """

    def __init__(
        self,
        waiter: waiting.Waiter,
        engine: engines.EngineView,
        observer: AttemptObserver,
    ) -> None:
        self.backend = engine.backend
        self.priority = waiter.lane.tier * PRIORITIES_PER_TIER
        self.waiter = waiter
        self.engine = engine
        self.started_at = trio.current_time()
        self.first_token_at: float | None = None
        self.last_progress_at = self.started_at
        self.tokens = 0
        self.priority_steps = 0
        self._observer = observer
        self._closed = False

    def may_send(self) -> bool:
        """Return whether the engine still accepts new work."""
        return self.engine.accepts_new_work

    def first_token(self) -> None:
        """Record that the first token arrived."""
        if self.first_token_at is None:
            self.first_token_at = trio.current_time()
            self.last_progress_at = self.first_token_at
            self._observer.on_first_token(self, self.first_token_at)

    def progress(self, tokens: int) -> None:
        """Record that ``tokens`` more tokens arrived."""
        now = trio.current_time()
        self.tokens += tokens
        self._observer.on_progress(self, tokens, now)
        self.last_progress_at = now

    def lower_priority(self) -> None:
        """Lower the priority by one step, staying within the tier."""
        if self.priority_steps < PRIORITIES_PER_TIER - 1:
            self.priority_steps += 1
            self.priority += 1

    def close(self, end: interface.AttemptEnd) -> None:
        """Release the slot.

        Raises
        ------
        RuntimeError
            If the slot was released before, which is a bug.
        """
        if self._closed:
            raise RuntimeError(
                f'grant of {self.waiter.ticket.request_id} on '
                f'{self.backend.engine_id} was closed twice'
            )
        self._closed = True
        self._observer.on_close(self, end, trio.current_time())
