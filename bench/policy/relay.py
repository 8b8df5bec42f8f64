"""Simulated relay of a host, without a network."""

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

_CALLER_GRACE_S = 2.0
"""How long a caller waits past the deadline before it disconnects."""


class Dispatcher(typing.Protocol):
    """The dispatcher methods that a relay uses."""

    async def acquire(
        self,
        ticket: requests.Ticket,
        exclude: collections.abc.Set[ids.EngineId] = frozenset(),
    ) -> interface.Grant | requests.Refused:
        """Queue a request until it is granted or refused."""

    def retry(
        self,
        ticket: requests.Ticket,
        end: interface.AttemptEnd,
        attempts: int,
        may_have_run: bool,
        relayed_tokens: int,
    ) -> interface.RetryNow | interface.GiveUp:
        """Decide whether to make another attempt."""

    def hedge_after(self, ticket: requests.Ticket) -> float | None:
        """Return the delay of a hedge in seconds, or None for no hedge."""

    def report_load(self, report: backends.LoadReport) -> None:
        """Process a load report."""


@dataclasses.dataclass
class Record:
    """Outcome of one request. All times are in seconds.

    Attributes
    ----------
    arrival : Arrival
        The request.
    started_at : float or None
        When its first attempt was granted.
    first_token_at : float or None
        When the caller received the first token.
    ended_at : float
        When processing ended.
    complete : bool
        Whether the caller received the whole answer.
    relayed_tokens : int
        Tokens relayed to the caller.
    tokens_before_demand_end : int
        Relayed tokens, up to the end of the demand.
    attempt_times : list of float
        When each attempt was granted.
    refusal_reason : RefusalReason or None
        Why the request was refused, if it was.
    """

    arrival: workload.Arrival
    started_at: float | None = None
    first_token_at: float | None = None
    ended_at: float = 0.0
    complete: bool = False
    relayed_tokens: int = 0
    tokens_before_demand_end: int = 0
    attempt_times: list[float] = dataclasses.field(default_factory=list)
    refusal_reason: reasons.RefusalReason | None = None

    @property
    def first_token_wait(self) -> float:
        """Time to first token in seconds; infinite without one."""
        if self.first_token_at is None:
            return float('inf')
        return self.first_token_at - self.arrival.sent_at

    @property
    def attained(self) -> bool:
        """Whether the request completed and met the target of its class."""
        return (
            self.complete
            and self.first_token_wait
            <= self.arrival.profile.first_token_target
        )


class Call:
    """Serves one request, including its retries and hedges."""

    def __init__(
        self,
        record: Record,
        ticket: requests.Ticket,
        dispatcher: Dispatcher,
        fakes: dict[ids.EngineId, engine_module.FakeEngine],
        network_delay: float,
        demand_end: float,
    ) -> None:
        self._record = record
        self._ticket = ticket
        self._dispatcher = dispatcher
        self._fakes = fakes
        self._network_delay = network_delay
        self._demand_end = demand_end
        self._primary: interface.Grant | None = None
        self._winner: interface.Grant | None = None
        self._hedge_scope = trio.CancelScope()
        self._primary_scope = trio.CancelScope()
        self._caller_scope = trio.CancelScope()

    async def serve(self) -> None:
        """Run attempts until the answer is complete or the request fails."""
        self._caller_scope.deadline = self._ticket.start_by + _CALLER_GRACE_S
        with self._caller_scope:
            await self._run_attempts()
        self._record.ended_at = trio.current_time()

    async def _run_attempts(self) -> None:
        failed: set[ids.EngineId] = set()
        while True:
            outcome = await self._dispatcher.acquire(self._ticket, failed)
            if isinstance(outcome, requests.Refused):
                self._record.refusal_reason = outcome.reason
                return
            end = await self._attempt_with_hedge(outcome)
            if end is interface.AttemptEnd.COMPLETE:
                self._record.complete = True
                return
            failed.add(outcome.backend.engine_id)
            decision = self._dispatcher.retry(
                self._ticket,
                end,
                len(self._record.attempt_times),
                end is not interface.AttemptEnd.CONNECT_FAILED,
                self._record.relayed_tokens,
            )
            if isinstance(decision, interface.GiveUp):
                return
            await trio.sleep(decision.delay)

    async def _attempt_with_hedge(
        self, grant: interface.Grant
    ) -> interface.AttemptEnd:
        self._primary = grant
        self._winner = None
        self._hedge_scope = trio.CancelScope()
        self._primary_scope = trio.CancelScope()
        ends: list[interface.AttemptEnd] = []
        hedge_delay = None
        if not self._record.relayed_tokens:
            hedge_delay = self._dispatcher.hedge_after(self._ticket)
        async with trio.open_nursery() as nursery:
            if hedge_delay is not None:
                nursery.start_soon(self._hedge, grant, hedge_delay, ends)
            with self._primary_scope:
                ends.append(await self._attempt(grant))
            if self._winner in (grant, None):
                self._hedge_scope.cancel()
        if interface.AttemptEnd.COMPLETE in ends:
            return interface.AttemptEnd.COMPLETE
        return ends[0] if ends else interface.AttemptEnd.CONNECTION_LOST

    async def _hedge(
        self,
        primary: interface.Grant,
        hedge_delay: float,
        ends: list[interface.AttemptEnd],
    ) -> None:
        with self._hedge_scope:
            await trio.sleep(hedge_delay)
            if self._winner is not None:
                return
            outcome = await self._dispatcher.acquire(
                self._ticket, frozenset({primary.backend.engine_id})
            )
            if not isinstance(outcome, requests.Refused):
                ends.append(await self._attempt(outcome))

    async def _attempt(self, grant: interface.Grant) -> interface.AttemptEnd:
        now = trio.current_time()
        self._record.attempt_times.append(now)
        if self._record.started_at is None:
            self._record.started_at = now
        end = interface.AttemptEnd.CANCELLED
        try:
            await trio.sleep(self._network_delay)
            end = await self._fakes[grant.backend.engine_id].run(
                self._record.arrival,
                self._record.relayed_tokens,
                grant,
                lambda tokens: self._deliver(grant, tokens),
            )
            return end
        finally:
            if self._caller_scope.cancel_called:
                end = interface.AttemptEnd.CALLER_LEFT
            grant.close(end)

    def _deliver(self, grant: interface.Grant, tokens: int) -> None:
        now = trio.current_time()
        if self._winner is None:
            self._winner = grant
            loser = (
                self._hedge_scope
                if grant is self._primary
                else self._primary_scope
            )
            loser.cancel()
        if self._winner is not grant:
            return
        self._caller_scope.deadline = float('inf')
        if self._record.first_token_at is None:
            self._record.first_token_at = now + 2 * self._network_delay
        self._record.relayed_tokens += tokens
        if now <= self._demand_end:
            self._record.tokens_before_demand_end += tokens
