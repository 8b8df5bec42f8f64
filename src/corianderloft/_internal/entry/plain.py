"""Runs a call of a plain service, with its retries."""

import dataclasses
import math

import trio
import xxhash

from corianderloft._internal.decisions import interface
from corianderloft._internal.entry import backend_responses
from corianderloft._internal.entry import calls
from corianderloft._internal.entry import components as host_components
from corianderloft._internal.entry import crash_guard
from corianderloft._internal.entry import records
from corianderloft._internal.entry import retrying
from corianderloft._internal.entry import timeouts
from corianderloft._internal.models import backends
from corianderloft._internal.models import crashes
from corianderloft._internal.models import ids
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests
from corianderloft._internal.models import states
from corianderloft._internal.network import engine_connection
from corianderloft._internal.network import memory
from corianderloft._internal.network import outbound
from corianderloft._internal.network import response_memory
from corianderloft._internal.shared import interface as shared_state

CLAIM_UPDATE_TIMEOUT_S = 5.0
"""Timeout for storing or releasing a claim, in seconds."""

MAX_ATTEMPTS = 16
"""Limit on the attempts of one call, whatever the retry rule allows."""

_DROPPED_RESPONSE_HEADERS = frozenset(
    {b'connection', b'content-length', b'keep-alive', b'transfer-encoding'}
)


@dataclasses.dataclass(frozen=True)
class PlainResponse:
    """A complete response of a plain service."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes

    @property
    def content_type(self) -> str:
        """Content type; ``application/octet-stream`` if there is none."""
        value = next(
            (v for n, v in self.headers if n.lower() == b'content-type'),
            b'application/octet-stream',
        )
        return value.decode('latin-1')


PlainResult = PlainResponse | requests.Refused


class PlainRelay:
    """All attempts of one call of a plain service.

    Parameters
    ----------
    components : HostComponents
        Components of the host.
    call : PlainCall
        The call.
    record : Record
        Record of the call's progress.
    request_memory : RequestMemory or None
        Bytes held for the call.
    """

    def __init__(
        self,
        components: host_components.HostComponents,
        call: calls.PlainCall,
        record: records.RequestRecord,
        request_memory: memory.RequestMemory | None = None,
    ) -> None:
        self._memory = response_memory.ResponseMemory(request_memory)
        self._components = components
        self._call = call
        self._record = record
        self._failed_engines: set[ids.EngineId] = set()
        self._claim_valid_until = math.inf
        self._crash_guard = crash_guard.CrashGuard(
            components.crashes,
            crashes.request_suspect(
                f'{call.method} {call.ticket.service}',
                call.target,
                call.ticket.workspace,
                call.body,
            ),
            record,
            components.settings.backends.connect_time,
        )

    async def run(self) -> PlainResult:
        """Return the response; with an idempotency key, run at most once."""
        if self._call.idempotency_key is None:
            return await self._send()
        claim = await self._components.shared.claim(
            self._call.ticket.workspace,
            self._call.ticket.service,
            self._call.idempotency_key,
            self._body_hash(),
        )
        if isinstance(claim, requests.Refused):
            return claim
        if isinstance(claim, shared_state.AlreadyDone):
            content_type = claim.content_type.encode('latin-1')
            return PlainResponse(
                claim.status, [(b'content-type', content_type)], claim.body
            )
        self._claim_valid_until = claim.valid_until
        return await self._send_claimed(claim)

    async def _send_claimed(self, claim: shared_state.Claimed) -> PlainResult:
        try:
            result = await self._send()
        except BaseException:
            await self._release(claim)
            raise
        if isinstance(result, PlainResponse):
            with _shielded_scope():
                await self._components.shared.finish_claim(
                    claim, result.status, result.content_type, result.body
                )
        else:
            await self._release(claim)
        return result

    async def _release(self, claim: shared_state.Claimed) -> None:
        """Release the claim, but only if the call certainly did not run."""
        if self._record.run_state() is not states.RunState.NOT_RUN:
            return
        with _shielded_scope():
            await self._components.shared.release_claim(claim)

    async def _send(self) -> PlainResult:
        ticket = self._call.ticket
        for count in range(1, MAX_ATTEMPTS + 1):
            refused = await self._crash_guard.refusal()
            if refused is not None:
                return refused
            grant = await self._components.dispatcher.acquire(
                ticket, self._failed_engines
            )
            if isinstance(grant, requests.Refused):
                return dataclasses.replace(grant, run=self._record.run_state())
            if trio.current_time() >= self._claim_valid_until:
                grant.close(interface.AttemptEnd.CANCELLED)
                return self._claim_expired()
            result = await self._run_attempt(grant)
            if isinstance(result, PlainResponse):
                self._crash_guard.record_complete()
                return result
            await self._crash_guard.check(
                grant.backend, result.end, result.may_have_run
            )
            decision = retrying.decide(
                self._components.dispatcher, ticket, result, count
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
        return requests.Refused(
            reasons.RefusalReason.RETRIES_EXHAUSTED,
            self._record.run_state(),
            f'no backend server ran the call in {MAX_ATTEMPTS} attempts',
        )

    async def _run_attempt(
        self, grant: interface.Grant
    ) -> PlainResponse | outbound.Failure:
        cfg = self._components.settings.backends
        self._components.connections.record_use(grant.backend)
        exchange = outbound.Outbound(
            self._components.connections,
            self._components.silence_watch,
            grant.backend,
            f'backend server {grant.backend.engine_id!r}',
            cfg.connect_time,
            grant.may_send,
        )
        attempt_record = self._record.begin_attempt(grant.backend.engine_id)
        attempt_record.end = interface.AttemptEnd.CANCELLED
        try:
            result = await self._fetch_response(exchange, grant.backend)
            attempt_record.end = interface.AttemptEnd.COMPLETE
            if isinstance(result, outbound.Failure):
                attempt_record.end = result.end
                attempt_record.may_have_run = result.may_have_run
                self._memory.discard()
                self._failed_engines.add(grant.backend.engine_id)
            else:
                grant.first_token()
                self._record.note_first_token()
            return result
        finally:
            grant.close(attempt_record.end)
            await exchange.close()

    async def _fetch_response(
        self, exchange: outbound.Outbound, backend: backends.Backend
    ) -> PlainResponse | outbound.Failure:
        cfg = self._components.settings.backends
        engine_id = backend.engine_id
        timeout_s = timeouts.first_token_timeout(
            cfg, self._call.origin.request_class
        )
        head = await exchange.send(self._build_request(), timeout_s)
        if isinstance(head, outbound.Failure):
            return head
        body = await self._read_body(exchange, head, backend, timeout_s)
        if isinstance(body, outbound.Failure):
            return body
        if backend_responses.reports_leaving(head.status, body):
            self._components.shared.note_backend_leaving(engine_id)
        failure = backend_responses.classify_service_response(head, engine_id)
        if failure is not None:
            return failure
        headers = [
            (name, value)
            for name, value in head.headers
            if name.lower() not in _DROPPED_RESPONSE_HEADERS
        ]
        return PlainResponse(head.status, headers, body)

    async def _read_body(
        self,
        exchange: outbound.Outbound,
        head: outbound.Head,
        backend: backends.Backend,
        timeout_s: float,
    ) -> bytes | outbound.Failure:
        """Return the body, if its end is not that of its server.

        The connections of a process that ends are closed, so a response
        without a length looks complete then.
        """
        cfg = self._components.settings.backends
        length = None
        if self._call.method != 'HEAD':
            length = engine_connection.announced_length(head.headers)
        if length is not None and length > cfg.max_answer_bytes:
            return outbound.Failure(
                interface.AttemptEnd.BACKEND_ERROR,
                True,
                f'the answer of {backend.engine_id!r} announces {length} '
                f'bytes, more than {cfg.max_answer_bytes}',
            )
        started = self._memory.start(length)
        if not started and not await self._memory.wait(length, timeout_s):
            return outbound.Failure(
                interface.AttemptEnd.BACKEND_ERROR,
                True,
                f'no memory for the answer of {backend.engine_id!r}',
            )
        if not head.ends_with_connection:
            return await exchange.read_all(
                cfg.max_answer_bytes, timeout_s, self._memory.reserve_part
            )
        other = await engine_connection.connect(
            backend.address, backend.port, cfg.connect_time
        )
        try:
            body = await exchange.read_all(
                cfg.max_answer_bytes, timeout_s, self._memory.reserve_part
            )
            if isinstance(body, outbound.Failure):
                return body
            ended = await engine_connection.has_ended_since(
                other, backend.address, backend.port, cfg.connect_time
            )
            if not ended and not exchange.was_reset():
                return body
        finally:
            if isinstance(other, engine_connection.EngineConnection):
                other.close()
        return outbound.Failure(
            interface.AttemptEnd.CONNECTION_LOST,
            True,
            f'backend server {backend.engine_id!r} ended or reset the '
            'connection with its response',
        )

    def _claim_expired(self) -> requests.Refused:
        return requests.Refused(
            reasons.RefusalReason.CLAIM_UNAVAILABLE,
            self._record.run_state(),
            f'the claim of key {self._call.idempotency_key!r} ran out before '
            'the call was sent',
            retrying.RETRY_AFTER_S,
        )

    def _build_request(self) -> outbound.Message:
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


def _shielded_scope() -> trio.CancelScope:
    """Return a timeout scope shielded from cancellation by a drain."""
    deadline = trio.current_time() + CLAIM_UPDATE_TIMEOUT_S
    return trio.CancelScope(deadline=deadline, shield=True)
