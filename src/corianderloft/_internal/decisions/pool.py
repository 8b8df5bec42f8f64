"""One service on one host: its queue, its engines and its plug-ins."""

import collections.abc
import random
import typing

from corianderloft._internal.decisions import balancers
from corianderloft._internal.decisions import engines
from corianderloft._internal.decisions import grants
from corianderloft._internal.decisions import hedges
from corianderloft._internal.decisions import interface
from corianderloft._internal.decisions import limiters
from corianderloft._internal.decisions import plugins
from corianderloft._internal.decisions import queues
from corianderloft._internal.decisions import refusals
from corianderloft._internal.decisions import retries
from corianderloft._internal.decisions import waiting
from corianderloft._internal.kernel import registry
from corianderloft._internal.models import backends
from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from corianderloft._internal.models import reasons

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
        self._host_count = 1
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
        self.limiter.use_host_count(self._host_count)

    def use_template(self, template: catalog.ServiceTemplate) -> None:
        """Put a changed template in force; waiting requests stay."""
        if _plugin_names(template) == _plugin_names(self.template):
            self.template = template
            return
        previous = self.queue
        self._load_plugins(template)
        for waiter in previous.waiters():
            self.queue.push(waiter)

    def use_host_count(self, count: int) -> None:
        """Note how many live hosts share the engines."""
        self._host_count = count
        self.limiter.use_host_count(count)

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

    def has_live_engine(self) -> bool:
        """Whether any engine may be given new work."""
        return any(e.takes_new_work for e in self.engines.values())

    def enqueue(self, waiter: waiting.Waiter) -> None:
        """Queue a request; the newest of the lowest tier makes room."""
        self._sequence += 1
        waiter.sequence = self._sequence
        self.queue.push(waiter)
        if len(self.queue) > self._cfg.queue_limit:
            self._shed(waiter)

    def _shed(self, arrived: waiting.Waiter) -> None:
        victim = self.queue.newest_of_lowest_tier()
        assert victim is not None
        self.queue.discard(victim)
        higher = arrived.lane.tier < victim.lane.tier
        reason = (
            reasons.RefusalReason.SHED_FOR_HIGHER_TIER
            if higher
            else reasons.RefusalReason.QUEUE_FULL
        )
        victim.decide(
            refusals.not_run(
                reason,
                f'queue of service {self.template.name!r} is full',
                retry_after=refusals.RETRY_AFTER_FULL,
            )
        )

    def pump(self, now: float) -> None:
        """Grant waiting requests while engines have room."""
        blocked = []
        while True:
            waiter = self.queue.pop(now, self._lane_has_room)
            if waiter is None:
                break
            if not self._grant(waiter, now):
                blocked.append(waiter)
                if not waiter.exclude:
                    break
        for waiter in reversed(blocked):
            self.queue.put_back(waiter)

    def _grant(self, waiter: waiting.Waiter, now: float) -> bool:
        engine = self.balancer.choose(waiter, self._candidates(waiter), now)
        if engine is None:
            return False
        engine.in_flight += 1
        engine.long_in_flight += waiter.lane.long
        self.retry_rule.granted(now)
        self.hedge_rule.granted(waiter.cost)
        waiter.decide(grants.AttemptGrant(waiter, engine, self))
        return True

    def _has_room(
        self, engine: engines.EngineView, lane: waiting.Lane
    ) -> bool:
        return engine.takes_new_work and (
            engine.in_flight < self.limiter.limit(engine, lane)
        )

    def _lane_has_room(self, lane: waiting.Lane) -> bool:
        return any(self._has_room(e, lane) for e in self.engines.values())

    def _candidates(self, waiter: waiting.Waiter) -> list[engines.EngineView]:
        live = [e for e in self.engines.values() if e.takes_new_work]
        others = [e for e in live if e.backend.engine_id not in waiter.exclude]
        return [e for e in others or live if self._has_room(e, waiter.lane)]

    def saw_first_token(self, grant: grants.AttemptGrant, now: float) -> None:
        """Take in the first token of an attempt."""
        wait = now - grant.started
        self.hedge_rule.first_token(wait)
        self.limiter.started(grant.engine, wait, wait)

    def saw_close(
        self,
        grant: grants.AttemptGrant,
        end: interface.AttemptEnd,
        now: float,
    ) -> None:
        """Take back the slot of an attempt and give it to the next."""
        grant.engine.in_flight -= 1
        grant.engine.long_in_flight -= grant.waiter.lane.long
        if end in _FAILED_ENDS:
            self.limiter.failed(grant.engine)
        self.pump(now)
