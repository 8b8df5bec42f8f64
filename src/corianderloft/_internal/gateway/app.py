"""ASGI application that routes callers' requests to backend servers."""

import logging
import typing

import trio

from corianderloft._internal.gateway import dialect
from corianderloft._internal.gateway.duties import runs
from corianderloft._internal.gateway import forwarding
from corianderloft._internal.gateway import metrics
from corianderloft._internal.gateway import refusals
from corianderloft._internal.gateway import route_outcomes
from corianderloft._internal.gateway import routed_request
from corianderloft._internal.gateway import stopping
from corianderloft._internal.gateway import view
from corianderloft._internal.models import crashes
from corianderloft._internal.models import ids
from corianderloft._internal.models import routing
from corianderloft._internal.network import engine_pool
from corianderloft._internal.network import exchange
from corianderloft._internal.placement import interface
from corianderloft._internal.placement import placer
from corianderloft._internal.relaying import event_ids

logger = logging.getLogger(__name__)

MAX_HEADER_BYTES = 65536
"""Maximum size of the request head until declarations are loaded."""

BODY_TIMEOUT_S = 10.0
"""Timeout for receiving a request body; callers do not wait longer."""

RETRY_AFTER_S = 0.2
"""``Retry-After`` in responses to requests that another host can serve at
once."""

NO_MEMORY_RETRY_AFTER_S = 1.0
"""``Retry-After`` when this host has no memory for a body."""

CheckResult = (
    routed_request.RoutedRequest
    | refusals.Refusal
    | exchange.CallerDisconnected
)


class GatewayApp:
    """ASGI application on the port for callers.

    Parameters
    ----------
    local_view : View
        Local copy of declarations and registrations.
    request_placer : Placer
        Assigns requests to backend servers.
    pool : EnginePool
        Connections to backend servers.
    header_dialect : Dialect
        Parses and builds HTTP headers.
    shutdown : GracefulShutdown
        Shutdown state of this host.
    """

    def __init__(
        self,
        local_view: view.View,
        request_placer: placer.Placer,
        pool: engine_pool.EnginePool,
        header_dialect: dialect.Dialect,
        shutdown: stopping.GracefulShutdown,
        run_counter: runs.RunCounter,
    ) -> None:
        self._run_counter = run_counter
        self._view = local_view
        self._placer = request_placer
        self._pool = pool
        self._dialect = header_dialect
        self._shutdown = shutdown
        self._steps = event_ids.Steps()

    async def __call__(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        """Serve one request."""
        if scope['type'] != 'http':
            raise RuntimeError(f'unsupported ASGI scope {scope["type"]!r}')
        caller = exchange.Exchange(scope, receive, send)
        with self._shutdown.track_request():
            await self._serve(caller, trio.current_time())

    async def _serve(self, caller: exchange.Exchange, arrived: float) -> None:
        head = self._dialect.read_request(caller.headers)
        request = await self._check(caller, head, arrived)
        if isinstance(request, exchange.CallerDisconnected):
            return
        if isinstance(request, refusals.Refusal):
            await self._refuse(caller, head, request)
            return
        forwarder = forwarding.RequestForwarder(
            self._placer,
            self._pool,
            self._dialect,
            request,
            caller,
            self._shutdown.draining,
            self._steps,
            self._run_counter,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _cancel_on_disconnect, caller, forwarder, nursery
            )
            await self._run(request, forwarder)
            nursery.cancel_scope.cancel()

    async def _run(
        self,
        request: routed_request.RoutedRequest,
        forwarder: forwarding.RequestForwarder,
    ) -> None:
        result = forwarding.Result.CALLER_LEFT
        try:
            result = await forwarder.run()
        finally:
            self._record_end(request, forwarder, result)

    async def _check(
        self,
        caller: exchange.Exchange,
        head: dialect.RequestHead,
        arrived: float,
    ) -> CheckResult:
        table = self._view.table
        if table is None:
            return refusals.Refusal(refusals.Reason.NOT_READY, RETRY_AFTER_S)
        if self._view.is_overdue():
            return _outdated()
        path = caller.raw_path.decode('latin-1')
        route = table.find(head.host, path)
        if route is None:
            return self._deny(refusals.Reason.UNKNOWN_ROUTE)
        workspace = self._authenticate(table, route, head)
        if isinstance(workspace, refusals.Refusal):
            return workspace
        if caller.memory is not None:
            caller.memory.set_urgency(_tier(route, workspace))
        body = await caller.body(table.limits.body_bytes, BODY_TIMEOUT_S)
        if isinstance(body, exchange.CallerDisconnected):
            return body
        if isinstance(body, exchange.BodyTooLarge):
            return refusals.Refusal(
                refusals.Reason.TOO_LARGE, closes_connection=True
            )
        if isinstance(body, exchange.BodyTooSlow):
            return refusals.Refusal(
                refusals.Reason.TOO_SLOW, closes_connection=True
            )
        if isinstance(body, exchange.NoMemory):
            return refusals.Refusal(
                refusals.Reason.NO_MEMORY,
                NO_MEMORY_RETRY_AFTER_S,
                closes_connection=True,
            )
        if self._shutdown.refusing:
            return refusals.Refusal(refusals.Reason.STOPPING, 0.0, True)
        return self._build_request(
            caller, head, route, workspace, body, arrived
        )

    def _authenticate(
        self,
        table: routing.RoutingTable,
        route: routing.Route,
        head: dialect.RequestHead,
    ) -> routing.Workspace | refusals.Refusal | None:
        if route.public or not table.has_workspaces:
            return None
        if not self._view.is_current():
            return refusals.Refusal(
                refusals.Reason.STALE_KEYS, RETRY_AFTER_S, True
            )
        workspace = table.keys.get(head.key or '')
        if workspace is None:
            return self._deny(refusals.Reason.UNKNOWN_KEY)
        return workspace

    def _deny(self, reason: refusals.Reason) -> refusals.Refusal:
        """Refuse for good what does not exist, if the view can tell."""
        if self._view.can_deny():
            return refusals.Refusal(reason)
        return _outdated()

    def _build_request(
        self,
        caller: exchange.Exchange,
        head: dialect.RequestHead,
        route: routing.Route,
        workspace: routing.Workspace | None,
        body: bytes,
        arrived: float,
    ) -> routed_request.RoutedRequest:
        target = caller.raw_path
        if caller.query:
            target += b'?' + caller.query
        timeout = route.timeout
        if head.timeout is not None:
            timeout = min(timeout, head.timeout)
        service = self._placer.pick_service(route)
        self._placer.retries.record_request(service, arrived)
        job = interface.Job(
            request_id=head.request_id,
            route=route,
            service=service,
            workspace=workspace.name if workspace else None,
            tier=_tier(route, workspace),
            arrived=arrived,
            deadline=arrived + timeout,
            prompt=head.prompt,
            request_suspect=crashes.request_suspect(
                caller.method,
                target,
                workspace.name if workspace else '',
                body,
            ),
        )
        return routed_request.RoutedRequest(
            caller.method,
            target,
            head,
            body,
            workspace,
            job,
            caller.http_version,
        )

    async def _refuse(
        self,
        caller: exchange.Exchange,
        head: dialect.RequestHead,
        refusal: refusals.Refusal,
    ) -> None:
        metrics.count_ended('', 'refused', refusal.reason.value)
        table = self._view.table
        logger.warning(
            'request refused',
            extra={
                'request_id': head.request_id,
                'reason': refusal.reason.value,
                'status': refusal.status,
                'version': table.version if table else None,
                **self._view.log_fields(),
            },
        )
        headers = refusal.headers()
        if self._shutdown.draining and not refusal.closes_connection:
            headers.append((b'connection', b'close'))
        await caller.respond_raw(refusal.status, headers, refusal.body())

    def _record_end(
        self,
        request: routed_request.RoutedRequest,
        forwarder: forwarding.RequestForwarder,
        result: forwarding.Result,
    ) -> None:
        job = request.job
        now = trio.current_time()
        reason = forwarder.refusal.reason.value if forwarder.refusal else ''
        first_byte_s = None
        response = forwarder.response
        if response.first_byte_at is not None:
            first_byte_s = round(response.first_byte_at - job.arrived, 4)
        metrics.count_ended(job.route.name, result.value, reason)
        outcome = route_outcomes.classify(
            job.route,
            route_outcomes.Ended(
                result,
                forwarder.may_have_run,
                response.status,
                first_byte_s,
                response.longest_gap,
                now - job.arrived,
            ),
        )
        metrics.count_outcome(job.route.name, outcome.value, now - job.arrived)
        metrics.observe(job.route.name, first_byte_s, now - job.arrived)
        logger.info(
            'request ended',
            extra={
                'request_id': job.request_id,
                'route': job.route.name,
                'workspace': job.workspace,
                'service': job.service,
                'tier': job.tier,
                'result': result.value,
                'outcome': outcome.value,
                'reason': reason,
                'run': 'maybe' if forwarder.may_have_run else 'not_run',
                'engine': forwarder.engine,
                'sends': forwarder.sends,
                'asked_after': request.head.resume_after,
                'last_event': forwarder.last_event_id,
                'end': response.ended_by.value,
                'http': request.http_version,
                'first_s': first_byte_s,
                'longest_gap_s': round(response.longest_gap, 4),
                'total_s': round(now - job.arrived, 4),
                'version': getattr(self._view.table, 'version', None),
                **self._view.log_fields(),
            },
        )


def _outdated() -> refusals.Refusal:
    """Return the refusal by a host that may lack the newest declarations."""
    return refusals.Refusal(refusals.Reason.OUTDATED, RETRY_AFTER_S, True)


def _tier(
    route: routing.Route, workspace: routing.Workspace | None
) -> ids.Tier:
    if workspace is not None and workspace.tier is not None:
        return workspace.tier
    return route.tier


async def _cancel_on_disconnect(
    caller: exchange.Exchange,
    forwarder: forwarding.RequestForwarder,
    nursery: trio.Nursery,
) -> None:
    await caller.wait_for_disconnect()
    if not forwarder.complete:
        nursery.cancel_scope.cancel()
