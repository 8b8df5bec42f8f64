"""One service on one host: its queue, its engines and its plug-ins."""

import collections
import collections.abc
import random
import typing

from corianderloft._internal.decisions import balancers
from corianderloft._internal.decisions import demand
from corianderloft._internal.decisions import engines
from corianderloft._internal.decisions import grants
from corianderloft._internal.decisions import guarantee
from corianderloft._internal.decisions import health
from corianderloft._internal.decisions import hedges
from corianderloft._internal.decisions import homes
from corianderloft._internal.decisions import interface
from corianderloft._internal.decisions import keeper
from corianderloft._internal.decisions import lengths
from corianderloft._internal.decisions import limiters
from corianderloft._internal.decisions import plugins
from corianderloft._internal.decisions import prefixes
from corianderloft._internal.decisions import queues
from corianderloft._internal.decisions import refusals
from corianderloft._internal.decisions import retries
from corianderloft._internal.decisions import waiting
from corianderloft._internal.kernel import registry
from corianderloft._internal.models import backends
from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from corianderloft._internal.models import requests

__all__ = [
    'ServicePool',
    'balancers',
    'hedges',
    'limiters',
    'queues',
    'retries',
]

T = typing.TypeVar('T')

_DEFAULT = 'default'

_FAILED_ENDS = frozenset(
    {
        interface.AttemptEnd.CONNECT_FAILED,
        interface.AttemptEnd.CONNECTION_LOST,
        interface.AttemptEnd.SILENT,
        interface.AttemptEnd.BACKEND_REFUSED,
        interface.AttemptEnd.BACKEND_ERROR,
    }
)

_HARD_ENDS = _FAILED_ENDS - {interface.AttemptEnd.BACKEND_ERROR}
"""Ends after which an engine is given nothing for a while."""


def _plugin(
    plugin_registry: registry.Registry[T], name: str, fallback: str
) -> T:
    """Return the plug-in that a template or else the settings name."""
    found = plugin_registry.find(fallback if name == _DEFAULT else name)
    if isinstance(found, registry.UnknownPlugin):
        raise LookupError(str(found))
    return found


def _plugin_names(template: catalog.ServiceTemplate) -> tuple[str, ...]:
    return (
        template.balancer,
        template.queue_policy,
        template.limiter,
        template.retry_rule,
    )


class ServicePool:
    """Grants the requests of one service to its engines."""

    def __init__(
        self,
        template: catalog.ServiceTemplate,
        cfg: plugins.Settings,
        rng: random.Random,
    ) -> None:
        self.engines: dict[ids.EngineId, engines.EngineView] = {}
        self._cfg = cfg
        self._rng = rng
        self._sequence = 0
        self._own = ids.HostId('')
        self._hosts: tuple[ids.HostId, ...] = ()
        self._live: list[engines.EngineView] = []
        self._capacity = 0.0
        self._running: collections.Counter[ids.RequestId] = (
            collections.Counter()
        )
        self.keeper = keeper.Keeper()
        self.demand = demand.Demand()
        self.lengths = lengths.Lengths()
        self.health = health.Health(cfg, rng)
        self.guarantee = guarantee.Guarantee(cfg)
        self.scene = plugins.Scene(prefixes.Prefixes())
        self._load_plugins(template)

    def _load_plugins(self, template: catalog.ServiceTemplate) -> None:
        cfg = self._cfg
        rng = self._rng
        self.template = template
        self.balancer = _plugin(
            plugins.BALANCERS, template.balancer, cfg.balancer
        )(cfg, rng)
        self.queue = _plugin(
            plugins.QUEUE_POLICIES, template.queue_policy, cfg.queue_policy
        )(cfg)
        self.limiter = _plugin(
            plugins.LIMITERS, template.limiter, cfg.limiter
        )(cfg)
        self.retry_rule = _plugin(
            plugins.RETRY_RULES, template.retry_rule, cfg.retry_rule
        )(cfg, rng)
        self.hedge_rule = _plugin(
            plugins.HEDGE_RULES, _DEFAULT, cfg.hedge_rule
        )(cfg)
        self.limiter.use_host_count(max(1, len(self._hosts)))
        self._judges = self.balancer.judges_health
        self._refresh()

    def use_template(self, template: catalog.ServiceTemplate) -> None:
        """Put a changed template in force; waiting requests stay."""
        if _plugin_names(template) == _plugin_names(self.template):
            self.template = template
            return
        previous = self.queue
        self._load_plugins(template)
        for waiter in previous.waiters():
            self.queue.push(waiter)

    def use_hosts(self, own: ids.HostId, live: tuple[ids.HostId, ...]) -> None:
        """Note which live hosts share the engines."""
        self._own = own
        self._hosts = live
        self.limiter.use_host_count(max(1, len(live)))
        self._refresh()

    def close(self) -> None:
        """Refuse all that waits: the service is no longer declared."""
        for waiter in self.queue.waiters():
            self.queue.discard(waiter)
            waiter.decide(refusals.no_backend(self.template.name))

    def use_backends(
        self, current: collections.abc.Iterable[backends.Backend]
    ) -> None:
        """Replace the engines and keep what is known of those that stay."""
        previous = self.engines
        self.engines = {}
        for backend in current:
            view = previous.get(backend.engine_id)
            if view is None:
                view = engines.EngineView(backend)
            view.backend = backend
            self.engines[backend.engine_id] = view
        self._refresh()

    def _refresh(self) -> None:
        self._live = [e for e in self.engines.values() if e.takes_new_work]
        shares = homes.home_shares(
            self._own, self._hosts, [e.backend.engine_id for e in self._live]
        )
        for engine in self._live:
            engine.home_part = shares.get(engine.backend.engine_id, 0.0)
        self._capacity = self.limiter.capacity(self._live)

    def has_live_engine(self) -> bool:
        """Whether any engine may be given new work."""
        return bool(self._live)

    def report_load(self, report: backends.LoadReport) -> None:
        """Take in an engine's report."""
        engine = self.engines.get(report.engine_id)
        if engine is None:
            return
        engine.report = report
        engine.own_at_report = engine.in_flight
        self.limiter.reported(engine)
        self._capacity = self.limiter.capacity(self._live)

    def waiter(
        self,
        ticket: requests.Ticket,
        exclude: collections.abc.Set[ids.EngineId],
        weight: int,
    ) -> waiting.Waiter:
        """Return a request with its estimates, not queued yet."""
        cost = self.lengths.cost(ticket)
        return waiting.Waiter(
            ticket=ticket,
            lane=waiting.Lane(ticket.tier, cost > self._cfg.long_cost),
            cost=cost,
            weight=weight,
            start_target=ticket.arrived + self._target(ticket),
            exclude=exclude,
        )

    def _target(self, ticket: requests.Ticket) -> float:
        declared = self.template.request_class(ticket.class_name)
        if declared is None:
            return ticket.start_by - ticket.arrived
        return declared.first_token_target

    def enqueue(self, waiter: waiting.Waiter, now: float) -> None:
        """Queue a request, or refuse one that has no chance."""
        refusal = self._refusal(waiter, now)
        if refusal is not None:
            waiter.decide(refusal)
            return
        self._sequence += 1
        waiter.sequence = self._sequence
        self.queue.push(waiter)
        self.demand.queued(waiter, now)
        if len(self.queue) > self._cfg.queue_limit:
            self._shed(waiter, now)

    def _refusal(
        self, waiter: waiting.Waiter, now: float
    ) -> requests.Refused | None:
        request_id = waiter.ticket.request_id
        if self._running.get(request_id):
            if not self.hedge_rule.spend(waiter.cost):
                return refusals.hedge_budget(request_id)
            return None
        rate = self.demand.start_rate(now)
        backlog = self.demand.backlog_before(waiter.lane)
        left = max(0.0, waiter.ticket.start_by - now)
        if rate > 0 and backlog / rate > left * self._cfg.early_refusal:
            return refusals.deadline(request_id, backlog / rate)
        return None

    def discard(self, waiter: waiting.Waiter, now: float) -> None:
        """Remove a request that waits no longer."""
        self.queue.discard(waiter)
        self.demand.left_queue(waiter, now)

    def any_waiter(self) -> waiting.Waiter | None:
        """Return a request that waits, or None."""
        return self.queue.newest_of_lowest_tier()

    def _shed(self, arrived: waiting.Waiter, now: float) -> None:
        victim = self.queue.newest_of_lowest_tier()
        assert victim is not None
        self.discard(victim, now)
        higher = arrived.lane.tier < victim.lane.tier
        victim.decide(refusals.shed(self.template.name, higher))

    def pump(self, now: float) -> None:
        """Grant waiting requests while engines have room."""
        if not len(self.queue):
            return
        self.health.judge(self._live, now)
        self.scene.healthy_gap = self.health.healthy_gap
        blocked = []
        while True:
            waiter, guaranteed = self._next(now)
            if waiter is None:
                break
            if not self._grant(waiter, guaranteed, now):
                blocked.append(waiter)
                if not waiter.exclude:
                    break
        for waiter in reversed(blocked):
            self.queue.put_back(waiter)

    def _next(self, now: float) -> tuple[waiting.Waiter | None, bool]:
        owed = self.guarantee.owed(self.demand, now)
        if owed is not None:
            waiter = self.queue.pop(
                now, lambda lane: lane == owed and self._has_room(lane, now)
            )
            if waiter is not None:
                return waiter, True
        return (
            self.queue.pop(now, lambda lane: self._may_start(lane, now)),
            False,
        )

    def _may_start(self, lane: waiting.Lane, now: float) -> bool:
        if not self.limiter.may_start(lane, self.demand, self._capacity):
            return False
        return self._has_room(lane, now)

    def _has_room(self, lane: waiting.Lane, now: float) -> bool:
        return any(self._takes(engine, lane, now) for engine in self._live)

    def _takes(
        self, engine: engines.EngineView, lane: waiting.Lane, now: float
    ) -> bool:
        if not self.limiter.has_room(engine, lane):
            return False
        return not self._judges or self.health.admits(engine, lane.long, now)

    def _grant(
        self, waiter: waiting.Waiter, guaranteed: bool, now: float
    ) -> bool:
        self.scene.lane_part = self.demand.part_up_to(waiter.lane)
        engine = self.balancer.choose(
            waiter, self._candidates(waiter, now), now, self.scene
        )
        if engine is None:
            return False
        self.health.granted(engine, now)
        self.guarantee.started(waiter, self.demand, guaranteed)
        self.demand.left_queue(waiter, now)
        self.demand.started(waiter, now)
        engine.add(waiter.lane)
        request_id = waiter.ticket.request_id
        engine.awaiting[request_id] = now
        self._running[request_id] += 1
        if not waiter.exclude:
            self.retry_rule.granted(now)
        self.hedge_rule.granted(waiter.cost)
        waiter.decide(grants.AttemptGrant(waiter, engine, self))
        return True

    def _candidates(
        self, waiter: waiting.Waiter, now: float
    ) -> list[engines.EngineView]:
        others = [
            e for e in self._live if e.backend.engine_id not in waiter.exclude
        ]
        return [
            e for e in others or self._live if self._takes(e, waiter.lane, now)
        ]

    def saw_first_token(self, grant: grants.AttemptGrant, now: float) -> None:
        """Take in the first token of an attempt."""
        ticket = grant.waiter.ticket
        engine = grant.engine
        wait = now - grant.started
        engine.awaiting.pop(ticket.request_id, None)
        engine.streams += 1
        engine.last_progress = now
        self.health.answered(engine, self._live, now)
        usual = self.health.usual_wait(ticket.class_name, wait)
        engine.saw_wait(wait, usual, now)
        if not grant.waiter.lane.long:
            self.hedge_rule.first_token(wait)
        self.scene.prefixes.add(engine.backend.engine_id, ticket.prefix_hashes)

    def saw_progress(
        self, grant: grants.AttemptGrant, tokens: int, now: float
    ) -> None:
        """Take in tokens and lower the priority of a job that runs on."""
        grant.engine.saw_tokens(tokens, grant.last_progress, now)
        bound = self._cfg.long_cost * 2**grant.long_steps
        if grant.tokens > bound:
            grant.lower()

    def saw_close(
        self,
        grant: grants.AttemptGrant,
        end: interface.AttemptEnd,
        now: float,
    ) -> None:
        """Take back the slot of an attempt and give it to the next."""
        engine = grant.engine
        ticket = grant.waiter.ticket
        engine.remove(grant.waiter.lane)
        engine.awaiting.pop(ticket.request_id, None)
        engine.streams -= grant.first_token_at is not None
        self._running[ticket.request_id] -= 1
        if not self._running[ticket.request_id]:
            del self._running[ticket.request_id]
        self.demand.ended(grant.waiter, now)
        if end is interface.AttemptEnd.COMPLETE:
            self.lengths.learn(ticket, grant.tokens)
            self.health.answered(engine, self._live, now)
        elif end in _FAILED_ENDS:
            self.limiter.failed(engine)
            hard = end in _HARD_ENDS
            engine.fail(hard, self._rng.random(), now)
        self.pump(now)
