"""Handlers of chat completions on the callers' port."""

import dataclasses

import trio

from corianderloft._internal.entry import calls
from corianderloft._internal.entry import chat
from corianderloft._internal.entry import checks
from corianderloft._internal.entry import components as entry_components
from corianderloft._internal.entry import inflight
from corianderloft._internal.entry import origins
from corianderloft._internal.entry import records
from corianderloft._internal.entry import refusals
from corianderloft._internal.entry import responses
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests
from corianderloft._internal.models import states
from corianderloft._internal.network import exchange

_Reason = reasons.RefusalReason

_STOPPED: dict[inflight.StopReason, reasons.RefusalReason] = {
    inflight.StopReason.CANCELLED: _Reason.CANCELLED,
    inflight.StopReason.DRAINING: _Reason.DRAINING,
}


class ChatHandlers:
    """Begins, resumes and cancels chat completions.

    Parameters
    ----------
    parts : Parts
        Parts of the host.
    """

    def __init__(self, parts: entry_components.Parts) -> None:
        self._parts = parts
        self._cfg = parts.settings.callers

    async def begin(self, http: exchange.Exchange) -> None:
        """Answer ``POST /v1/chat/completions``."""
        origin = origins.origin_of(
            http,
            self._parts.shared,
            states.ServiceKind.MODEL,
            http.header(b'x-service'),
        )
        if isinstance(origin, requests.Refused):
            await refusals.send(http, origin)
            return
        raw = await checks.read_body(http, self._cfg)
        if isinstance(raw, exchange.CallerLeft):
            return
        call = (
            raw
            if isinstance(raw, requests.Refused)
            else checks.chat_call(http, origin, raw)
        )
        if isinstance(call, requests.Refused):
            await refusals.send(http, call, origin.caller_id)
            return
        await self._begin(http, call)

    async def resume(self, http: exchange.Exchange, caller_id: str) -> None:
        """Answer ``GET /v1/requests/<request id>/stream``."""
        answer = self._own(http, caller_id)
        count = checks.last_event_id(http)
        for refused in (answer, count):
            if isinstance(refused, requests.Refused):
                await refusals.send(http, refused, caller_id)
                return
        assert isinstance(answer, responses.Answer) and isinstance(count, int)
        if count > answer.tokens:
            refused = refusals.not_run(
                _Reason.BAD_REQUEST,
                f'header Last-Event-ID: only {answer.tokens} tokens so far',
            )
            await refusals.send(http, refused, caller_id)
            return
        await self._resume(http, answer, count)

    async def cancel(self, http: exchange.Exchange, caller_id: str) -> None:
        """Answer ``DELETE /v1/requests/<request id>``."""
        answer = self._own(http, caller_id)
        if isinstance(answer, requests.Refused):
            await refusals.send(http, answer, caller_id)
            return
        if answer.running is not None:
            answer.running.stop(inflight.StopReason.CANCELLED)
        self._parts.answers.forget(answer)
        await http.answer_json(200, {'request_id': caller_id})

    def _own(
        self, http: exchange.Exchange, caller_id: str
    ) -> responses.Answer | requests.Refused:
        """Return the workspace's own answer; others do not exist for it."""
        workspace = origins.workspace_of(http, self._parts.shared)
        if isinstance(workspace, requests.Refused):
            return workspace
        answer = self._parts.answers.find(workspace.workspace_id, caller_id)
        if answer is None:
            return requests.Refused(
                _Reason.NOT_FOUND,
                states.RunState.UNKNOWN,
                'no running answer of this workspace has this request id '
                'on this host',
            )
        return answer

    async def _begin(
        self, http: exchange.Exchange, call: calls.ChatCall
    ) -> None:
        answer = responses.Answer(
            call,
            self._parts.records.begin(call.origin),
            self._cfg.answer_kept_bytes,
        )
        if not self._parts.answers.add(answer):
            refused = refusals.not_run(
                _Reason.KEY_REUSED,
                f'request id {call.origin.caller_id!r} is running already',
            )
            await refusals.send(http, refused, call.origin.caller_id)
            return
        answer.viewer = http
        await self._produce(http, answer)

    async def _resume(
        self, http: exchange.Exchange, answer: responses.Answer, count: int
    ) -> None:
        if answer.call.stream and answer.covers(count):
            await http.start_stream(answer.headers())
            if not await answer.attach(http, count):
                http.abort()
                return
            if answer.running is not None:
                ended = answer.running.wait_ended
                await _first_of(http.wait_left, ended)
                self._lost(http, answer)
                return
            if answer.complete:
                return
        else:
            if answer.running is not None:
                answer.running.stop(inflight.StopReason.TAKEN_OVER)
                await answer.running.wait_ended()
            answer.rewind(count)
            answer.call = _streamed(answer.call)
        answer.viewer = http
        await self._produce(http, answer)

    async def _produce(
        self, http: exchange.Exchange, answer: responses.Answer
    ) -> None:
        """Work on an answer in the task of the connection that wants it."""
        with self._parts.inflight.track() as running:
            answer.running = running
            try:
                ended = await self._work(http, answer, running)
            finally:
                answer.running = None
                answer.idle_since = trio.current_time()
            await self._conclude(answer, running, ended)

    async def _work(
        self,
        http: exchange.Exchange,
        answer: responses.Answer,
        running: inflight.Running,
    ) -> chat.Completed | requests.Refused | None:
        """Return how the work ended; None when it was stopped."""

        async def watch_caller() -> None:
            await http.wait_left()
            self._lost(http, answer)

        ended: chat.Completed | requests.Refused | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch_caller)
            with running.scope:
                ended = await chat.ChatRelay(self._parts, answer).run()
            nursery.cancel_scope.cancel()
        return ended

    def _lost(self, http: exchange.Exchange, answer: responses.Answer) -> None:
        """Stop the work when the caller who receives it has left."""
        if answer.viewer is not http or answer.complete:
            return
        answer.viewer = None
        if answer.running is not None and answer.call.ticket.idempotent:
            answer.running.stop(inflight.StopReason.CALLER_LEFT)

    async def _conclude(
        self,
        answer: responses.Answer,
        running: inflight.Running,
        ended: chat.Completed | requests.Refused | None,
    ) -> None:
        record = answer.record
        caller_id = answer.call.origin.caller_id
        if ended is None and running.reason in _STOPPED:
            ended = requests.Refused(
                _STOPPED[running.reason],
                record.run_state(),
                f'request {caller_id!r} was stopped: {running.reason.value}',
            )
        if ended is None:
            assert running.reason is not None
            self._parts.records.end(record, running.reason.value, None)
            return
        if isinstance(ended, requests.Refused):
            self._parts.records.end(record, ended.reason.value, ended)
            self._parts.answers.forget(answer)
            if answer.viewer is not None:
                await refusals.send(answer.viewer, ended, caller_id)
            return
        self._parts.records.end(record, records.ANSWERED, None)
        if not answer.call.stream:
            self._parts.answers.forget(answer)
            if answer.viewer is not None:
                await answer.viewer.answer(
                    200, ended.body, headers=answer.headers()
                )


def _streamed(call: calls.ChatCall) -> calls.ChatCall:
    return dataclasses.replace(
        call, stream=True, body={**call.body, 'stream': True}
    )


async def _first_of(*functions: entry_components.Waits) -> None:
    """Return when one of the functions has returned."""

    async def run(function: entry_components.Waits) -> None:
        await function()
        nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        for function in functions:
            nursery.start_soon(run, function)
