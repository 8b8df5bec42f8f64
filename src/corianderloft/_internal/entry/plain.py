"""Carries one call of a plain service to a backend server."""

import dataclasses
import math

import trio
import xxhash

from corianderloft._internal.decisions import interface
from corianderloft._internal.entry import backend_responses
from corianderloft._internal.entry import calls
from corianderloft._internal.entry import components as entry_components
from corianderloft._internal.entry import records
from corianderloft._internal.entry import retrying
from corianderloft._internal.entry import timeouts
from corianderloft._internal.models import ids
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests
from corianderloft._internal.models import states
from corianderloft._internal.network import outbound
from corianderloft._internal.shared import interface as shared_state

CLAIM_TIME = 5.0
"""Time for the outcome of a claimed call to be kept, in seconds."""

MAX_ATTEMPTS = 16
"""Attempts of one call, whatever the retry rule says."""

_NOT_PASSED_BACK = frozenset(
    {b'connection', b'content-length', b'keep-alive', b'transfer-encoding'}
)


@dataclasses.dataclass(frozen=True)
class PlainAnswer:
    """A whole answer of a plain service."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes

    @property
    def content_type(self) -> str:
        """The content type, or that of bytes."""
        value = next(
            (v for n, v in self.headers if n.lower() == b'content-type'),
            b'application/octet-stream',
        )
        return value.decode('latin-1')


Ended = PlainAnswer | requests.Refused


class PlainRelay:
    """All attempts of one call of a plain service.

    Parameters
    ----------
    parts : Parts
        Parts of the host.
    call : PlainCall
        The call.
    record : Record
        What happens to it.
    """

    def __init__(
        self,
        parts: entry_components.Parts,
        call: calls.PlainCall,
        record: records.Record,
    ) -> None:
        self._parts = parts
        self._call = call
        self._record = record
        self._failed: set[ids.EngineId] = set()
        self._valid_until = math.inf

    async def run(self) -> Ended:
        """Return the answer; with a key, the call runs at most once."""
        if self._call.key is None:
            return await self._send()
        claim = await self._parts.shared.claim(
            self._call.ticket.workspace,
            self._call.ticket.service,
            self._call.key,
            self._body_hash(),
        )
        if isinstance(claim, requests.Refused):
            return claim
        if isinstance(claim, shared_state.AlreadyDone):
            content_type = claim.content_type.encode('latin-1')
            return PlainAnswer(
                claim.status, [(b'content-type', content_type)], claim.body
            )
        self._valid_until = claim.valid_until
        return await self._send_claimed(claim)

    async def _send_claimed(self, claim: shared_state.Claimed) -> Ended:
        try:
            ended = await self._send()
        except BaseException:
            await self._release(claim)
            raise
        if isinstance(ended, PlainAnswer):
            with _bounded():
                await self._parts.shared.finish_claim(
                    claim, ended.status, ended.content_type, ended.body
                )
        else:
            await self._release(claim)
        return ended

    async def _release(self, claim: shared_state.Claimed) -> None:
        """Give the claim back, but only if the call certainly did not run."""
        if self._record.run_state() is not states.RunState.NOT_RUN:
            return
        with _bounded():
            await self._parts.shared.release_claim(claim)

    async def _send(self) -> Ended:
        ticket = self._call.ticket
        for count in range(1, MAX_ATTEMPTS + 1):
            grant = await self._parts.dispatcher.acquire(ticket, self._failed)
            if isinstance(grant, requests.Refused):
                return dataclasses.replace(grant, run=self._record.run_state())
            if trio.current_time() >= self._valid_until:
                grant.close(interface.AttemptEnd.CANCELLED)
                return self._claim_ran_out()
            ended = await self._once(grant)
            if isinstance(ended, PlainAnswer):
                return ended
            decision = retrying.decide(
                self._parts.dispatcher, ticket, ended, count
            )
            if isinstance(decision, interface.GiveUp):
                return retrying.given_up(
                    ended,
                    decision.reason,
                    self._record.run_state(),
                    ticket.idempotent,
                )
            await trio.sleep(decision.delay)
        return requests.Refused(
            reasons.RefusalReason.RETRIES_EXHAUSTED,
            self._record.run_state(),
            f'no backend server ran the call in {MAX_ATTEMPTS} attempts',
        )

    async def _once(
        self, grant: interface.Grant
    ) -> PlainAnswer | outbound.Failure:
        cfg = self._parts.settings.backends
        self._parts.kept.note_use(grant.backend)
        exchange = outbound.Outbound(
            self._parts.kept,
            self._parts.watch,
            grant.backend,
            f'backend server {grant.backend.engine_id!r}',
            cfg.connect_time,
        )
        noted = self._record.begin_try(grant.backend.engine_id)
        noted.end = interface.AttemptEnd.CANCELLED
        try:
            ended = await self._answer(exchange, grant.backend.engine_id)
            noted.end = interface.AttemptEnd.COMPLETE
            if isinstance(ended, outbound.Failure):
                noted.end = ended.end
                noted.may_have_run = ended.may_have_run
                self._failed.add(grant.backend.engine_id)
            else:
                grant.first_token()
                self._record.note_first_token()
            return ended
        finally:
            grant.close(noted.end)
            await exchange.close()

    async def _answer(
        self, exchange: outbound.Outbound, engine_id: ids.EngineId
    ) -> PlainAnswer | outbound.Failure:
        cfg = self._parts.settings.backends
        bound = timeouts.first_silence(cfg, self._call.origin.request_class)
        head = await exchange.send(self._message(), bound)
        if isinstance(head, outbound.Failure):
            return head
        body = await exchange.read_all(cfg.max_answer_bytes, bound)
        if isinstance(body, outbound.Failure):
            return body
        if backend_responses.says_leaving(head.status, body):
            self._parts.shared.note_backend_leaving(engine_id)
        verdict = backend_responses.of_service(head, engine_id)
        if verdict is not None:
            return verdict
        headers = [
            (name, value)
            for name, value in head.headers
            if name.lower() not in _NOT_PASSED_BACK
        ]
        return PlainAnswer(head.status, headers, body)

    def _claim_ran_out(self) -> requests.Refused:
        return requests.Refused(
            reasons.RefusalReason.CLAIM_UNAVAILABLE,
            self._record.run_state(),
            f'the claim of key {self._call.key!r} ran out before the call '
            'was sent',
            retrying.RETRY_TIME,
        )

    def _message(self) -> outbound.Message:
        request_id = self._call.ticket.request_id.encode('ascii')
        return outbound.Message(
            self._call.method,
            self._call.target,
            [*self._call.headers, (b'x-request-id', request_id)],
            self._call.body,
            self._call.ticket.idempotent,
        )

    def _body_hash(self) -> str:
        digest = xxhash.xxh3_128(self._call.method.encode())
        digest.update(b'\n' + self._call.target + b'\n' + self._call.body)
        return str(digest.hexdigest())


def _bounded() -> trio.CancelScope:
    """Return a scope that a drain does not cut short."""
    until = trio.current_time() + CLAIM_TIME
    return trio.CancelScope(deadline=until, shield=True)
