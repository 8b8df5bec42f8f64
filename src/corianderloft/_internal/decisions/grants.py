"""Permission to run one attempt, as the relay holds it."""

import typing

import trio

from corianderloft._internal.decisions import engines
from corianderloft._internal.decisions import interface
from corianderloft._internal.decisions import waiting

STEPS_PER_TIER = 4
"""Engine priorities of one tier; a job is lowered inside its tier only."""


class Observer(typing.Protocol):
    """Hears what the relay sees of an attempt."""

    def on_first_token(self, grant: 'AttemptGrant', now: float) -> None:
        """Note the first token."""

    def on_progress(
        self, grant: 'AttemptGrant', tokens: int, now: float
    ) -> None:
        """Note more tokens."""

    def on_close(
        self, grant: 'AttemptGrant', end: interface.AttemptEnd, now: float
    ) -> None:
        """Note the end of the attempt."""


class AttemptGrant:
    """Holds one slot of this host on one engine until closed.

    Attributes
    ----------
    backend : Backend
        Where to send the request.
    priority : int
        Priority to send with it; grows (is lowered) as a job runs on.
    waiter : Waiter
        The request.
    engine : EngineView
        The engine.
    started : float
        When it was granted, on trio's clock, in seconds.
    first_token_at : float or None
        When the first token arrived.
    last_progress : float
        When the last token arrived.
    tokens : int
        Tokens that arrived so far.
    long_steps : int
        How many times `priority` was lowered.
    """

    def __init__(
        self,
        waiter: waiting.Waiter,
        engine: engines.EngineView,
        observer: Observer,
    ) -> None:
        self.backend = engine.backend
        self.priority = waiter.lane.tier * STEPS_PER_TIER
        self.waiter = waiter
        self.engine = engine
        self.started = trio.current_time()
        self.first_token_at: float | None = None
        self.last_progress = self.started
        self.tokens = 0
        self.long_steps = 0
        self._observer = observer
        self._closed = False

    def first_token(self) -> None:
        """Note that the first token arrived."""
        if self.first_token_at is None:
            self.first_token_at = trio.current_time()
            self.last_progress = self.first_token_at
            self._observer.on_first_token(self, self.first_token_at)

    def progress(self, tokens: int) -> None:
        """Note that ``tokens`` more tokens arrived."""
        now = trio.current_time()
        self.tokens += tokens
        self._observer.on_progress(self, tokens, now)
        self.last_progress = now

    def lower(self) -> None:
        """Lower the priority by a step, but never to the next tier's."""
        if self.long_steps < STEPS_PER_TIER - 1:
            self.long_steps += 1
            self.priority += 1

    def close(self, end: interface.AttemptEnd) -> None:
        """Give the slot back.

        Raises
        ------
        RuntimeError
            If it was given back before: a broken invariant.
        """
        if self._closed:
            raise RuntimeError(
                f'grant of {self.waiter.ticket.request_id} on '
                f'{self.backend.engine_id} was closed twice'
            )
        self._closed = True
        self._observer.on_close(self, end, trio.current_time())
