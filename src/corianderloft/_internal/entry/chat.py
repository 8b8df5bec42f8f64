"""Carries one chat completion through all its attempts."""

import dataclasses

import trio

from corianderloft._internal.decisions import interface
from corianderloft._internal.entry import attempts
from corianderloft._internal.entry import components as entry_components
from corianderloft._internal.entry import hedging
from corianderloft._internal.entry import responses
from corianderloft._internal.entry import retrying
from corianderloft._internal.metrics import reasons as counts
from corianderloft._internal.models import ids
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests
from corianderloft._internal.models import states
from corianderloft._internal.network import outbound


@dataclasses.dataclass(frozen=True)
class Completed:
    """The whole answer came; ``body`` is empty when it was streamed."""

    body: bytes = b''


class ChatRelay:
    """All attempts of one chat completion.

    Parameters
    ----------
    parts : Parts
        Parts of the host.
    answer : Answer
        Where the events go; its tokens say where the answer goes on.
    """

    def __init__(
        self, parts: entry_components.Parts, answer: responses.Answer
    ) -> None:
        self._parts = parts
        self._answer = answer
        self._call = answer.call
        self._record = answer.record
        self._failed: set[ids.EngineId] = set()
        self._model: ids.ModelVersion | None = answer.model
        self._count = 0

    async def run(self) -> Completed | requests.Refused:
        """Send the request until its whole answer went to the caller."""
        ticket = self._ticket()
        while True:
            ended = await self._once(ticket)
            if isinstance(ended, (Completed, requests.Refused)):
                return ended
            decision = retrying.decide(
                self._parts.dispatcher,
                ticket,
                ended,
                self._count,
                self._answer.tokens,
            )
            if isinstance(decision, interface.GiveUp):
                return retrying.given_up(
                    ended,
                    decision.reason,
                    self._record.run_state(),
                    ticket.idempotent,
                )
            await trio.sleep(decision.delay)
            ticket = self._ticket()

    async def _once(
        self, ticket: requests.Ticket
    ) -> Completed | requests.Refused | outbound.Failure:
        """Make one attempt, or two when the first is hedged."""
        first = await self._start(ticket)
        if isinstance(first, requests.Refused):
            return self._refused(first)
        race = hedging.Race(self._answer.tokens)
        result = await race.run(
            first,
            self._hedge_delay(ticket),
            lambda: self._start_second(ticket, first),
        )
        if isinstance(result, hedging.Lost):
            self._failed |= {a.backend.engine_id for a in result.attempts}
            self._count += len(result.attempts)
            return (
                self._refused(result.cause)
                if isinstance(result.cause, requests.Refused)
                else result.cause
            )
        return await self._finish(result)

    async def _finish(self, won: hedging.Won) -> Completed | outbound.Failure:
        attempt = won.attempt
        end = interface.AttemptEnd.CANCELLED
        self._record.note_first_token()
        try:
            if not self._call.stream:
                end = interface.AttemptEnd.COMPLETE
                self._record.tokens = won.opened.tokens
                return Completed(won.opened.first)
            self._answer.model = self._model = attempt.backend.model
            failure = await attempt.relay(won.opened.first, self._answer)
            end = failure.end if failure else interface.AttemptEnd.COMPLETE
            self._failed.add(attempt.backend.engine_id)
            self._count += 1
            return Completed() if failure is None else failure
        finally:
            if self._answer.complete:
                end = interface.AttemptEnd.COMPLETE
            await attempt.close(end)

    async def _start(
        self, ticket: requests.Ticket
    ) -> attempts.Attempt | requests.Refused:
        grant = await self._parts.dispatcher.acquire(
            ticket, self._failed | self._other_models()
        )
        if isinstance(grant, requests.Refused):
            return grant
        noted = self._record.begin_try(grant.backend.engine_id)
        return attempts.Attempt(
            self._parts, self._call, grant, noted, self._answer.running
        )

    async def _start_second(
        self, ticket: requests.Ticket, first: attempts.Attempt
    ) -> attempts.Attempt | requests.Refused:
        self._failed.add(first.backend.engine_id)
        second = await self._start(ticket)
        if isinstance(second, attempts.Attempt):
            counts.count(reasons.RetryReason.HEDGE)
        return second

    def _hedge_delay(self, ticket: requests.Ticket) -> float | None:
        if not ticket.idempotent or self._answer.tokens:
            return None
        return self._parts.dispatcher.hedge_after(ticket)

    def _other_models(self) -> frozenset[ids.EngineId]:
        """Return the engines that cannot go on with a begun answer."""
        if self._model is None:
            return frozenset()
        return frozenset(
            backend.engine_id
            for backend in self._parts.shared.current_backends()
            if backend.service == self._call.origin.service.name
            and backend.model != self._model
        )

    def _ticket(self) -> requests.Ticket:
        """Return the ticket of what is left of the request."""
        ticket = self._call.ticket
        done = self._answer.tokens
        if not done:
            return ticket
        deadline = self._call.origin.request_class.deadline
        return dataclasses.replace(
            ticket,
            start_by=trio.current_time() + deadline,
            prompt_tokens=ticket.prompt_tokens + done,
            max_tokens=max(1, ticket.max_tokens - done),
        )

    def _refused(self, refused: requests.Refused) -> requests.Refused:
        """Say truly whether earlier attempts may have run."""
        if self._record.run_state() is states.RunState.NOT_RUN:
            return refused
        return dataclasses.replace(refused, run=self._record.run_state())
