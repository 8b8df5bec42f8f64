"""Handler of calls of plain services on the callers' port."""

from corianderloft._internal.entry import calls
from corianderloft._internal.entry import checks
from corianderloft._internal.entry import inflight
from corianderloft._internal.entry import origins
from corianderloft._internal.entry import parts as entry_parts
from corianderloft._internal.entry import plain
from corianderloft._internal.entry import records
from corianderloft._internal.entry import refusals
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests
from corianderloft._internal.models import states
from corianderloft._internal.network import exchange


class PlainHandlers:
    """Answers ``ANY /v1/services/<service>/<path>``.

    Parameters
    ----------
    parts : Parts
        Parts of the host.
    """

    def __init__(self, parts: entry_parts.Parts) -> None:
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
        ended: plain.Ended | None = None
        with self._parts.inflight.track() as running:
            with running.scope:
                # A call goes on without its caller: the answer is kept
                # under its key, and stopping it would not undo it.
                relay = plain.PlainRelay(self._parts, call, record)
                ended = await relay.run()
            if ended is None:
                assert running.reason is inflight.StopReason.DRAINING
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
