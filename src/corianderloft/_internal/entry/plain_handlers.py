"""Request handler for plain services on the caller port."""

import trio

from corianderloft._internal.entry import calls
from corianderloft._internal.entry import checks
from corianderloft._internal.entry import components as host_components
from corianderloft._internal.entry import inflight
from corianderloft._internal.entry import origins
from corianderloft._internal.entry import plain
from corianderloft._internal.entry import records
from corianderloft._internal.entry import refusals
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests
from corianderloft._internal.models import states
from corianderloft._internal.network import exchange

_CALLER_LEFT = inflight.StopReason.CALLER_LEFT


class PlainHandlers:
    """Handles ``ANY /v1/services/<service>/<path>``.

    Parameters
    ----------
    components : HostComponents
        Components of the host.
    """

    def __init__(self, components: host_components.HostComponents) -> None:
        self._components = components

    async def call(
        self, http: exchange.Exchange, service: str, target: bytes
    ) -> None:
        """Check a call, relay it and send the response."""
        origin = origins.resolve_origin(
            http, self._components.shared, states.ServiceKind.PLAIN, service
        )
        if isinstance(origin, requests.Refused):
            await refusals.send(http, origin)
            return
        body = await checks.read_body(
            http, self._components.settings.callers, origin.request_class.tier
        )
        if isinstance(body, exchange.CallerDisconnected):
            return
        call = (
            body
            if isinstance(body, requests.Refused)
            else checks.check_plain_call(http, origin, target, body)
        )
        if isinstance(call, requests.Refused):
            await refusals.send(http, call, origin.caller_request_id)
            return
        await self._relay(http, call)

    async def _relay(
        self, http: exchange.Exchange, call: calls.PlainCall
    ) -> None:
        record = self._components.records.begin(call.origin)
        caller_request_id = call.origin.caller_request_id
        with self._components.inflight.track() as task:
            result = await self._run_relay(http, call, record, task)
            if result is None and task.reason is _CALLER_LEFT:
                self._components.records.end(record, _CALLER_LEFT.value, None)
                return
            if result is None:
                result = requests.Refused(
                    reasons.RefusalReason.DRAINING,
                    record.run_state(),
                    f'this host stopped before call {caller_request_id!r} '
                    'ended',
                )
            if isinstance(result, requests.Refused):
                self._components.records.end(
                    record, result.reason.value, result
                )
                await refusals.send(http, result, caller_request_id)
                return
            self._components.records.end(record, records.ANSWERED, None)
            await _send_response(http, result, caller_request_id)

    async def _run_relay(
        self,
        http: exchange.Exchange,
        call: calls.PlainCall,
        record: records.RequestRecord,
        task: inflight.RequestTask,
    ) -> plain.PlainResult | None:
        """Return the result of the relay; None if it was stopped."""

        async def watch_caller() -> None:
            await http.wait_for_disconnect()
            # A call that may have run continues without its caller:
            # cancelling would not undo it, and its response is stored under
            # its idempotency key.
            sent = record.run_state() is not states.RunState.NOT_RUN
            if call.ticket.idempotent or not sent:
                task.stop(_CALLER_LEFT)

        result: plain.PlainResult | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch_caller)
            with task.scope:
                relay = plain.PlainRelay(
                    self._components, call, record, http.memory
                )
                result = await relay.run()
            nursery.cancel_scope.cancel()
        return result


async def _send_response(
    http: exchange.Exchange,
    result: plain.PlainResponse,
    caller_request_id: str,
) -> None:
    headers = [
        (name, value)
        for name, value in result.headers
        if name.lower() not in (b'content-type', b'x-request-id')
    ]
    headers.append((b'x-request-id', caller_request_id.encode('ascii')))
    await http.respond(
        result.status,
        result.body,
        result.content_type.encode('latin-1'),
        headers,
    )
