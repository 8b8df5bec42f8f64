"""The decisions on the requests of one entry host."""

import collections.abc
import random

import trio

from corianderloft._internal.decisions import interface
from corianderloft._internal.decisions import plugins
from corianderloft._internal.decisions import pool
from corianderloft._internal.decisions import refusals
from corianderloft._internal.decisions import waiting
from corianderloft._internal.models import backends
from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests

_Reason = reasons.RefusalReason


class LocalDispatcher:
    """Dispatcher of one host; shares the engines with other hosts.

    Parameters
    ----------
    cfg : DecisionSettings
        Section ``decisions`` of the settings.
    rng : Random or None
        Source of random numbers; None for one of its own.
    """

    def __init__(
        self, cfg: plugins.Settings, rng: random.Random | None = None
    ) -> None:
        self._cfg = cfg
        self._rng = rng or random.Random()
        self._pools: dict[ids.ServiceName, pool.ServicePool] = {}
        self._backends: tuple[backends.Backend, ...] = ()
        self._weights: dict[ids.WorkspaceId, int] = {}
        self._host_count = 1

    async def acquire(
        self,
        ticket: requests.Ticket,
        exclude: collections.abc.Set[ids.EngineId] = frozenset(),
    ) -> interface.Grant | requests.Refused:
        """Queue a request until it may run on a backend server."""
        service = self._pools.get(ticket.service)
        if service is None or not service.has_live_engine():
            return refusals.no_backend(ticket.service)
        waiter = self._waiter(ticket, exclude)
        service.enqueue(waiter)
        service.pump(trio.current_time())
        return await self._decision(service, waiter)

    async def _decision(
        self, service: pool.ServicePool, waiter: waiting.Waiter
    ) -> interface.Grant | requests.Refused:
        try:
            with trio.move_on_at(waiter.ticket.start_by):
                await waiter.decided.wait()
        except trio.Cancelled:
            self._abandon(service, waiter)
            raise
        if waiter.outcome is not None:
            return waiter.outcome
        service.queue.discard(waiter)
        return refusals.not_run(
            _Reason.DEADLINE,
            f'request {waiter.ticket.request_id} did not start in time',
        )

    def _abandon(
        self, service: pool.ServicePool, waiter: waiting.Waiter
    ) -> None:
        if waiter.outcome is None:
            service.queue.discard(waiter)
        elif not isinstance(waiter.outcome, requests.Refused):
            waiter.outcome.close(interface.AttemptEnd.CANCELLED)

    def _waiter(
        self,
        ticket: requests.Ticket,
        exclude: collections.abc.Set[ids.EngineId],
    ) -> waiting.Waiter:
        return waiting.Waiter(
            ticket=ticket,
            lane=waiting.Lane(ticket.tier),
            cost=float(ticket.prompt_tokens + ticket.max_tokens),
            weight=self._weights.get(ticket.workspace, 1),
            start_target=ticket.start_by,
            exclude=exclude,
        )

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
        return service.retry_rule.decide(
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
        return service.hedge_rule.delay(ticket, float(ticket.max_tokens))

    def use_catalog(self, current: catalog.Catalog) -> None:
        """Put a new configuration in force."""
        self._weights = {
            w.workspace_id: w.limits.weight for w in current.workspaces
        }
        known = {service.name for service in current.services}
        for template in current.services:
            self._use_template(template)
        for name in set(self._pools) - known:
            self._pools.pop(name).close()
        self.use_backends(self._backends)

    def _use_template(self, template: catalog.ServiceTemplate) -> None:
        service = self._pools.get(template.name)
        if service is None:
            service = pool.ServicePool(template, self._cfg, self._rng)
            service.use_host_count(self._host_count)
            self._pools[template.name] = service
        service.use_template(template)

    def use_backends(
        self, current: collections.abc.Sequence[backends.Backend]
    ) -> None:
        """Replace the list of backend servers, leaving ones included."""
        self._backends = tuple(current)
        for name, service in self._pools.items():
            service.use_backends(b for b in current if b.service == name)
            service.pump(trio.current_time())

    def use_hosts(
        self, own: ids.HostId, live: collections.abc.Sequence[ids.HostId]
    ) -> None:
        """Replace the list of live entry hosts, this one included."""
        self._host_count = max(1, len(live))
        for service in self._pools.values():
            service.use_host_count(self._host_count)
            service.pump(trio.current_time())

    def report_load(self, report: backends.LoadReport) -> None:
        """Take in an engine's own, late report of its load."""
        for service in self._pools.values():
            engine = service.engines.get(report.engine_id)
            if engine is not None:
                engine.report = report

    def cached_prefixes(
        self,
        engine_id: ids.EngineId,
        added: collections.abc.Sequence[int],
        removed: collections.abc.Sequence[int],
    ) -> None:
        """Take in late cache events of an engine; gaps are possible."""
