"""One attempt of a chat completion on one engine."""

import dataclasses

import orjson

from corianderloft._internal.decisions import interface
from corianderloft._internal.entry import backend_responses
from corianderloft._internal.entry import calls
from corianderloft._internal.entry import components as host_components
from corianderloft._internal.entry import inflight
from corianderloft._internal.entry import records
from corianderloft._internal.entry import sse
from corianderloft._internal.entry import stream_relay
from corianderloft._internal.entry import timeouts
from corianderloft._internal.models import requests
from corianderloft._internal.network import memory
from corianderloft._internal.network import outbound
from corianderloft._internal.network import response_memory

MAX_ERROR_BYTES = 65536
"""Limit on the body of an engine's error response, in bytes."""

_CHAT_PATH = b'/v1/chat/completions'


@dataclasses.dataclass(frozen=True)
class ResponseStarted:
    """The engine has started to respond.

    Attributes
    ----------
    data : bytes
        The whole body or, of a stream, the first events.
    tokens : int
        Token count of a whole body.
    """

    data: bytes
    tokens: int = 0


StartResult = ResponseStarted | outbound.Failure | requests.Refused


class Attempt:
    """One attempt, from its grant until the slot is released.

    Parameters
    ----------
    components : HostComponents
        Components of the host.
    call : ChatCall
        The request.
    grant : Grant
        Permission of the dispatcher; closed exactly once by `close`.
    attempt_record : AttemptRecord
        The attempt's entry in the request's record.
    task : RequestTask or None
        Task that the attempt is part of.
    """

    def __init__(
        self,
        components: host_components.HostComponents,
        call: calls.ChatCall,
        grant: interface.Grant,
        attempt_record: records.AttemptRecord,
        task: inflight.RequestTask | None,
        request_memory: memory.RequestMemory | None = None,
    ) -> None:
        self._memory = response_memory.ResponseMemory(request_memory)
        cfg = components.settings.backends
        request_class = call.origin.request_class
        self.backend = grant.backend
        self._cfg = cfg
        self._components = components
        self._call = call
        self._grant = grant
        self._attempt_record = attempt_record
        self._task = task
        self._closed = False
        self._failure: outbound.Failure | None = None
        self._sent_priority = grant.priority
        self._event_buffer = sse.EventBuffer()
        self._first_token_timeout_s = timeouts.first_token_timeout(
            cfg, request_class
        )
        self._token_gap_timeout_s = timeouts.token_gap_timeout(
            cfg, request_class
        )
        self._outbound = outbound.Outbound(
            components.connections,
            components.silence_watch,
            grant.backend,
            f'engine {grant.backend.engine_id!r}',
            cfg.connect_time,
            grant.may_send,
        )

    async def start(self, resume_after: int) -> StartResult:
        """Send the request and wait for the first data of the response.

        Parameters
        ----------
        resume_after : int
            Tokens that the caller already has; the engine resumes after
            them.
        """
        self._components.connections.record_use(self.backend)
        head = await self._outbound.send(
            self._build_request(resume_after), self._first_token_timeout_s
        )
        if isinstance(head, outbound.Failure):
            return self._record_failure(head)
        if head.status != 200:
            return await self._handle_error_response(head, resume_after)
        if not self._call.stream:
            return await self._read_whole_response()
        return await self._read_first_events(resume_after)

    async def relay(
        self, first_events: bytes, sink: stream_relay.Sink
    ) -> outbound.Failure | None:
        """Relay a stream until its end.

        Chunks that have arrived together are sent in one write; complete
        events are never delayed to wait for more.

        Parameters
        ----------
        first_events : bytes
            Events that `start` returned.
        sink : Sink
            Receives the events.
        """
        stream = stream_relay.StreamRelay(
            self._event_buffer, self._report_tokens, sink, first_events
        )
        with self._components.silence_watch.guard(
            self._token_gap_timeout_s
        ) as guard:

            async def before_read() -> None:
                guard.end_wait()
                if await stream.flush():
                    guard.start_wait()
                else:
                    guard.resume_wait()

            self._outbound.set_read_hook(before_read)
            try:
                failure = await self._read_into(stream)
            except ValueError as exc:
                return self._record_failure(self._connection_lost(str(exc)))
            if failure is not None:
                return self._record_failure(failure)
            if not stream.complete:
                return self._record_failure(
                    self._connection_lost('its answer is cut')
                )
            return None
        if stream.complete:
            return None
        return self._record_failure(
            self._outbound.silence_failure(self._token_gap_timeout_s)
        )

    async def close(self, end: interface.AttemptEnd) -> None:
        """Release the slot, and cancel the response if it is unfinished."""
        if self._closed:
            return
        self._closed = True
        if end is interface.AttemptEnd.CANCELLED and self._caller_left():
            end = interface.AttemptEnd.CALLER_LEFT
        self._attempt_record.end = end
        self._grant.close(end)
        self._components.priority_updater.discard(
            self.backend, self._call.ticket.request_id
        )
        await self._outbound.close()

    def _caller_left(self) -> bool:
        return (
            self._task is not None
            and self._task.reason is inflight.StopReason.CALLER_LEFT
        )

    def _report_tokens(self, tokens: int) -> None:
        self._grant.progress(tokens)
        if self._grant.priority == self._sent_priority:
            return
        self._sent_priority = self._grant.priority
        self._components.priority_updater.schedule(
            self.backend, self._call.ticket.request_id, self._sent_priority
        )

    async def _read_into(
        self, stream: stream_relay.StreamRelay
    ) -> outbound.Failure | None:
        while True:
            data = await self._outbound.read()
            if isinstance(data, outbound.Failure):
                await stream.flush()
                return data
            if data is None:
                await stream.flush()
                return None
            stream.pending_chunks.append(data)

    async def _read_first_events(self, resume_after: int) -> StartResult:
        with self._components.silence_watch.guard(
            self._first_token_timeout_s
        ) as guard:
            guard.start_wait()
            while True:
                data = await self._outbound.read()
                if isinstance(data, outbound.Failure):
                    return self._record_failure(data)
                if data is None:
                    return self._record_failure(
                        self._connection_lost('its answer is empty')
                    )
                try:
                    events = sse.events_after(
                        self._event_buffer.feed(data), resume_after
                    )
                except ValueError as exc:
                    return self._record_failure(
                        self._connection_lost(str(exc))
                    )
                if events == sse.DONE and not resume_after:
                    return self._record_failure(
                        self._connection_lost('its answer is empty')
                    )
                if sse.has_content(events):
                    self._grant.first_token()
                    return ResponseStarted(events)
        return self._record_failure(
            self._outbound.silence_failure(self._first_token_timeout_s)
        )

    async def _read_whole_response(self) -> StartResult:
        body = await self._outbound.read_all(
            self._cfg.max_answer_bytes,
            timeouts.whole_response_timeout(
                self._cfg,
                self._call.origin.request_class,
                self._call.ticket.max_tokens,
            ),
            self._memory.reserve_part,
        )
        if isinstance(body, outbound.Failure):
            self._memory.discard()
            return self._record_failure(body)
        tokens = backend_responses.completion_tokens(body)
        if tokens is None:
            return self._record_failure(
                self._connection_lost('its answer is no completion')
            )
        self._grant.first_token()
        self._grant.progress(tokens)
        return ResponseStarted(body, tokens)

    async def _handle_error_response(
        self, head: outbound.Head, resume_after: int
    ) -> StartResult:
        body = await self._outbound.read_all(
            MAX_ERROR_BYTES, self._first_token_timeout_s
        )
        if isinstance(body, outbound.Failure):
            return self._record_failure(body)
        if backend_responses.reports_leaving(head.status, body):
            self._components.shared.note_backend_leaving(
                self.backend.engine_id
            )
        outcome = backend_responses.classify_engine_error(
            self.backend.engine_id, head.status, body, resume_after > 0
        )
        if isinstance(outcome, requests.Refused):
            self._attempt_record.may_have_run = False
            return outcome
        return self._record_failure(outcome)

    def _build_request(self, resume_after: int) -> outbound.Message:
        body = dict(self._call.body)
        body['model'] = self.backend.model
        body['priority'] = self._sent_priority
        headers = [
            (b'content-type', b'application/json'),
            (b'x-request-id', self._call.ticket.request_id.encode('ascii')),
        ]
        if resume_after:
            headers.append((b'last-event-id', b'%d' % resume_after))
        return outbound.Message(
            'POST',
            _CHAT_PATH,
            headers,
            orjson.dumps(body),
            self._call.ticket.idempotent,
        )

    @property
    def failure(self) -> outbound.Failure | None:
        """How the attempt failed; None if it did not."""
        return self._failure

    def _record_failure(self, failure: outbound.Failure) -> outbound.Failure:
        self._failure = failure
        self._attempt_record.end = failure.end
        self._attempt_record.may_have_run = failure.may_have_run
        return failure

    def _connection_lost(self, cause: str) -> outbound.Failure:
        return outbound.Failure(
            interface.AttemptEnd.CONNECTION_LOST,
            True,
            f'engine {self.backend.engine_id!r}: {cause}',
        )
