"""What a host's relay does with one request, without any network."""

import collections.abc
import dataclasses
import typing

import trio

from bench.policy import engine as engine_module
from bench.policy import workload
from corianderloft._internal.decisions import interface
from corianderloft._internal.models import backends
from corianderloft._internal.models import ids
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests

_PATIENCE = 2.0
"""How long after its deadline a caller still waits, in seconds."""


class Dispatcher(typing.Protocol):
    """The part of the decisions that a relay needs."""

    async def acquire(
        self,
        ticket: requests.Ticket,
        exclude: collections.abc.Set[ids.EngineId] = frozenset(),
    ) -> interface.Grant | requests.Refused:
        """Queue a request."""

    def retry(
        self,
        ticket: requests.Ticket,
        end: interface.AttemptEnd,
        attempts: int,
        may_have_run: bool,
        relayed_tokens: int,
    ) -> interface.RetryNow | interface.GiveUp:
        """Decide on another attempt."""

    def hedge_after(self, ticket: requests.Ticket) -> float | None:
        """Return the wait before a second attempt."""

    def report_load(self, report: backends.LoadReport) -> None:
        """Take in a report."""


@dataclasses.dataclass
class Record:
    """How one request went.

    Attributes
    ----------
    arrival : Arrival
        The request.
    started : float or None
        When its first attempt was granted.
    first_token : float or None
        When its first token came.
    ended : float
        When it was over.
    complete : bool
        Whether the caller has the whole answer.
    tokens : int
        Tokens that went to the caller.
    in_time : int
        Those of them before the end of the demand.
    attempts : list of float
        When each attempt was granted.
    refused : RefusalReason or None
        Why it was refused.
    """

    arrival: workload.Arrival
    started: float | None = None
    first_token: float | None = None
    ended: float = 0.0
    complete: bool = False
    tokens: int = 0
    in_time: int = 0
    attempts: list[float] = dataclasses.field(default_factory=list)
    refused: reasons.RefusalReason | None = None

    @property
    def wait(self) -> float:
        """Seconds until the first token; infinite when it never came."""
        if self.first_token is None:
            return float('inf')
        return self.first_token - self.arrival.at

    @property
    def attained(self) -> bool:
        """Whether it met the target of its class, whole."""
        return self.complete and self.wait <= self.arrival.mix.target


class Call:
    """Serves one request to its end."""

    def __init__(
        self,
        record: Record,
        ticket: requests.Ticket,
        dispatcher: Dispatcher,
        fakes: dict[ids.EngineId, engine_module.FakeEngine],
        delay: float,
        demand_ends: float,
    ) -> None:
        self._record = record
        self._ticket = ticket
        self._dispatcher = dispatcher
        self._fakes = fakes
        self._delay = delay
        self._demand_ends = demand_ends
        self._first: interface.Grant | None = None
        self._winner: interface.Grant | None = None
        self._hedge_scope = trio.CancelScope()
        self._first_scope = trio.CancelScope()
        self._patience = trio.CancelScope()

    async def serve(self) -> None:
        """Run attempts until the answer is whole or given up."""
        self._patience.deadline = self._ticket.start_by + _PATIENCE
        with self._patience:
            await self._attempts()
        self._record.ended = trio.current_time()

    async def _attempts(self) -> None:
        failed: set[ids.EngineId] = set()
        while True:
            outcome = await self._dispatcher.acquire(self._ticket, failed)
            if isinstance(outcome, requests.Refused):
                self._record.refused = outcome.reason
                return
            end = await self._attempt_with_hedge(outcome)
            if end is interface.AttemptEnd.COMPLETE:
                self._record.complete = True
                return
            failed.add(outcome.backend.engine_id)
            decision = self._dispatcher.retry(
                self._ticket,
                end,
                len(self._record.attempts),
                end is not interface.AttemptEnd.CONNECT_FAILED,
                self._record.tokens,
            )
            if isinstance(decision, interface.GiveUp):
                return
            await trio.sleep(decision.delay)

    async def _attempt_with_hedge(
        self, grant: interface.Grant
    ) -> interface.AttemptEnd:
        self._first = grant
        self._winner = None
        self._hedge_scope = trio.CancelScope()
        self._first_scope = trio.CancelScope()
        ends: list[interface.AttemptEnd] = []
        after = None
        if not self._record.tokens:
            after = self._dispatcher.hedge_after(self._ticket)
        async with trio.open_nursery() as nursery:
            if after is not None:
                nursery.start_soon(self._hedge, grant, after, ends)
            with self._first_scope:
                ends.append(await self._attempt(grant))
            if self._winner in (grant, None):
                self._hedge_scope.cancel()
        if interface.AttemptEnd.COMPLETE in ends:
            return interface.AttemptEnd.COMPLETE
        return ends[0] if ends else interface.AttemptEnd.CONNECTION_LOST

    async def _hedge(
        self,
        first: interface.Grant,
        after: float,
        ends: list[interface.AttemptEnd],
    ) -> None:
        with self._hedge_scope:
            await trio.sleep(after)
            if self._winner is not None:
                return
            outcome = await self._dispatcher.acquire(
                self._ticket, frozenset({first.backend.engine_id})
            )
            if not isinstance(outcome, requests.Refused):
                ends.append(await self._attempt(outcome))

    async def _attempt(self, grant: interface.Grant) -> interface.AttemptEnd:
        now = trio.current_time()
        self._record.attempts.append(now)
        if self._record.started is None:
            self._record.started = now
        end = interface.AttemptEnd.CANCELLED
        try:
            await trio.sleep(self._delay)
            end = await self._fakes[grant.backend.engine_id].run(
                self._record.arrival,
                self._record.tokens,
                grant,
                lambda tokens: self._deliver(grant, tokens),
            )
            return end
        finally:
            if self._patience.cancel_called:
                end = interface.AttemptEnd.CALLER_LEFT
            grant.close(end)

    def _deliver(self, grant: interface.Grant, tokens: int) -> None:
        now = trio.current_time()
        if self._winner is None:
            self._winner = grant
            loser = (
                self._hedge_scope
                if grant is self._first
                else self._first_scope
            )
            loser.cancel()
        if self._winner is not grant:
            return
        self._patience.deadline = float('inf')
        if self._record.first_token is None:
            self._record.first_token = now + 2 * self._delay
        self._record.tokens += tokens
        if now <= self._demand_ends:
            self._record.in_time += tokens
