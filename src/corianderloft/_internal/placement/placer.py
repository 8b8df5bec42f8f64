"""Grants requests of this host to backend servers."""

import collections.abc
import itertools
import random
import typing

import trio

from corianderloft._internal.kernel import registry
from corianderloft._internal.models import ids
from corianderloft._internal.models import instances
from corianderloft._internal.models import listener
from corianderloft._internal.models import members
from corianderloft._internal.models import routing
from corianderloft._internal.models import states
from corianderloft._internal.placement import budget
from corianderloft._internal.placement import decision_log
from corianderloft._internal.placement import engines
from corianderloft._internal.placement import interface
from corianderloft._internal.placement import queue
from corianderloft._internal.placement import sizes

MODEL_CHOOSER = 'lanes'
PLAIN_CHOOSER = 'fewest_requests'
"""Choosers for engines of models, and for plain services."""

DEFAULT_RETRY_AFTER_S = 0.3
"""Wait that is asked of callers where nothing says when there is room, in
seconds; about the life of a short outage of a backend server."""

COME_BACK_PARTS = (0.3, 0.6)
"""Bounds of the wait that is asked of callers when engines have too much to
read, in targets: they are done with that much by then, and callers do not
return together."""

PUMP_INTERVAL = 0.008
"""Mean wait between two looks at the queue in seconds: much shorter than
the reading of a prompt, and random, so that hosts do not send together."""


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
        if work is None or work.started:
            return
        work.started = True
        self._placer.record_started(self.engine, work)

    def close(self, end: interface.AttemptOutcome) -> None:
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
    model_chooser : str
        Name of the chooser for engines of models.
    """

    def __init__(
        self,
        domain: ids.FailureDomain,
        retries: budget.RetryBudget,
        rng: random.Random,
        model_chooser: str = MODEL_CHOOSER,
    ) -> None:
        self._domain = domain
        self._rng = rng
        self._numbers = itertools.count()
        self._woken = trio.Event()
        self._queue = queue.Queue()
        self._table: routing.RoutingTable | None = None
        self._engines: dict[engines.Key, engines.Engine] = {}
        self._listed: tuple[instances.Instance, ...] = ()
        self._model_chooser = _make(model_chooser)
        self._plain_chooser = _make(PLAIN_CHOOSER)
        self._sizes = sizes.RouteSizes()
        self.retries = retries
        self._load_changed: collections.abc.Callable[[], None] = _ignore

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
        self.retries.set_host_count(len(current))

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
        waiter = queue.Waiter(job, exclude, next(self._numbers))
        self._sizes.note(job)
        self._queue.add(waiter)
        self._pump()
        try:
            with trio.move_on_at(waiter.give_up_at):
                await waiter.granted.wait()
        except trio.Cancelled:
            if waiter.engine is not None:
                Grant(self, waiter.engine, waiter.number).close(
                    interface.AttemptOutcome.CALLER_LEFT
                )
            raise
        finally:
            self._queue.discard(waiter)
        if waiter.engine is None:
            self._try(waiter, trio.current_time(), last_chance=True)
        if waiter.engine is None:
            refused = self._refused(job)
            live = list(self._live(job.service))
            decision_log.refused(waiter, refused, live, len(self._queue))
            return refused
        return Grant(self, waiter.engine, waiter.number)

    def wake(self) -> None:
        """Let waiting requests look again, soon."""
        self._woken.set()

    async def run(self) -> typing.NoReturn:
        """Grant waiting requests as engines become free."""
        while True:
            await self._woken.wait()
            self._woken = trio.Event()
            self._pump()
            await trio.sleep(self._rng.uniform(0.5, 1.5) * PUMP_INTERVAL)

    def _pump(self) -> None:
        """Grant what may run now, in the order of the queue."""
        now = trio.current_time()
        for waiter in self._queue.in_order():
            self._try(waiter, now)

    def _try(
        self, waiter: queue.Waiter, now: float, last_chance: bool = False
    ) -> None:
        """Grant one waiting request if it may run."""
        scene = self._scene(waiter, now, last_chance)
        chooser = self._model_chooser if scene.model else self._plain_chooser
        engine = chooser.choose(scene)
        if engine is not None:
            self._queue.discard(waiter)
            self._grant(waiter, engine, scene)

    def _refused(self, job: interface.Job) -> interface.Refused:
        now = trio.current_time()
        if now >= job.deadline:
            return interface.Refused(
                interface.RefusalReason.TOO_LATE, DEFAULT_RETRY_AFTER_S
            )
        if not any(self._live(job.service)):
            return interface.Refused(
                interface.RefusalReason.NO_BACKEND, DEFAULT_RETRY_AFTER_S
            )
        after = job.route.target * self._rng.uniform(*COME_BACK_PARTS)
        return interface.Refused(interface.RefusalReason.OVERLOADED, after)

    def own_loads(self) -> dict[engines.Key, engines.PeerLoad]:
        """Return what this host has at the engines of models."""
        return {
            key: engine.own_load()
            for key, engine in self._engines.items()
            if engine.serves_model and engine.work
        }

    def set_load_listener(
        self, changed: collections.abc.Callable[[], None]
    ) -> None:
        """Call ``changed`` whenever the loads of this host change."""
        self._load_changed = changed

    def update_peer_loads(
        self,
        source: str,
        loads: collections.abc.Mapping[engines.Key, engines.PeerLoad],
    ) -> None:
        """Take in what other entry hosts have at each engine."""
        for key, engine in self._engines.items():
            load = loads.get(key)
            if load is None:
                engine.peers.pop(source, None)
            else:
                engine.peers[source] = load
        self.wake()

    def record_started(
        self, engine: engines.Engine, work: engines.Work
    ) -> None:
        """Learn from the time that an answer took to begin."""
        engine.record_started(work, trio.current_time())
        self._load_changed()
        self.wake()

    def note_end(
        self, engine: engines.Engine, end: interface.AttemptOutcome
    ) -> None:
        """Learn from how a send ended."""
        now = trio.current_time()
        suspected = engine.health.suspected
        match end:
            case (
                interface.AttemptOutcome.COMPLETE
                | interface.AttemptOutcome.NOT_RUN
            ):
                engine.health.note_answer(False)
            case interface.AttemptOutcome.ERROR_ANSWER:
                engine.health.note_answer(True)
            case interface.AttemptOutcome.NOT_CONNECTED:
                engine.health.note_unreachable(now)
            case interface.AttemptOutcome.SILENT:
                engine.health.note_silent(now)
            case interface.AttemptOutcome.BROKEN:
                engine.health.note_answer(True)
            case _:
                engine.health.note_nothing()
        if engine.health.ejected(now):
            decision_log.ejected(engine, end)
        if suspected and not engine.health.suspected:
            decision_log.in_use_again(engine, end)
        self._load_changed()
        self.wake()

    def _scene(
        self, waiter: queue.Waiter, now: float, last_chance: bool
    ) -> interface.Scene:
        job = waiter.job
        everyone = list(self._live(job.service))
        usable = [
            e
            for e in everyone
            if e.key not in waiter.exclude and e.health.usable(now)
        ]
        service = self._table and self._table.services.get(job.service)
        return interface.Scene(
            job=job,
            candidates=usable,
            everyone=everyone,
            model=service.model if service else None,
            own_domain=self._domain,
            now=now,
            long=self._sizes.is_long(job),
            tightest_long=self._sizes.tightest_long(job),
            last_chance=last_chance,
        )

    def _live(
        self, service: ids.ServiceName
    ) -> collections.abc.Iterator[engines.Engine]:
        """Yield the backend servers of a service that are not leaving."""
        return (
            engine
            for engine in self._engines.values()
            if engine.instance.service == service
            and engine.instance.state is states.BackendState.LIVE
        )

    def _grant(
        self,
        waiter: queue.Waiter,
        engine: engines.Engine,
        scene: interface.Scene,
    ) -> None:
        prompt = waiter.job.prompt
        read, held = 0, 0
        if prompt is not None:
            read = prompt.tokens - engine.cache.cached_tokens(prompt)
            held = prompt.tokens + prompt.max_output // 2
            engine.cache.add(prompt)
        work = engines.Work(
            read, held, waiter.job.tier, scene.now, not scene.long
        )
        engine.add(waiter.number, work)
        engine.health.note_sent()
        waiter.grant(engine)
        self._load_changed()

    def _model(
        self, instance: instances.Instance
    ) -> routing.ModelService | None:
        service = self._table and self._table.services.get(instance.service)
        return service.model if service else None


def _make(name: str) -> interface.Chooser:
    factory = interface.CHOOSERS.find(name)
    assert not isinstance(factory, registry.UnknownPlugin)
    return factory()


def _ignore() -> None:
    """Do nothing."""
