"""One attempt of a chat completion on one engine."""

import dataclasses

import orjson

from corianderloft._internal.decisions import interface
from corianderloft._internal.entry import backend_responses
from corianderloft._internal.entry import calls
from corianderloft._internal.entry import components as entry_components
from corianderloft._internal.entry import inflight
from corianderloft._internal.entry import records
from corianderloft._internal.entry import sse
from corianderloft._internal.entry import stream_relay
from corianderloft._internal.entry import timeouts
from corianderloft._internal.models import requests
from corianderloft._internal.network import outbound

MAX_ERROR_BYTES = 65536
"""Longest body of an engine's error that is read."""

_TARGET = b'/v1/chat/completions'


@dataclasses.dataclass(frozen=True)
class Opened:
    """The answer has begun.

    Attributes
    ----------
    first : bytes
        Its whole body, or its first events.
    tokens : int
        Tokens of a whole body.
    """

    first: bytes
    tokens: int = 0


Opening = Opened | outbound.Failure | requests.Refused


class Attempt:
    """One attempt, from its grant until the slot is given back.

    Parameters
    ----------
    parts : Parts
        Parts of the host.
    call : ChatCall
        The request.
    grant : Grant
        Permission of the dispatcher; closed exactly once by `close`.
    noted : Try
        The attempt in the request's record.
    running : Running or None
        The work that the attempt is part of.
    """

    def __init__(
        self,
        parts: entry_components.Parts,
        call: calls.ChatCall,
        grant: interface.Grant,
        noted: records.Try,
        running: inflight.Running | None,
    ) -> None:
        cfg = parts.settings.backends
        request_class = call.origin.request_class
        self.backend = grant.backend
        self._cfg = cfg
        self._parts = parts
        self._call = call
        self._grant = grant
        self._noted = noted
        self._running = running
        self._closed = False
        self._priority = grant.priority
        self._cutter = sse.EventBuffer()
        self._first_bound = timeouts.first_silence(cfg, request_class)
        self._gap_bound = max(
            cfg.silent_floor, cfg.silent_gaps * request_class.token_gap_target
        )
        self._outbound = outbound.Outbound(
            parts.kept,
            parts.watch,
            grant.backend,
            f'engine {grant.backend.engine_id!r}',
            cfg.connect_time,
        )

    async def open(self, have: int) -> Opening:
        """Send the request and wait until the answer begins.

        Parameters
        ----------
        have : int
            Tokens that the caller has; the engine continues behind them.
        """
        self._parts.kept.note_use(self.backend)
        head = await self._outbound.send(
            self._message(have), self._first_bound
        )
        if isinstance(head, outbound.Failure):
            return self._failed(head)
        if head.status != 200:
            return await self._not_served(head, have)
        if not self._call.stream:
            return await self._whole()
        return await self._first_events(have)

    async def relay(
        self, first: bytes, sink: stream_relay.Sink
    ) -> outbound.Failure | None:
        """Pass a stream on until its end.

        What has arrived together goes out together, and nothing is held
        back to wait for more.

        Parameters
        ----------
        first : bytes
            Events that `open` returned.
        sink : Sink
            Where the events go.
        """
        stream = stream_relay.Relayed(
            self._cutter, self._saw_tokens, sink, first
        )
        with self._parts.watch.guard(self._gap_bound) as guard:

            async def before_read() -> None:
                guard.wait_ends()
                await stream.flush()
                guard.wait_begins()

            self._outbound.hook(before_read)
            try:
                failure = await self._read_into(stream)
            except ValueError as exc:
                return self._failed(self._broken(str(exc)))
            if failure is not None:
                return self._failed(failure)
            if not stream.complete:
                return self._failed(self._broken('its answer is cut'))
            return None
        if stream.complete:
            return None
        return self._failed(self._outbound.gone_silent(self._gap_bound))

    async def close(self, end: interface.AttemptEnd) -> None:
        """Give the slot back; a running answer is cancelled thereby."""
        if self._closed:
            return
        self._closed = True
        if end is interface.AttemptEnd.CANCELLED and self._caller_left():
            end = interface.AttemptEnd.CALLER_LEFT
        self._noted.end = end
        self._grant.close(end)
        self._parts.priorities.forget(
            self.backend, self._call.ticket.request_id
        )
        await self._outbound.close()

    def _caller_left(self) -> bool:
        return (
            self._running is not None
            and self._running.reason is inflight.StopReason.CALLER_LEFT
        )

    def _saw_tokens(self, tokens: int) -> None:
        self._grant.progress(tokens)
        if self._grant.priority == self._priority:
            return
        self._priority = self._grant.priority
        self._parts.priorities.change(
            self.backend, self._call.ticket.request_id, self._priority
        )

    async def _read_into(
        self, stream: stream_relay.Relayed
    ) -> outbound.Failure | None:
        while True:
            data = await self._outbound.read()
            if isinstance(data, outbound.Failure):
                await stream.flush()
                return data
            if data is None:
                await stream.flush()
                return None
            stream.pieces.append(data)

    async def _first_events(self, have: int) -> Opening:
        with self._parts.watch.guard(self._first_bound) as guard:
            while True:
                guard.wait_begins()
                data = await self._outbound.read()
                if isinstance(data, outbound.Failure):
                    return self._failed(data)
                if data is None:
                    return self._failed(self._broken('its answer is empty'))
                try:
                    events = sse.events_after(self._cutter.feed(data), have)
                except ValueError as exc:
                    return self._failed(self._broken(str(exc)))
                if events == sse.DONE and not have:
                    return self._failed(self._broken('its answer is empty'))
                if events:
                    self._grant.first_token()
                    return Opened(events)
        return self._failed(self._outbound.gone_silent(self._first_bound))

    async def _whole(self) -> Opening:
        generating = self._call.ticket.max_tokens * self._gap_bound
        body = await self._outbound.read_all(
            self._cfg.max_answer_bytes, self._first_bound + generating
        )
        if isinstance(body, outbound.Failure):
            return self._failed(body)
        tokens = backend_responses.completion_tokens(body)
        if tokens is None:
            return self._failed(self._broken('its answer is no completion'))
        self._grant.first_token()
        self._grant.progress(tokens)
        return Opened(body, tokens)

    async def _not_served(self, head: outbound.Head, have: int) -> Opening:
        body = await self._outbound.read_all(
            MAX_ERROR_BYTES, self._first_bound
        )
        if isinstance(body, outbound.Failure):
            return self._failed(body)
        if backend_responses.says_leaving(head.status, body):
            self._parts.shared.note_backend_leaving(self.backend.engine_id)
        verdict = backend_responses.of_engine(
            self.backend.engine_id, head.status, body, have > 0
        )
        if isinstance(verdict, requests.Refused):
            self._noted.may_have_run = False
            return verdict
        return self._failed(verdict)

    def _message(self, have: int) -> outbound.Message:
        body = dict(self._call.body)
        body['model'] = self.backend.model
        body['priority'] = self._priority
        headers = [
            (b'content-type', b'application/json'),
            (b'x-request-id', self._call.ticket.request_id.encode('ascii')),
        ]
        if have:
            headers.append((b'last-event-id', b'%d' % have))
        return outbound.Message(
            'POST',
            _TARGET,
            headers,
            orjson.dumps(body),
            self._call.ticket.idempotent,
        )

    def _failed(self, failure: outbound.Failure) -> outbound.Failure:
        self._noted.end = failure.end
        self._noted.may_have_run = failure.may_have_run
        return failure

    def _broken(self, cause: str) -> outbound.Failure:
        return outbound.Failure(
            interface.AttemptEnd.CONNECTION_LOST,
            True,
            f'engine {self.backend.engine_id!r}: {cause}',
        )
