"""Request handlers for chat completions on the caller port."""

import dataclasses

import trio

from corianderloft._internal.entry import calls
from corianderloft._internal.entry import chat
from corianderloft._internal.entry import checks
from corianderloft._internal.entry import components as host_components
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

_STOP_REFUSALS: dict[inflight.StopReason, reasons.RefusalReason] = {
    inflight.StopReason.CANCELLED: _Reason.CANCELLED,
    inflight.StopReason.DRAINING: _Reason.DRAINING,
}


class ChatHandlers:
    """Starts, resumes and cancels chat completions.

    Parameters
    ----------
    components : HostComponents
        Components of the host.
    """

    def __init__(self, components: host_components.HostComponents) -> None:
        self._components = components
        self._cfg = components.settings.callers

    async def begin(self, http: exchange.Exchange) -> None:
        """Handle ``POST /v1/chat/completions``."""
        origin = origins.resolve_origin(
            http,
            self._components.shared,
            states.ServiceKind.MODEL,
            http.header(b'x-service'),
        )
        if isinstance(origin, requests.Refused):
            await refusals.send(http, origin)
            return
        body = await checks.read_body(
            http, self._cfg, origin.request_class.tier
        )
        if isinstance(body, exchange.CallerDisconnected):
            return
        call = await self._check(http, origin, body)
        if isinstance(call, requests.Refused):
            await refusals.send(http, call, origin.caller_request_id)
            return
        await self._begin(http, call)

    async def _check(
        self,
        http: exchange.Exchange,
        origin: calls.Origin,
        body: bytes | requests.Refused,
    ) -> calls.ChatCall | requests.Refused:
        if isinstance(body, requests.Refused):
            return body
        refused = await checks.reserve_values(http, self._cfg, body)
        return refused or checks.check_chat_call(http, origin, body)

    async def resume(
        self, http: exchange.Exchange, caller_request_id: str
    ) -> None:
        """Handle ``GET /v1/requests/<request id>/stream``."""
        response = self._find_response(http, caller_request_id)
        last_token = checks.parse_last_event_id(http)
        for refused in (response, last_token):
            if isinstance(refused, requests.Refused):
                await refusals.send(http, refused, caller_request_id)
                return
        assert isinstance(response, responses.ChatResponse) and isinstance(
            last_token, int
        )
        if last_token > response.tokens:
            refused = refusals.not_run(
                _Reason.BAD_REQUEST,
                f'header Last-Event-ID: only {response.tokens} tokens so far',
            )
            await refusals.send(http, refused, caller_request_id)
            return
        await self._resume(http, response, last_token)

    async def cancel(
        self, http: exchange.Exchange, caller_request_id: str
    ) -> None:
        """Handle ``DELETE /v1/requests/<request id>``."""
        response = self._find_response(http, caller_request_id)
        if isinstance(response, requests.Refused):
            await refusals.send(http, response, caller_request_id)
            return
        if response.task is not None:
            response.task.stop(inflight.StopReason.CANCELLED)
        self._components.responses.remove(response)
        await http.respond_json(200, {'request_id': caller_request_id})

    def _find_response(
        self, http: exchange.Exchange, caller_request_id: str
    ) -> responses.ChatResponse | requests.Refused:
        """Return a response of the caller's workspace.

        A response of another workspace is refused as not found.
        """
        workspace = origins.authenticate_workspace(
            http, self._components.shared
        )
        if isinstance(workspace, requests.Refused):
            return workspace
        response = self._components.responses.find(
            workspace.workspace_id, caller_request_id
        )
        if response is None:
            return requests.Refused(
                _Reason.NOT_FOUND,
                states.RunState.UNKNOWN,
                'no running answer of this workspace has this request id '
                'on this host',
            )
        return response

    async def _begin(
        self, http: exchange.Exchange, call: calls.ChatCall
    ) -> None:
        response = responses.ChatResponse(
            call,
            self._components.records.begin(call.origin),
            self._cfg.answer_kept_bytes,
        )
        if not self._components.responses.add(response):
            refused = refusals.not_run(
                _Reason.KEY_REUSED,
                f'request id {call.origin.caller_request_id!r} is running '
                'already',
            )
            await refusals.send(http, refused, call.origin.caller_request_id)
            return
        response.receiver = http
        await self._generate(http, response)

    async def _resume(
        self,
        http: exchange.Exchange,
        response: responses.ChatResponse,
        last_token: int,
    ) -> None:
        if response.call.stream and response.can_resume_after(last_token):
            await http.start_stream(response.headers())
            if not await response.attach(http, last_token):
                http.abort()
                return
            if response.task is not None:
                wait_ended = response.task.wait_ended
                await _wait_first(http.wait_for_disconnect, wait_ended)
                self._handle_caller_left(http, response)
                return
            if response.complete:
                return
        else:
            if response.task is not None:
                response.task.stop(inflight.StopReason.TAKEN_OVER)
                await response.task.wait_ended()
            response.rewind(last_token)
            response.call = _as_stream(response.call)
        response.receiver = http
        await self._generate(http, response)

    async def _generate(
        self, http: exchange.Exchange, response: responses.ChatResponse
    ) -> None:
        """Generate the response in the task of the receiving connection."""
        with self._components.inflight.track() as task:
            response.task = task
            try:
                result = await self._run_relay(http, response, task)
            finally:
                response.task = None
                response.idle_since = trio.current_time()
            await self._finish(response, task, result)

    async def _run_relay(
        self,
        http: exchange.Exchange,
        response: responses.ChatResponse,
        task: inflight.RequestTask,
    ) -> chat.Completed | requests.Refused | None:
        """Return the result of the relay; None if it was stopped."""

        async def watch_caller() -> None:
            await http.wait_for_disconnect()
            self._handle_caller_left(http, response)

        result: chat.Completed | requests.Refused | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch_caller)
            with task.scope:
                result = await chat.ChatRelay(self._components, response).run()
            nursery.cancel_scope.cancel()
        return result

    def _handle_caller_left(
        self, http: exchange.Exchange, response: responses.ChatResponse
    ) -> None:
        """Stop the request if its receiver has disconnected."""
        if response.receiver is not http or response.complete:
            return
        response.receiver = None
        if response.task is not None and response.call.ticket.idempotent:
            response.task.stop(inflight.StopReason.CALLER_LEFT)

    async def _finish(
        self,
        response: responses.ChatResponse,
        task: inflight.RequestTask,
        result: chat.Completed | requests.Refused | None,
    ) -> None:
        record = response.record
        caller_request_id = response.call.origin.caller_request_id
        if result is None and task.reason in _STOP_REFUSALS:
            result = requests.Refused(
                _STOP_REFUSALS[task.reason],
                record.run_state(),
                f'request {caller_request_id!r} was stopped: '
                f'{task.reason.value}',
            )
        if result is None:
            assert task.reason is not None
            self._components.records.end(record, task.reason.value, None)
            return
        if isinstance(result, requests.Refused):
            self._components.records.end(record, result.reason.value, result)
            self._components.responses.remove(response)
            if response.receiver is not None:
                await refusals.send(
                    response.receiver, result, caller_request_id
                )
            return
        self._components.records.end(record, records.ANSWERED, None)
        if not response.call.stream:
            self._components.responses.remove(response)
            if response.receiver is not None:
                await response.receiver.respond(
                    200, result.body, headers=response.headers()
                )


def _as_stream(call: calls.ChatCall) -> calls.ChatCall:
    return dataclasses.replace(
        call, stream=True, body={**call.body, 'stream': True}
    )


async def _wait_first(*functions: host_components.AsyncFunction) -> None:
    """Return as soon as one of the functions returns."""

    async def run(function: host_components.AsyncFunction) -> None:
        await function()
        nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        for function in functions:
            nursery.start_soon(run, function)
