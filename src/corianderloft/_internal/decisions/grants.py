"""Permission to run one attempt, as the relay holds it."""

import typing

import trio

from corianderloft._internal.decisions import engines
from corianderloft._internal.decisions import interface
from corianderloft._internal.decisions import waiting


class Observer(typing.Protocol):
    """Hears what the relay sees of an attempt."""

    def saw_first_token(self, grant: 'AttemptGrant', now: float) -> None:
        """Note the first token."""

    def saw_close(
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
    tokens : int
        Tokens that arrived so far.
    """

    def __init__(
        self,
        waiter: waiting.Waiter,
        engine: engines.EngineView,
        observer: Observer,
    ) -> None:
        self.backend = engine.backend
        self.priority = int(waiter.lane.tier)
        self.waiter = waiter
        self.engine = engine
        self.started = trio.current_time()
        self.first_token_at: float | None = None
        self.tokens = 0
        self._observer = observer
        self._closed = False

    def first_token(self) -> None:
        """Note that the first token arrived."""
        if self.first_token_at is None:
            self.first_token_at = trio.current_time()
            self._observer.saw_first_token(self, self.first_token_at)

    def progress(self, tokens: int) -> None:
        """Note that ``tokens`` more tokens arrived."""
        self.tokens += tokens

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
        self._observer.saw_close(self, end, trio.current_time())
