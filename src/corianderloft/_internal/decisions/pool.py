"""One service on one host: its queue, and who is granted a slot."""

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

_PLAIN_COST = 1.0
"""Cost of a call to a plain service, in tokens."""

MOST_BLOCKED = 64
"""Requests that are passed by in one search for one that can start."""


class ServicePool:
    """Grants the requests of one service to its engines.

    Attributes
    ----------
    template : ServiceTemplate
        The service as declared.
    plugins : Chosen
        The plug-ins in force.
    engine_set : EngineSet
        The engines.
    keeper : Keeper
        How requests wait.
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
        self.keeper = queue_timer.Keeper()
        self.plugins = plugin_set.choose(template, cfg, rng)
        self.engine_set = engine_set.EngineSet(self.plugins.limiter, cfg)
        self.health = health.Health(cfg, rng)
        self.guarantee = guarantee.Guarantee(cfg)
        self.scene = plugins.Scene(prefixes.Prefixes())
        self.seen = observations.Observations(
            cfg, self.engine_set, self.health, self.scene, self.pump
        )
        self._use_plugins()
        self.engine_set.use_routes(template.routes)

    def _use_plugins(self) -> None:
        self.seen.limiter = self.plugins.limiter
        self.seen.hedge_rule = self.plugins.hedge_rule
        self.engine_set.use_limiter(self.plugins.limiter)

    def use_template(self, template: catalog.ServiceTemplate) -> None:
        """Put a changed template in force; waiting requests stay."""
        previous = self.template
        self.template = template
        if template.routes != previous.routes:
            self.engine_set.use_routes(template.routes)
        if plugin_set.plugin_names(template) == plugin_set.plugin_names(
            previous
        ):
            return
        queue = self.plugins.queue
        self.plugins = plugin_set.choose(template, self._cfg, self._rng)
        self._use_plugins()
        for waiter in queue.waiters():
            self.plugins.queue.push(waiter)

    def close(self, now: float) -> None:
        """Refuse all that waits: the service is no longer declared."""
        for waiter in self.plugins.queue.waiters():
            self.discard(waiter, now)
            waiter.resolve(refusals.no_backend(self.template.name))

    def waiter(
        self,
        ticket: requests.Ticket,
        exclude: collections.abc.Set[ids.EngineId],
        weight: int,
    ) -> waiting.Waiter:
        """Return a request with its estimates, not queued yet."""
        cost = _PLAIN_COST
        if self.template.kind is states.ServiceKind.MODEL:
            cost = self.seen.lengths.cost(ticket)
        return waiting.Waiter(
            ticket=ticket,
            lane=waiting.Lane(ticket.tier, cost > self._cfg.long_cost),
            cost=cost,
            weight=weight,
            start_target=ticket.arrived + self._target(ticket),
            exclude=exclude,
        )

    def hedge_after(self, ticket: requests.Ticket) -> float | None:
        """Return the wait before a second attempt, or None."""
        return self.seen.hedge_after(ticket, self._target(ticket))

    def _target(self, ticket: requests.Ticket) -> float:
        if ticket.first_token_target is not None:
            return ticket.first_token_target
        declared = self.template.request_class(ticket.class_name)
        if declared is None:
            return ticket.start_by - ticket.arrived
        return declared.first_token_target

    def enqueue(self, waiter: waiting.Waiter, now: float) -> None:
        """Queue a request, or refuse one that has no chance."""
        refusal = self._refusal(waiter, now)
        if refusal is not None:
            waiter.resolve(refusal)
            return
        self._sequence += 1
        waiter.sequence = self._sequence
        self.plugins.queue.push(waiter)
        self.seen.demand.queued(waiter, now)
        if len(self.plugins.queue) > self._cfg.queue_limit:
            self._shed(waiter, now)

    def _refusal(
        self, waiter: waiting.Waiter, now: float
    ) -> requests.Refused | None:
        request_id = waiter.ticket.request_id
        if self.seen.is_hedge(waiter):
            if self.plugins.hedge_rule.spend(waiter.ticket):
                return None
            return refusals.hedge_budget(request_id)
        rate = self.seen.demand.start_rate(now)
        if rate <= 0 or self.health.outage:
            return None
        wait = self.seen.demand.ahead_of(waiter) / rate
        left = max(0.0, waiter.ticket.start_by - now)
        if wait > left * self._cfg.early_refusal:
            return refusals.deadline(request_id, wait)
        return None

    def discard(self, waiter: waiting.Waiter, now: float) -> None:
        """Remove a request that waits no longer."""
        self.plugins.queue.discard(waiter)
        self.seen.demand.left_queue(waiter, now)

    def any_waiter(self) -> waiting.Waiter | None:
        """Return a request that waits, or None."""
        return self.plugins.queue.newest_of_lowest_tier()

    def _shed(self, arrived: waiting.Waiter, now: float) -> None:
        victim = self.plugins.queue.newest_of_lowest_tier()
        assert victim is not None
        self.discard(victim, now)
        higher = arrived.lane.tier < victim.lane.tier
        victim.resolve(refusals.shed(self.template.name, higher))

    def pump(self, now: float) -> None:
        """Grant waiting requests while engines have room."""
        queue = self.plugins.queue
        if not len(queue):
            return
        self.health.judge(self.engine_set.live, now)
        self.scene.healthy_gap = self.health.healthy_gap
        blocked = []
        while True:
            waiter, guaranteed = self._next(now)
            if waiter is None:
                break
            if not self._grant(waiter, guaranteed, now):
                blocked.append(waiter)
                if self._blocks_others(waiter, len(blocked)):
                    break
        for waiter in reversed(blocked):
            queue.put_back(waiter)

    def _blocks_others(self, waiter: waiting.Waiter, blocked: int) -> bool:
        """Whether no request behind ``waiter`` can start either."""
        if self.engine_set.differs:
            return blocked >= MOST_BLOCKED
        return not waiter.exclude

    def _next(self, now: float) -> tuple[waiting.Waiter | None, bool]:
        queue = self.plugins.queue
        owed = self.guarantee.owed(self.seen.demand, now)
        if owed is not None:
            waiter = queue.pop(
                now, lambda lane: lane == owed and self._has_room(lane, now)
            )
            if waiter is not None:
                return waiter, True
        return queue.pop(now, lambda lane: self._may_start(lane, now)), False

    def _may_start(self, lane: waiting.Lane, now: float) -> bool:
        if not self.plugins.limiter.may_start(
            lane, self.seen.demand, self.engine_set.capacity
        ):
            return False
        return self._has_room(lane, now)

    def _has_room(self, lane: waiting.Lane, now: float) -> bool:
        return any(self._takes(e, lane, now) for e in self.engine_set.live)

    def _takes(
        self, engine: engines.EngineView, lane: waiting.Lane, now: float
    ) -> bool:
        if not self.plugins.limiter.has_room(engine, lane):
            return False
        if not self.plugins.balancer.judges_health:
            return True
        return self.health.admits(engine, lane.long, now)

    def _grant(
        self, waiter: waiting.Waiter, guaranteed: bool, now: float
    ) -> bool:
        self.scene.lane_part = self.seen.demand.part_up_to(waiter.lane)
        engine = self.plugins.balancer.choose(
            waiter, self._candidates(waiter, now), now, self.scene
        )
        if engine is None:
            return False
        self.health.granted(engine, now)
        self.guarantee.started(waiter, self.seen.demand, guaranteed)
        if not waiter.exclude:
            self.plugins.retry_rule.granted(now)
        self.plugins.hedge_rule.granted(waiter.cost)
        grant = grants.AttemptGrant(waiter, engine, self.seen)
        self.seen.saw_grant(grant, now)
        waiter.resolve(grant)
        return True

    def _candidates(
        self, waiter: waiting.Waiter, now: float
    ) -> list[engines.EngineView]:
        workspace = waiter.ticket.workspace
        live = self.engine_set.live_for(workspace)
        others = [e for e in live if e.backend.engine_id not in waiter.exclude]
        open_to = [
            e for e in others or live if self._takes(e, waiter.lane, now)
        ]
        candidates = self.engine_set.routes_of(workspace).prefer(open_to)
        return self._trials(waiter, candidates) or candidates

    def _trials(
        self,
        waiter: waiting.Waiter,
        candidates: list[engines.EngineView],
    ) -> list[engines.EngineView]:
        """Return engines whose trial is due, if the request can bear it."""
        if not waiter.ticket.idempotent:
            return [e for e in candidates if not e.on_trial]
        return [e for e in candidates if e.on_trial]
