"""Permissions to send a request to a backend server."""

import collections.abc
import typing

import trio

from corianderloft._internal.placement import engines
from corianderloft._internal.placement import interface

_LEFT_UNANSWERED = (
    interface.AttemptOutcome.SILENT,
    interface.AttemptOutcome.MOVED,
    interface.AttemptOutcome.LOST,
)


class Issuer(typing.Protocol):
    """Hears how the attempts that it permitted went on."""

    def load_changed(self) -> None:
        """React to a change of the load by requests of this host."""

    def record_outcome(
        self, engine: engines.Engine, outcome: interface.AttemptOutcome
    ) -> None:
        """Update what is known of an engine from the end of an attempt."""

    def record_answer(
        self, job: interface.Job, events: int, duration: float
    ) -> None:
        """Learn from a complete answer."""


class Grant:
    """Permission to send one request to one backend server.

    Attributes
    ----------
    engine : Engine
        The backend server.
    events : int
        Events of the answer so far, if it is a stream from its beginning.
    """

    def __init__(
        self,
        issuer: Issuer,
        engine: engines.Engine,
        number: int,
        job: interface.Job,
    ) -> None:
        self._issuer = issuer
        self._job = job
        self._granted_at = trio.current_time()
        self._request_number = number
        self.engine = engine
        # Called each time that the start of the answer is recorded.
        self.on_started: collections.abc.Callable[[], None] | None = None
        self.events = 0

    def started(self) -> None:
        """Record that the answer has started."""
        if self.on_started is not None:
            self.on_started()
        if self.engine.record_started(
            self._request_number, trio.current_time()
        ):
            self._issuer.load_changed()

    def expected_wait(self) -> float:
        """Return the expected time to the first answer, in seconds."""
        return self.engine.expected_wait(self._request_number)

    def close(self, outcome: interface.AttemptOutcome) -> None:
        """Record how the attempt ended; further calls have no effect."""
        if outcome in _LEFT_UNANSWERED:
            self.engine.record_unanswered(
                self._request_number, trio.current_time()
            )
        if self.engine.remove(self._request_number):
            self._issuer.record_outcome(self.engine, outcome)
            if outcome is interface.AttemptOutcome.COMPLETE:
                duration = trio.current_time() - self._granted_at
                self._issuer.record_answer(self._job, self.events, duration)
