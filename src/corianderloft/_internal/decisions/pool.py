"""Queue of one service on one host, from which engines get their requests."""

import collections.abc
import random

from corianderloft._internal.decisions import engine_set
from corianderloft._internal.decisions import engines
from corianderloft._internal.decisions import grants
from corianderloft._internal.decisions import guarantee
from corianderloft._internal.decisions import health
from corianderloft._internal.decisions import observations
from corianderloft._internal.decisions import plugin_set
from corianderloft._internal.decisions import plugins
from corianderloft._internal.decisions import prefixes
from corianderloft._internal.decisions import queue_timer
from corianderloft._internal.decisions import refusals
from corianderloft._internal.decisions import waiting
from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from corianderloft._internal.models import requests
from corianderloft._internal.models import states

_PLAIN_SERVICE_COST_TOKENS = 1.0
"""Cost of a call to a plain service, in tokens."""

MAX_BLOCKED_REQUESTS = 64
"""Limit on the blocked requests that one pass over the queue skips."""


class ServicePool:
    """Queues the requests of one service and assigns them to engines.

    Attributes
    ----------
    template : ServiceTemplate
        The service as declared.
    plugins : PluginSet
        The plug-ins in use.
    engine_set : EngineSet
        The engines.
    queue_timer : QueueTimer
        Waits for an outcome and serves the queue periodically.
    """

    def __init__(
        self,
        template: catalog.ServiceTemplate,
        cfg: plugins.Settings,
        rng: random.Random,
    ) -> None:
        self._cfg = cfg
        self._rng = rng
        self._sequence = 0
        self.template = template
        self.queue_timer = queue_timer.QueueTimer()
        self.plugins = plugin_set.create(template, cfg, rng)
        self.engine_set = engine_set.EngineSet(self.plugins.limiter, cfg)
        self.health = health.Health(cfg, rng)
        self.guarantee = guarantee.Guarantee(cfg)
        self.context = plugins.BalancerContext(prefixes.PrefixIndex())
        self.observations = observations.Observations(
            cfg, self.engine_set, self.health, self.context, self.grant_waiting
        )
        self._use_plugins()
        self.engine_set.use_routes(template.routes)

    def _use_plugins(self) -> None:
        self.observations.limiter = self.plugins.limiter
        self.observations.hedge_rule = self.plugins.hedge_rule
        self.engine_set.use_limiter(self.plugins.limiter)

    def use_template(self, template: catalog.ServiceTemplate) -> None:
        """Apply a changed template; queued requests are kept."""
        previous = self.template
        self.template = template
        if template.routes != previous.routes:
            self.engine_set.use_routes(template.routes)
        if plugin_set.plugin_names(template) == plugin_set.plugin_names(
            previous
        ):
            return
        queue = self.plugins.queue
        self.plugins = plugin_set.create(template, self._cfg, self._rng)
        self._use_plugins()
        for waiter in queue.waiters():
            self.plugins.queue.push(waiter)

    def close(self, now: float) -> None:
        """Refuse all queued requests: the service is no longer declared."""
        for waiter in self.plugins.queue.waiters():
            self.discard(waiter, now)
            waiter.resolve(refusals.no_backend(self.template.name))

    def new_waiter(
        self,
        ticket: requests.Ticket,
        exclude: collections.abc.Set[ids.EngineId],
        weight: int,
    ) -> waiting.Waiter:
        """Create a waiter with its estimated cost, without queueing it."""
        cost = _PLAIN_SERVICE_COST_TOKENS
        if self.template.kind is states.ServiceKind.MODEL:
            cost = self.observations.lengths.cost(ticket)
        return waiting.Waiter(
            ticket=ticket,
            lane=waiting.Lane(ticket.tier, cost > self._cfg.long_cost),
            cost=cost,
            weight=weight,
            start_target=ticket.arrived + self._target(ticket),
            exclude=exclude,
        )

    def hedge_after(self, ticket: requests.Ticket) -> float | None:
        """Return the hedging delay in seconds, or None for no hedge."""
        return self.observations.hedge_after(ticket, self._target(ticket))

    def _target(self, ticket: requests.Ticket) -> float:
        if ticket.first_token_target is not None:
            return ticket.first_token_target
        declared = self.template.request_class(ticket.class_name)
        if declared is None:
            return ticket.start_by - ticket.arrived
        return declared.first_token_target

    def enqueue(self, waiter: waiting.Waiter, now: float) -> None:
        """Queue a request, or refuse it if it cannot start in time."""
        refusal = self._refusal(waiter, now)
        if refusal is not None:
            waiter.resolve(refusal)
            return
        self._sequence += 1
        waiter.sequence = self._sequence
        self.plugins.queue.push(waiter)
        self.observations.demand.on_queued(waiter, now)
        if len(self.plugins.queue) > self._cfg.queue_limit:
            self._shed(waiter, now)

    def _refusal(
        self, waiter: waiting.Waiter, now: float
    ) -> requests.Refused | None:
        request_id = waiter.ticket.request_id
        if self.observations.is_hedge(waiter):
            if self.plugins.hedge_rule.try_spend(waiter.ticket):
                return None
            return refusals.hedge_budget(request_id)
        rate = self.observations.demand.start_rate(now)
        if rate <= 0 or self.health.outage:
            return None
        wait = self.observations.demand.cost_ahead_of(waiter) / rate
        time_left = max(0.0, waiter.ticket.start_by - now)
        if wait > time_left * self._cfg.early_refusal:
            return refusals.deadline(request_id, wait)
        return None

    def discard(self, waiter: waiting.Waiter, now: float) -> None:
        """Remove a request from the queue."""
        self.plugins.queue.discard(waiter)
        self.observations.demand.on_dequeued(waiter, now)

    def any_waiter(self) -> waiting.Waiter | None:
        """Return one queued request, or None."""
        return self.plugins.queue.newest_of_lowest_tier()

    def _shed(self, arrived: waiting.Waiter, now: float) -> None:
        victim = self.plugins.queue.newest_of_lowest_tier()
        assert victim is not None
        self.discard(victim, now)
        for_higher_tier = arrived.lane.tier < victim.lane.tier
        victim.resolve(refusals.shed(self.template.name, for_higher_tier))

    def grant_waiting(self, now: float) -> None:
        """Grant queued requests while engines have free slots."""
        queue = self.plugins.queue
        if not len(queue):
            return
        self.health.update_ejections(self.engine_set.live, now)
        self.context.healthy_token_interval = (
            self.health.healthy_token_interval
        )
        blocked = []
        while True:
            waiter, guaranteed = self._pop_next(now)
            if waiter is None:
                break
            if not self._grant(waiter, guaranteed, now):
                blocked.append(waiter)
                if self._blocks_others(waiter, len(blocked)):
                    break
        for waiter in reversed(blocked):
            queue.put_back(waiter)

    def _blocks_others(self, waiter: waiting.Waiter, blocked: int) -> bool:
        """Return whether to stop the search for requests that can start.

        Without workspace routes, a request that excludes no engine blocks
        all requests behind it.
        """
        if self.engine_set.has_workspace_routes:
            return blocked >= MAX_BLOCKED_REQUESTS
        return not waiter.exclude

    def _pop_next(self, now: float) -> tuple[waiting.Waiter | None, bool]:
        queue = self.plugins.queue
        overdue = self.guarantee.overdue_lane(self.observations.demand, now)
        if overdue is not None:
            waiter = queue.pop(
                now, lambda lane: lane == overdue and self._has_room(lane, now)
            )
            if waiter is not None:
                return waiter, True
        return queue.pop(now, lambda lane: self._may_start(lane, now)), False

    def _may_start(self, lane: waiting.Lane, now: float) -> bool:
        if not self.plugins.limiter.may_start(
            lane, self.observations.demand, self.engine_set.capacity
        ):
            return False
        return self._has_room(lane, now)

    def _has_room(self, lane: waiting.Lane, now: float) -> bool:
        return any(
            self._can_accept(e, lane, now) for e in self.engine_set.live
        )

    def _can_accept(
        self, engine: engines.EngineView, lane: waiting.Lane, now: float
    ) -> bool:
        if not self.plugins.limiter.has_room(engine, lane):
            return False
        if not self.plugins.balancer.uses_health:
            return True
        return self.health.admits(engine, lane.long, now)

    def _grant(
        self, waiter: waiting.Waiter, guaranteed: bool, now: float
    ) -> bool:
        self.context.lane_fraction = (
            self.observations.demand.fraction_at_or_above(waiter.lane)
        )
        engine = self.plugins.balancer.choose(
            waiter, self._candidates(waiter, now), now, self.context
        )
        if engine is None:
            return False
        self.health.on_granted(engine, now)
        self.guarantee.on_started(waiter, self.observations.demand, guaranteed)
        if not waiter.exclude:
            self.plugins.retry_rule.on_granted(now)
        self.plugins.hedge_rule.on_granted(waiter.cost)
        grant = grants.AttemptGrant(waiter, engine, self.observations)
        self.observations.on_grant(grant, now)
        waiter.resolve(grant)
        return True

    def _candidates(
        self, waiter: waiting.Waiter, now: float
    ) -> list[engines.EngineView]:
        workspace = waiter.ticket.workspace
        live = self.engine_set.live_for(workspace)
        untried = [
            e for e in live if e.backend.engine_id not in waiter.exclude
        ]
        available = [
            e for e in untried or live if self._can_accept(e, waiter.lane, now)
        ]
        candidates = self.engine_set.routes_of(workspace).next_in_turn(
            available
        )
        return self._filter_probes(waiter, candidates) or candidates

    def _filter_probes(
        self,
        waiter: waiting.Waiter,
        candidates: list[engines.EngineView],
    ) -> list[engines.EngineView]:
        """Return the candidates to probe; the others if not idempotent.

        A probe may fail and be retried, so only an idempotent request may
        be one.
        """
        if not waiter.ticket.idempotent:
            return [e for e in candidates if not e.needs_probe]
        return [e for e in candidates if e.needs_probe]
