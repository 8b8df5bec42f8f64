"""Dispatcher of one entry host."""

import collections
import collections.abc
import random

import trio

from corianderloft._internal.decisions import interface
from corianderloft._internal.decisions import limits
from corianderloft._internal.decisions import plugins
from corianderloft._internal.decisions import pool
from corianderloft._internal.decisions import refusals
from corianderloft._internal.decisions import routes
from corianderloft._internal.decisions import waiting
from corianderloft._internal.metrics import queues
from corianderloft._internal.models import backends
from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests


class LocalDispatcher:
    """Dispatches the requests of one host; engines are shared with others.

    Parameters
    ----------
    cfg : DecisionSettings
        Section ``decisions`` of the settings.
    rng : Random or None
        Source of random numbers; None to create one.

    Attributes
    ----------
    limits : Limits
        Workspace limits, which accept the demand seen by peers.
    """

    def __init__(
        self, cfg: plugins.Settings, rng: random.Random | None = None
    ) -> None:
        self._cfg = cfg
        self._rng = rng or random.Random()
        self._pools: dict[ids.ServiceName, pool.ServicePool] = {}
        self._backends: tuple[backends.Backend, ...] = ()
        self._weights: dict[ids.WorkspaceId, int] = {}
        self.limits = limits.Limits()
        self._own_host = ids.HostId('')
        self._hosts: tuple[ids.HostId, ...] = ()

    async def acquire(
        self,
        ticket: requests.Ticket,
        exclude: collections.abc.Set[ids.EngineId] = frozenset(),
    ) -> interface.Grant | requests.Refused:
        """Queue a request until it may run on a backend server."""
        service = self._pools.get(ticket.service)
        if service is None or not service.engine_set.live_for(
            ticket.workspace
        ):
            return refusals.no_backend(ticket.service)
        now = trio.current_time()
        weight = self._weights.get(ticket.workspace, 1)
        waiter = service.new_waiter(ticket, exclude, weight)
        refusal = self._charge_workspace(service, waiter, now)
        if refusal is not None:
            return refusal
        service.enqueue(waiter, now)
        service.grant_waiting(now)
        try:
            await service.queue_timer.wait(service, waiter)
        except trio.Cancelled:
            _abandon(service, waiter)
            raise
        if waiter.outcome is not None:
            return waiter.outcome
        service.discard(waiter, trio.current_time())
        return refusals.deadline(ticket.request_id)

    def _charge_workspace(
        self, service: pool.ServicePool, waiter: waiting.Waiter, now: float
    ) -> requests.Refused | None:
        """Charge a first attempt to its workspace; refuse it over limit."""
        if waiter.exclude or service.observations.is_hedge(waiter):
            return None
        workspace = waiter.ticket.workspace
        wait = self.limits.charge(workspace, waiter.cost, now)
        if wait <= 0:
            return None
        return refusals.workspace_limit(workspace, wait)

    def retry(
        self,
        ticket: requests.Ticket,
        end: interface.AttemptEnd,
        attempts: int,
        may_have_run: bool,
        relayed_tokens: int,
    ) -> interface.RetryNow | interface.GiveUp:
        """Decide whether to retry a failed attempt."""
        service = self._pools.get(ticket.service)
        if service is None:
            return interface.GiveUp(
                reasons.RetryRefusalReason.NO_OTHER_BACKEND
            )
        return service.plugins.retry_rule.decide(
            ticket,
            end,
            attempts,
            may_have_run,
            relayed_tokens,
            trio.current_time(),
        )

    def hedge_after(self, ticket: requests.Ticket) -> float | None:
        """Return the hedging delay in seconds, or None for no hedge."""
        service = self._pools.get(ticket.service)
        if service is None or not ticket.idempotent:
            return None
        return service.hedge_after(ticket)

    def queue_states(self) -> tuple[queues.QueueState, ...]:
        """Return the state of each non-empty queue, by service and tier."""
        now = trio.current_time()
        return tuple(
            state
            for name, service in self._pools.items()
            for state in _queue_states(name, service, now)
        )

    def longest_lane_wait(self) -> float:
        """Return the longest time a lane waited for a start, in seconds."""
        return max(
            (
                lane.longest_wait
                for service in self._pools.values()
                for lane in service.observations.demand.lanes.values()
            ),
            default=0.0,
        )

    def use_catalog(self, current: catalog.Catalog) -> None:
        """Apply a new configuration."""
        self._weights = {
            w.workspace_id: w.limits.weight
            for w in current.limited_workspaces()
        }
        self.limits.use_catalog(current)
        declared = {service.name for service in current.services}
        overrides = routes.workspace_routes(current.workspaces)
        for template in current.services:
            self._use_template(template)
            self._pools[template.name].engine_set.use_workspace_routes(
                overrides.get(template.name, {})
            )
        for name in set(self._pools) - declared:
            self._pools.pop(name).close(trio.current_time())
        self.use_backends(self._backends)

    def _use_template(self, template: catalog.ServiceTemplate) -> None:
        service = self._pools.get(template.name)
        if service is None:
            service = pool.ServicePool(template, self._cfg, self._rng)
            service.engine_set.use_hosts(self._own_host, self._hosts)
            self._pools[template.name] = service
        service.use_template(template)

    def use_backends(
        self, current: collections.abc.Sequence[backends.Backend]
    ) -> None:
        """Replace the list of backend servers, including leaving ones."""
        self._backends = tuple(current)
        for name, service in self._pools.items():
            service.engine_set.use_backends(
                b for b in current if b.service == name
            )
            service.grant_waiting(trio.current_time())

    def use_hosts(
        self, own_host: ids.HostId, live: collections.abc.Sequence[ids.HostId]
    ) -> None:
        """Replace the list of live entry hosts, including this one."""
        self._own_host = own_host
        self._hosts = tuple(live)
        self.limits.use_hosts(own_host, live)
        for service in self._pools.values():
            service.engine_set.use_hosts(own_host, self._hosts)
            service.grant_waiting(trio.current_time())

    def report_load(self, report: backends.LoadReport) -> None:
        """Process a load report of an engine; reports may be delayed."""
        for service in self._pools.values():
            service.engine_set.report_load(report)

    def update_cached_prefixes(
        self,
        engine_id: ids.EngineId,
        added: collections.abc.Sequence[int],
        removed: collections.abc.Sequence[int],
    ) -> None:
        """Apply KV cache events of an engine; they may be late or missing."""
        for service in self._pools.values():
            if engine_id in service.engine_set.engines:
                service.context.prefixes.add(engine_id, added)
                service.context.prefixes.remove(engine_id, removed)


def _queue_states(
    name: ids.ServiceName, service: pool.ServicePool, now: float
) -> collections.abc.Iterator[queues.QueueState]:
    """Yield the queue state of each tier of one service."""
    waits_by_tier: collections.defaultdict[ids.Tier, list[float]] = (
        collections.defaultdict(list)
    )
    for waiter in service.plugins.queue.waiters():
        waits_by_tier[waiter.ticket.tier].append(now - waiter.ticket.arrived)
    for tier, waits in sorted(waits_by_tier.items()):
        yield queues.QueueState(name, tier, len(waits), max(waits))


def _abandon(service: pool.ServicePool, waiter: waiting.Waiter) -> None:
    """Remove a cancelled request from the queue, or release its slot."""
    if waiter.outcome is None:
        service.discard(waiter, trio.current_time())
    elif not isinstance(waiter.outcome, requests.Refused):
        waiter.outcome.close(interface.AttemptEnd.CANCELLED)
