"""Grants requests of this host to backend servers."""

import collections.abc
import itertools
import logging
import random

import trio

from corianderloft._internal.kernel import registry
from corianderloft._internal.models import ids
from corianderloft._internal.models import instances
from corianderloft._internal.models import listener
from corianderloft._internal.models import members
from corianderloft._internal.models import routing
from corianderloft._internal.models import states
from corianderloft._internal.placement import budget
from corianderloft._internal.placement import (
    choosers as _choosers,
)  # noqa: F401
from corianderloft._internal.placement import engines
from corianderloft._internal.placement import interface

logger = logging.getLogger(__name__)


class Grant:
    """Permission to send one request to one backend server."""

    def __init__(
        self, placer: 'Placer', engine: engines.Engine, number: int
    ) -> None:
        self._placer = placer
        self._number = number
        self.engine = engine

    def started(self) -> None:
        """Note that the answer has begun."""
        work = self.engine.work.get(self._number)
        if work is not None:
            work.started = True
        self._placer.wake()

    def close(self, end: interface.End) -> None:
        """Note how the send ended; later calls do nothing."""
        if self.engine.work.pop(self._number, None) is not None:
            self._placer.note_end(self.engine, end)


class Placer(listener.Listener):
    """Decides for all services of one host.

    Parameters
    ----------
    domain : FailureDomain
        Where this host stands.
    retries : RetryBudget
        Budget for repeated sends.
    rng : Random
        Source of random numbers.
    """

    def __init__(
        self,
        domain: ids.FailureDomain,
        retries: budget.RetryBudget,
        rng: random.Random,
    ) -> None:
        self._domain = domain
        self._rng = rng
        self._numbers = itertools.count()
        self._changed = trio.Event()
        self._table: routing.RoutingTable | None = None
        self._engines: dict[engines.Key, engines.Engine] = {}
        self._listed: tuple[instances.Instance, ...] = ()
        self._model_chooser = _make('separated_prefix')
        self._plain_chooser = _make('fewest_requests')
        self.retries = retries

    def use_table(self, table: routing.RoutingTable) -> None:
        """Take over new declarations."""
        self._table = table
        self.wake()

    def use_instances(
        self, current: collections.abc.Sequence[instances.Instance]
    ) -> None:
        """Take over a new list of backend servers."""
        kept: dict[engines.Key, engines.Engine] = {}
        for instance in current:
            key = instance.engine_id, instance.born
            engine = self._engines.get(key)
            if engine is None:
                engine = engines.Engine(instance, self._model(instance))
            engine.instance = instance
            kept[key] = engine
        self._engines = kept
        self.wake()

    def use_members(
        self, current: collections.abc.Sequence[members.Member]
    ) -> None:
        """Take over a new list of entry hosts."""
        self.retries.use_hosts(len(current))

    def pick_service(self, route: routing.Route) -> ids.ServiceName:
        """Return one of the services of a route, by their weights."""
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        return self._rng.choices(route.shares, weights)[0].service

    async def acquire(
        self,
        job: interface.Job,
        exclude: collections.abc.Set[engines.Key] = frozenset(),
    ) -> Grant | interface.Refused:
        """Wait until a request may be sent to a backend server."""
        patience = min(job.until, job.arrived + job.route.target / 8)
        while True:
            now = trio.current_time()
            if now >= job.until:
                return interface.Refused(interface.Refusal.TOO_LATE, 0.1)
            engine = self._choose(job, exclude, now)
            if engine is not None:
                return self._grant(job, engine, now)
            if now >= patience:
                return interface.Refused(interface.Refusal.NO_BACKEND, 0.3)
            with trio.move_on_at(patience):
                await self._changed.wait()

    def wake(self) -> None:
        """Let waiting requests look again."""
        self._changed.set()
        self._changed = trio.Event()

    def known_engines(self) -> collections.abc.Iterable[engines.Engine]:
        """Return what is known of each backend server."""
        return self._engines.values()

    def note_end(self, engine: engines.Engine, end: interface.End) -> None:
        """Learn from how a send ended."""
        now = trio.current_time()
        match end:
            case interface.End.COMPLETE | interface.End.NOT_RUN:
                engine.health.note_answer(False)
            case interface.End.ERROR_ANSWER:
                engine.health.note_answer(True)
            case interface.End.NOT_CONNECTED:
                engine.health.note_unreachable(now)
            case interface.End.SILENT:
                engine.health.note_silent(now)
            case interface.End.BROKEN:
                engine.health.note_answer(True)
            case _:
                engine.health.note_nothing()
        if engine.health.ejected(now):
            logger.warning(
                'backend server ejected',
                extra={
                    'engine': engine.engine_id,
                    'end': end.value,
                    'error_share': round(engine.health.error_share, 2),
                },
            )
        self.wake()

    def _choose(
        self,
        job: interface.Job,
        exclude: collections.abc.Set[engines.Key],
        now: float,
    ) -> engines.Engine | None:
        everyone = [
            engine
            for engine in self._engines.values()
            if engine.instance.service == job.service
            and engine.instance.state is states.BackendState.LIVE
        ]
        usable = [
            e
            for e in everyone
            if e.key not in exclude and e.health.usable(now)
        ]
        service = self._table and self._table.services.get(job.service)
        model = service.model if service else None
        chooser = self._model_chooser if model else self._plain_chooser
        return chooser.choose(
            interface.Scene(job, usable, everyone, model, self._domain, now)
        )

    def _grant(
        self, job: interface.Job, engine: engines.Engine, now: float
    ) -> Grant:
        number = next(self._numbers)
        prompt = job.prompt
        read, held = 0, 0
        if prompt is not None:
            read = prompt.tokens - engine.cache.cached_tokens(prompt)
            held = prompt.tokens + prompt.max_output // 2
            engine.cache.add(prompt)
        engine.work[number] = engines.Work(read, held, job.tier, now)
        engine.health.note_sent()
        return Grant(self, engine, number)

    def _model(
        self, instance: instances.Instance
    ) -> routing.ModelService | None:
        service = self._table and self._table.services.get(instance.service)
        return service.model if service else None


def _make(name: str) -> interface.Chooser:
    factory = interface.CHOOSERS.find(name)
    assert not isinstance(factory, registry.UnknownPlugin)
    return factory()
