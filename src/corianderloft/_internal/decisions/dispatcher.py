"""The decisions on the requests of one entry host."""

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
    """Dispatcher of one host; shares the engines with other hosts.

    Parameters
    ----------
    cfg : DecisionSettings
        Section ``decisions`` of the settings.
    rng : Random or None
        Source of random numbers; None for one of its own.

    Attributes
    ----------
    limits : Limits
        Limits of workspaces; hosts may tell it what their peers see.
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
        self._own = ids.HostId('')
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
        waiter = service.waiter(ticket, exclude, weight)
        refusal = self._over_limit(service, waiter, now)
        if refusal is not None:
            return refusal
        service.enqueue(waiter, now)
        service.pump(now)
        try:
            await service.keeper.wait(service, waiter)
        except trio.Cancelled:
            _abandon(service, waiter)
            raise
        if waiter.outcome is not None:
            return waiter.outcome
        service.discard(waiter, trio.current_time())
        return refusals.deadline(ticket.request_id)

    def _over_limit(
        self, service: pool.ServicePool, waiter: waiting.Waiter, now: float
    ) -> requests.Refused | None:
        """Charge the workspace for a first attempt."""
        if waiter.exclude or service.seen.is_hedge(waiter):
            return None
        workspace = waiter.ticket.workspace
        wait = self.limits.wait(workspace, waiter.cost, now)
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
        """Decide whether a failed attempt is followed by another."""
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
        """Return the wait in seconds before a second attempt, or None."""
        service = self._pools.get(ticket.service)
        if service is None or not ticket.idempotent:
            return None
        return service.hedge_after(ticket)

    def queue_states(self) -> tuple[queues.QueueState, ...]:
        """Return the queues in which requests wait, by service and tier."""
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
                for lane in service.seen.demand.lanes.values()
            ),
            default=0.0,
        )

    def use_catalog(self, current: catalog.Catalog) -> None:
        """Put a new configuration in force."""
        self._weights = {
            w.workspace_id: w.limits.weight
            for w in current.limited_workspaces()
        }
        self.limits.use_catalog(current)
        known = {service.name for service in current.services}
        own = routes.own_routes(current.workspaces)
        for template in current.services:
            self._use_template(template)
            self._pools[template.name].engine_set.use_own_routes(
                own.get(template.name, {})
            )
        for name in set(self._pools) - known:
            self._pools.pop(name).close(trio.current_time())
        self.use_backends(self._backends)

    def _use_template(self, template: catalog.ServiceTemplate) -> None:
        service = self._pools.get(template.name)
        if service is None:
            service = pool.ServicePool(template, self._cfg, self._rng)
            service.engine_set.use_hosts(self._own, self._hosts)
            self._pools[template.name] = service
        service.use_template(template)

    def use_backends(
        self, current: collections.abc.Sequence[backends.Backend]
    ) -> None:
        """Replace the list of backend servers, leaving ones included."""
        self._backends = tuple(current)
        for name, service in self._pools.items():
            service.engine_set.use_backends(
                b for b in current if b.service == name
            )
            service.pump(trio.current_time())

    def use_hosts(
        self, own: ids.HostId, live: collections.abc.Sequence[ids.HostId]
    ) -> None:
        """Replace the list of live entry hosts, this one included."""
        self._own = own
        self._hosts = tuple(live)
        self.limits.use_hosts(own, live)
        for service in self._pools.values():
            service.engine_set.use_hosts(own, self._hosts)
            service.pump(trio.current_time())

    def report_load(self, report: backends.LoadReport) -> None:
        """Take in an engine's own, late report of its load."""
        for service in self._pools.values():
            service.engine_set.report_load(report)

    def update_cached_prefixes(
        self,
        engine_id: ids.EngineId,
        added: collections.abc.Sequence[int],
        removed: collections.abc.Sequence[int],
    ) -> None:
        """Take in late cache events of an engine; gaps are possible."""
        for service in self._pools.values():
            if engine_id in service.engine_set.engines:
                service.scene.prefixes.add(engine_id, added)
                service.scene.prefixes.remove(engine_id, removed)


def _queue_states(
    name: ids.ServiceName, service: pool.ServicePool, now: float
) -> collections.abc.Iterator[queues.QueueState]:
    """Yield the queue of each tier of one service."""
    ages: collections.defaultdict[ids.Tier, list[float]] = (
        collections.defaultdict(list)
    )
    for waiter in service.plugins.queue.waiters():
        ages[waiter.ticket.tier].append(now - waiter.ticket.arrived)
    for tier, waits in sorted(ages.items()):
        yield queues.QueueState(name, tier, len(waits), max(waits))


def _abandon(service: pool.ServicePool, waiter: waiting.Waiter) -> None:
    """Leave the queue, or give back a slot that nobody will use."""
    if waiter.outcome is None:
        service.discard(waiter, trio.current_time())
    elif not isinstance(waiter.outcome, requests.Refused):
        waiter.outcome.close(interface.AttemptEnd.CANCELLED)
