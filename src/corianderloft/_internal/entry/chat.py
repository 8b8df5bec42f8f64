"""Runs a chat completion, with its hedges and retries."""

import dataclasses

import orjson
import trio

from corianderloft._internal.decisions import interface
from corianderloft._internal.entry import attempts
from corianderloft._internal.entry import calls
from corianderloft._internal.entry import components as host_components
from corianderloft._internal.entry import crash_guard
from corianderloft._internal.entry import hedging
from corianderloft._internal.entry import responses
from corianderloft._internal.entry import retrying
from corianderloft._internal.metrics import reasons as counts
from corianderloft._internal.models import crashes
from corianderloft._internal.models import ids
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests
from corianderloft._internal.models import states
from corianderloft._internal.network import outbound


@dataclasses.dataclass(frozen=True)
class Completed:
    """The response is complete; ``body`` is empty if it was streamed."""

    body: bytes = b''


class ChatRelay:
    """All attempts of one chat completion.

    Parameters
    ----------
    components : HostComponents
        Components of the host.
    response : ChatResponse
        Receives the events; generation resumes after its tokens.
    """

    def __init__(
        self,
        components: host_components.HostComponents,
        response: responses.ChatResponse,
    ) -> None:
        self._components = components
        self._response = response
        self._call = response.call
        self._record = response.record
        self._failed_engines: set[ids.EngineId] = set()
        self._model_version: ids.ModelVersion | None = response.model
        self._attempt_count = 0
        self._crash_guard = crash_guard.CrashGuard(
            components.crashes,
            _suspect(self._call),
            self._record,
            components.settings.backends.connect_time,
        )

    async def run(self) -> Completed | requests.Refused:
        """Attempt the request until it is complete or refused."""
        ticket = self._remaining_ticket()
        while True:
            refused = await self._crash_guard.refusal()
            if refused is not None:
                return refused
            result = await self._run_attempts(ticket)
            if isinstance(result, Completed):
                self._crash_guard.record_complete()
            if isinstance(result, (Completed, requests.Refused)):
                return result
            decision = retrying.decide(
                self._components.dispatcher,
                ticket,
                result,
                self._attempt_count,
                self._response.tokens,
            )
            if self._crash_guard.stops_retries():
                decision = retrying.CRASHES
            if isinstance(decision, interface.GiveUp):
                return retrying.give_up(
                    result,
                    decision.reason,
                    self._record.run_state(),
                    ticket.idempotent,
                )
            await trio.sleep(decision.delay)
            ticket = self._remaining_ticket()

    async def _run_attempts(
        self, ticket: requests.Ticket
    ) -> Completed | requests.Refused | outbound.Failure:
        """Make one attempt, or two when the first is hedged."""
        first = await self._begin_attempt(ticket)
        if isinstance(first, requests.Refused):
            return self._with_run_state(first)
        race = hedging.Race(self._response.tokens)
        result = await race.run(
            first,
            self._hedge_delay(ticket),
            lambda: self._begin_hedge(ticket, first),
        )
        if isinstance(result, hedging.AllFailed):
            self._failed_engines |= {
                a.backend.engine_id for a in result.attempts
            }
            self._attempt_count += len(result.attempts)
            for attempt in result.attempts:
                await self._check_crash(attempt)
            return (
                self._with_run_state(result.last_failure)
                if isinstance(result.last_failure, requests.Refused)
                else result.last_failure
            )
        return await self._relay_winner(result)

    async def _relay_winner(
        self, winner: hedging.Winner
    ) -> Completed | outbound.Failure:
        attempt = winner.attempt
        end = interface.AttemptEnd.CANCELLED
        self._record.note_first_token()
        try:
            if not self._call.stream:
                end = interface.AttemptEnd.COMPLETE
                self._record.tokens = winner.started.tokens
                return Completed(winner.started.data)
            self._response.model = self._model_version = attempt.backend.model
            failure = await attempt.relay(winner.started.data, self._response)
            end = failure.end if failure else interface.AttemptEnd.COMPLETE
            self._failed_engines.add(attempt.backend.engine_id)
            self._attempt_count += 1
            await self._check_crash(attempt)
            return Completed() if failure is None else failure
        finally:
            if self._response.complete:
                end = interface.AttemptEnd.COMPLETE
            await attempt.close(end)

    async def _check_crash(self, attempt: attempts.Attempt) -> None:
        failure = attempt.failure
        if failure is not None:
            await self._crash_guard.check(
                attempt.backend, failure.end, failure.may_have_run
            )

    async def _begin_attempt(
        self, ticket: requests.Ticket
    ) -> attempts.Attempt | requests.Refused:
        grant = await self._components.dispatcher.acquire(
            ticket, self._failed_engines | self._incompatible_engines()
        )
        if isinstance(grant, requests.Refused):
            return grant
        attempt_record = self._record.begin_attempt(grant.backend.engine_id)
        receiver = self._response.receiver
        return attempts.Attempt(
            self._components,
            self._call,
            grant,
            attempt_record,
            self._response.task,
            receiver.memory if receiver is not None else None,
        )

    async def _begin_hedge(
        self, ticket: requests.Ticket, first: attempts.Attempt
    ) -> attempts.Attempt | requests.Refused:
        self._failed_engines.add(first.backend.engine_id)
        second = await self._begin_attempt(ticket)
        if isinstance(second, attempts.Attempt):
            counts.count(reasons.RetryReason.HEDGE)
        return second

    def _hedge_delay(self, ticket: requests.Ticket) -> float | None:
        if not ticket.idempotent or self._response.tokens:
            return None
        return self._components.dispatcher.hedge_after(ticket)

    def _incompatible_engines(self) -> frozenset[ids.EngineId]:
        """Return the engines that cannot resume a started response.

        Only engines with the same model version can.
        """
        if self._model_version is None:
            return frozenset()
        return frozenset(
            backend.engine_id
            for backend in self._components.shared.current_backends()
            if backend.service == self._call.origin.service.name
            and backend.model != self._model_version
        )

    def _remaining_ticket(self) -> requests.Ticket:
        """Return the ticket for the rest of the request."""
        ticket = self._call.ticket
        delivered = self._response.tokens
        if not delivered:
            return ticket
        deadline = self._call.origin.request_class.deadline
        return dataclasses.replace(
            ticket,
            start_by=trio.current_time() + deadline,
            prompt_tokens=ticket.prompt_tokens + delivered,
            max_tokens=max(1, ticket.max_tokens - delivered),
        )

    def _with_run_state(self, refused: requests.Refused) -> requests.Refused:
        """Correct the refusal if an earlier attempt may have run."""
        if self._record.run_state() is states.RunState.NOT_RUN:
            return refused
        return dataclasses.replace(refused, run=self._record.run_state())


def _suspect(call: calls.ChatCall) -> ids.SuspectId:
    """Return what identifies a request if its caller sends it again.

    A seed that the caller did not set is new each time.
    """
    body = {
        name: value
        for name, value in call.body.items()
        if name != 'seed' or call.seeded
    }
    return crashes.request_suspect(
        'POST',
        call.ticket.service.encode(),
        call.ticket.workspace,
        orjson.dumps(body, option=orjson.OPT_SORT_KEYS),
    )
