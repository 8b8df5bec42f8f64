"""Takes requests of callers and gives each its answer."""

import logging
import typing

import trio

from corianderloft._internal.gateway import dialect
from corianderloft._internal.gateway import forwarding
from corianderloft._internal.gateway import metrics
from corianderloft._internal.gateway import refusals
from corianderloft._internal.gateway import routed_request
from corianderloft._internal.gateway import stopping
from corianderloft._internal.gateway import view
from corianderloft._internal.models import ids
from corianderloft._internal.models import routing
from corianderloft._internal.network import engine_pool
from corianderloft._internal.network import exchange
from corianderloft._internal.placement import interface
from corianderloft._internal.placement import placer

logger = logging.getLogger(__name__)

MAX_HEADER_BYTES = 65536
"""Largest head until the declarations say otherwise."""

BODY_TIME = 10.0
"""Longest time for a body to arrive, in seconds: callers wait no longer."""

COME_BACK = 0.2
"""Wait that is asked of callers whom another host can serve at once, in
seconds."""

Checked = routed_request.Call | refusals.Refusal | exchange.CallerLeft


class GatewayApp:
    """ASGI application of the callers' port.

    Parameters
    ----------
    beliefs : View
        What this host believes.
    decisions : Placer
        Grants sends.
    pool : EnginePool
        Connections to backend servers.
    words : Dialect
        Writes and reads heads.
    stop : Stopping
        How far this host is on its way out.
    """

    def __init__(
        self,
        beliefs: view.View,
        decisions: placer.Placer,
        pool: engine_pool.EnginePool,
        words: dialect.Dialect,
        stop: stopping.Stopping,
    ) -> None:
        self._beliefs = beliefs
        self._decisions = decisions
        self._pool = pool
        self._words = words
        self._stop = stop

    async def __call__(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        """Serve one request."""
        if scope['type'] != 'http':
            raise RuntimeError(f'no service for {scope["type"]!r}')
        caller = exchange.Exchange(scope, receive, send)
        with self._stop.request():
            await self._serve(caller, trio.current_time())

    async def _serve(self, caller: exchange.Exchange, arrived: float) -> None:
        head = self._words.read_request(caller.headers)
        call = await self._checked(caller, head, arrived)
        if isinstance(call, exchange.CallerLeft):
            return
        if isinstance(call, refusals.Refusal):
            await self._refuse(caller, head, call)
            return
        work = forwarding.Forwarding(
            self._decisions,
            self._pool,
            self._words,
            call,
            caller,
            self._stop.leaving,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_when_left, caller, work, nursery)
            await self._run(call, work)
            nursery.cancel_scope.cancel()

    async def _run(
        self, call: routed_request.Call, work: forwarding.Forwarding
    ) -> None:
        result = 'caller_left'
        try:
            result = (await work.run()).value
        finally:
            self._note_end(call, work, result)

    async def _checked(
        self,
        caller: exchange.Exchange,
        head: dialect.RequestHead,
        arrived: float,
    ) -> Checked:
        table = self._beliefs.table
        if table is None:
            return refusals.Refusal(refusals.Reason.NOT_READY, COME_BACK)
        path = caller.raw_path.decode('latin-1')
        route = table.find(head.host, path)
        if route is None:
            return refusals.Refusal(refusals.Reason.UNKNOWN_ROUTE)
        workspace = self._workspace(table, route, head)
        if isinstance(workspace, refusals.Refusal):
            return workspace
        body = await caller.body(table.limits.body_bytes, BODY_TIME)
        if isinstance(body, exchange.CallerLeft):
            return body
        if isinstance(body, exchange.BodyTooLarge):
            return refusals.Refusal(refusals.Reason.TOO_LARGE, closes=True)
        if isinstance(body, exchange.BodyTooSlow):
            return refusals.Refusal(refusals.Reason.TOO_SLOW, closes=True)
        if self._stop.refusing:
            return refusals.Refusal(refusals.Reason.STOPPING, 0.0, True)
        return self._call(caller, head, route, workspace, body, arrived)

    def _workspace(
        self,
        table: routing.RoutingTable,
        route: routing.Route,
        head: dialect.RequestHead,
    ) -> routing.Workspace | refusals.Refusal | None:
        if route.public or not table.keyed:
            return None
        if not self._beliefs.is_current():
            return refusals.Refusal(
                refusals.Reason.STALE_KEYS, COME_BACK, True
            )
        workspace = table.keys.get(head.key or '')
        if workspace is None:
            return refusals.Refusal(refusals.Reason.UNKNOWN_KEY)
        return workspace

    def _call(
        self,
        caller: exchange.Exchange,
        head: dialect.RequestHead,
        route: routing.Route,
        workspace: routing.Workspace | None,
        body: bytes,
        arrived: float,
    ) -> routed_request.Call:
        target = caller.raw_path
        if caller.query:
            target += b'?' + caller.query
        timeout = route.timeout
        if head.timeout is not None:
            timeout = min(timeout, head.timeout)
        service = self._decisions.pick_service(route)
        self._decisions.retries.note_request(service, arrived)
        job = interface.Job(
            request_id=head.request_id,
            route=route,
            service=service,
            workspace=workspace.name if workspace else None,
            tier=_tier(route, workspace),
            arrived=arrived,
            until=arrived + timeout,
            prompt=head.prompt,
        )
        return routed_request.Call(
            caller.method, target, head, body, workspace, job
        )

    async def _refuse(
        self,
        caller: exchange.Exchange,
        head: dialect.RequestHead,
        refusal: refusals.Refusal,
    ) -> None:
        metrics.count_ended('', 'refused', refusal.reason.value)
        table = self._beliefs.table
        logger.warning(
            'request refused',
            extra={
                'request_id': head.request_id,
                'reason': refusal.reason.value,
                'status': refusal.status,
                'version': table.version if table else None,
                'age_s': round(self._beliefs.age(), 3),
            },
        )
        headers = refusal.headers()
        if self._stop.leaving and not refusal.closes:
            headers.append((b'connection', b'close'))
        await caller.answer_raw(refusal.status, headers, refusal.body())

    def _note_end(
        self,
        call: routed_request.Call,
        work: forwarding.Forwarding,
        result: str,
    ) -> None:
        job = call.job
        now = trio.current_time()
        reason = work.refusal.reason.value if work.refusal else ''
        first = None
        if work.first_at is not None:
            first = round(work.first_at - job.arrived, 4)
        metrics.count_ended(job.route.name, result, reason)
        metrics.observe(job.route.name, first, now - job.arrived)
        logger.info(
            'request ended',
            extra={
                'request_id': job.request_id,
                'route': job.route.name,
                'workspace': job.workspace,
                'service': job.service,
                'tier': job.tier,
                'result': result,
                'reason': reason,
                'run': 'maybe' if work.may_have_run else 'not_run',
                'engine': work.engine,
                'sends': work.sends,
                'first_s': first,
                'longest_gap_s': round(work.longest_gap, 4),
                'total_s': round(now - job.arrived, 4),
                'version': getattr(self._beliefs.table, 'version', None),
                'age_s': round(self._beliefs.age(), 3),
            },
        )


def _tier(
    route: routing.Route, workspace: routing.Workspace | None
) -> ids.Tier:
    if workspace is not None and workspace.tier is not None:
        return workspace.tier
    return route.tier


async def _cancel_when_left(
    caller: exchange.Exchange,
    work: forwarding.Forwarding,
    nursery: trio.Nursery,
) -> None:
    await caller.wait_left()
    if not work.complete:
        nursery.cancel_scope.cancel()
