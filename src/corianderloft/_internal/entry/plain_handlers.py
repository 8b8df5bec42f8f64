"""Handler of calls of plain services on the callers' port."""

import trio

from corianderloft._internal.entry import calls
from corianderloft._internal.entry import checks
from corianderloft._internal.entry import components as entry_components
from corianderloft._internal.entry import inflight
from corianderloft._internal.entry import origins
from corianderloft._internal.entry import plain
from corianderloft._internal.entry import records
from corianderloft._internal.entry import refusals
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests
from corianderloft._internal.models import states
from corianderloft._internal.network import exchange

_LEFT = inflight.StopReason.CALLER_LEFT


class PlainHandlers:
    """Answers ``ANY /v1/services/<service>/<path>``.

    Parameters
    ----------
    parts : Parts
        Parts of the host.
    """

    def __init__(self, parts: entry_components.Parts) -> None:
        self._parts = parts

    async def call(
        self, http: exchange.Exchange, service: str, target: bytes
    ) -> None:
        """Check a call, carry it to the service and answer it."""
        origin = origins.origin_of(
            http, self._parts.shared, states.ServiceKind.PLAIN, service
        )
        if isinstance(origin, requests.Refused):
            await refusals.send(http, origin)
            return
        raw = await checks.read_body(http, self._parts.settings.callers)
        if isinstance(raw, exchange.CallerLeft):
            return
        call = (
            raw
            if isinstance(raw, requests.Refused)
            else checks.plain_call(http, origin, target, raw)
        )
        if isinstance(call, requests.Refused):
            await refusals.send(http, call, origin.caller_id)
            return
        await self._relay(http, call)

    async def _relay(
        self, http: exchange.Exchange, call: calls.PlainCall
    ) -> None:
        record = self._parts.records.begin(call.origin)
        caller_id = call.origin.caller_id
        with self._parts.inflight.track() as running:
            ended = await self._work(http, call, record, running)
            if ended is None and running.reason is _LEFT:
                self._parts.records.end(record, _LEFT.value, None)
                return
            if ended is None:
                ended = requests.Refused(
                    reasons.RefusalReason.DRAINING,
                    record.run_state(),
                    f'this host stopped before call {caller_id!r} ended',
                )
            if isinstance(ended, requests.Refused):
                self._parts.records.end(record, ended.reason.value, ended)
                await refusals.send(http, ended, caller_id)
                return
            self._parts.records.end(record, records.ANSWERED, None)
            await _answer(http, ended, caller_id)

    async def _work(
        self,
        http: exchange.Exchange,
        call: calls.PlainCall,
        record: records.Record,
        running: inflight.Running,
    ) -> plain.Ended | None:
        """Return how the call ended; None when it was stopped."""

        async def watch_caller() -> None:
            await http.wait_left()
            # A call that may have run goes on without its caller: stopping
            # it would not undo it, and its answer is kept under its key.
            sent = record.run_state() is not states.RunState.NOT_RUN
            if call.ticket.idempotent or not sent:
                running.stop(_LEFT)

        ended: plain.Ended | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch_caller)
            with running.scope:
                relay = plain.PlainRelay(self._parts, call, record)
                ended = await relay.run()
            nursery.cancel_scope.cancel()
        return ended


async def _answer(
    http: exchange.Exchange, ended: plain.PlainAnswer, caller_id: str
) -> None:
    headers = [
        (name, value)
        for name, value in ended.headers
        if name.lower() not in (b'content-type', b'x-request-id')
    ]
    headers.append((b'x-request-id', caller_id.encode('ascii')))
    await http.answer(
        ended.status, ended.body, ended.content_type.encode('latin-1'), headers
    )
