"""Assigns the requests of this host to backend servers."""

import collections
import collections.abc
import itertools
import math
import random
import typing

import trio

from corianderloft._internal.kernel import registry
from corianderloft._internal.models import crashes
from corianderloft._internal.models import ids
from corianderloft._internal.models import instances
from corianderloft._internal.models import listener
from corianderloft._internal.models import members
from corianderloft._internal.models import routing
from corianderloft._internal.placement import admission
from corianderloft._internal.placement import budget
from corianderloft._internal.placement import crash_evidence
from corianderloft._internal.placement import decision_log
from corianderloft._internal.placement import demand_reports
from corianderloft._internal.placement import engine_model
from corianderloft._internal.placement import engines
from corianderloft._internal.placement import grants
from corianderloft._internal.placement import hedging
from corianderloft._internal.placement import interface
from corianderloft._internal.placement import lane_demand
from corianderloft._internal.placement import outcomes
from corianderloft._internal.placement import queue
from corianderloft._internal.placement import rate_limits
from corianderloft._internal.placement import service_view
from corianderloft._internal.placement import sizes
from corianderloft._internal.placement import statements
from corianderloft._internal.utils import integers

MODEL_CHOOSER = 'lanes'
PLAIN_CHOOSER = 'fewest_requests'
"""Default choosers for model engines and for plain services."""

DEFAULT_RETRY_AFTER_S = 0.3
"""Retry delay sent to callers when no estimate is available; about the length
of a short outage of a backend server."""

RETRY_AFTER_TARGET_RATIOS = (0.3, 0.6)
"""Bounds of the random retry delay sent to callers when the engines' prefill
backlog is too long, in multiples of the target. The engines work off their
backlog in that time, and the jitter keeps callers from returning together."""

DISPATCH_INTERVAL_S = 0.008
"""Mean interval between two passes over the queue: much shorter than the
prefill of a prompt. It is jittered so that hosts do not send together."""

RATE_CHECK_INTERVAL_S = 0.1
"""Interval between passes over the queue without any other event."""


Keys = collections.abc.Iterable[engines.Key]
Loads = collections.abc.Mapping[engines.Key, engines.PeerLoad]
Demands = collections.abc.Mapping[ids.ServiceName, lane_demand.Demand]


class Placer(listener.Listener):
    """Selects backend servers for all services of one host.

    Parameters
    ----------
    domain : FailureDomain
        Failure domain of this host.
    retries : RetryBudget
        Retry budget.
    rng : Random
        Source of random numbers.
    model_chooser : str
        Name of the chooser for model engines.
    memory_admission : bool
        Whether requests are admitted by the memory that engines have left.

    Attributes
    ----------
    retries : RetryBudget
        Retry budget.
    hedges : Hedges
        Delay and budget of second attempts; off until it is set.
    crashes : CrashEvidence
        Prompt parts on which backend servers crash.
    arrivals : LocalDemand
        Demand for the services whose engines can be ordered.
    """

    def __init__(
        self,
        domain: ids.FailureDomain,
        retries: budget.RetryBudget,
        rng: random.Random,
        model_chooser: str = MODEL_CHOOSER,
        memory_admission: bool = False,
    ) -> None:
        self._local_domain = domain
        self._rng = rng
        self._host_count = 1
        self._request_numbers = itertools.count()
        self._wake_event = trio.Event()
        self._admission = (
            admission.Admission(rng) if memory_admission else None
        )
        self._queue = (
            self._admission.queue if self._admission else queue.Queue()
        )
        self._table: routing.RoutingTable | None = None
        self._engines: dict[engines.Key, engines.Engine] = {}
        self._views: dict[ids.ServiceName, service_view.ServiceView] = {}
        self._peer_loads: dict[str, Loads] = {}
        self._model_chooser = _create_chooser(model_chooser)
        self._plain_chooser = _create_chooser(PLAIN_CHOOSER)
        self._sizes = sizes.RouteSizes()
        self._statements = statements.StatementBook(
            rng, self._apply_departures
        )
        self._speeds: dict[ids.ServiceName, engine_model.EngineModel] = {}
        self._meters: dict[ids.ServiceName, lane_demand.DemandMeter] = {}
        self._peer_demands: dict[str, Demands] = {}
        self.retries = retries
        self.hedges = hedging.Hedges()
        self.crashes = crash_evidence.CrashEvidence()
        self.arrivals = demand_reports.LocalDemand(domain)
        self._on_load_change: collections.abc.Callable[[], None] = _do_nothing

    def use_table(self, table: routing.RoutingTable) -> None:
        """Replace the routing table.

        A service may be declared, or changed, after its servers registered.
        """
        self._table = table
        self.arrivals.use_table(table)
        for engine in self._engines.values():
            engine.use_model(self._model_of(engine.instance))
        self.wake()

    def use_instances(
        self, current: collections.abc.Sequence[instances.Instance]
    ) -> None:
        """Replace the list of backend servers."""
        kept: dict[engines.Key, engines.Engine] = {}
        for instance in current:
            key = instance.engine_id, instance.started_at_ms
            engine = self._engines.get(key)
            if engine is None:
                engine = engines.Engine(
                    instance,
                    self._model_of(instance),
                    self._speed(instance.service),
                    self._statements.of(key),
                )
            engine.use_instance(instance)
            kept[key] = engine
            if key not in self._engines:
                self._add_peer_loads(engine)
        for key, engine in self._engines.items():
            engine.listed = key in kept
        self._engines = kept
        self._statements.prune()
        self._update_views()
        self.wake()

    def _apply_departures(self) -> None:
        """Take the servers that have said that they leave out of use."""
        for engine in self._engines.values():
            engine.use_instance(engine.instance)
        self._update_views()
        self.wake()

    def use_members(
        self, current: collections.abc.Sequence[members.Member]
    ) -> None:
        """Replace the list of entry hosts."""
        self._host_count = max(1, len(current))
        self.retries.set_host_count(self._host_count)

    def use_crash_report(self, report: crashes.CrashReport) -> None:
        """Add evidence from the store."""
        self.crashes.merge_stored(report, trio.current_time())

    def pick_service(self, route: routing.Route) -> ids.ServiceName:
        """Return a random service of a route according to the weights."""
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        return self._rng.choices(route.shares, weights)[0].service

    async def acquire(
        self,
        job: interface.Job,
        exclude: collections.abc.Set[engines.Key] = frozenset(),
    ) -> grants.Grant | interface.Refused:
        """Wait until a request may be sent to a backend server.

        Parameters
        ----------
        job : Job
            The request.
        exclude : set of Key
            Backend servers that must not be chosen.
        """
        self._sizes.record(job, self._speed(job.service))
        if not exclude:
            self.arrivals.record_arrival(job, trio.current_time())
        meter = self.arrivals.meter(job.service)
        if self._admission is not None:
            self._admission.record(job)
        waiter = self._create_waiter(job, exclude)
        self._queue.add(waiter)
        self.dispatch()
        if meter is not None:
            meter.record_waiting(job, 1)
        ahead = 0
        try:
            await self._wait(waiter)
            if waiter.engine is None and self._admission is not None:
                ahead = self._admission.queue.tokens_ahead(waiter)
        except trio.Cancelled:
            if waiter.engine is not None:
                grants.Grant(self, waiter.engine, waiter.number, job).close(
                    interface.AttemptOutcome.CALLER_LEFT
                )
            raise
        finally:
            self._discard(waiter)
            if meter is not None:
                meter.record_waiting(job, -1)
        # Nothing goes before the requests that are ahead in a fair queue.
        if waiter.engine is None and not ahead:
            self._try_dispatch(waiter, trio.current_time(), last_chance=True)
        if waiter.engine is None:
            refusal = self._refusal(waiter, ahead)
            live = self._view(job.service).live
            decision_log.refused(
                waiter, refusal, live, len(self._queue), ahead
            )
            reasons = interface.RefusalReason
            if meter is not None and refusal.reason is not reasons.TOO_LATE:
                meter.record_refused(trio.current_time())
            return refusal
        return grants.Grant(self, waiter.engine, waiter.number, job)

    def _create_waiter(
        self, job: interface.Job, exclude: queue.Keys
    ) -> queue.Waiter:
        number = next(self._request_numbers)
        if self._admission is None:
            return queue.Waiter(job, exclude, number)
        service = self._table and self._table.services.get(job.service)
        limit = service.model.memory_tokens if service and service.model else 1
        return self._admission.create_waiter(
            job, exclude, number, self._sizes.is_long(job), limit
        )

    async def _wait(self, waiter: queue.Waiter) -> None:
        """Wait for an engine, as long as waiting makes sense."""
        while True:
            until = check_at = self._wait_deadline(waiter)
            now = trio.current_time()
            if self._admission is not None and not waiter.granted.is_set():
                self._admission.note_queued(waiter, now)
                if self._admission.is_hopeless(waiter, now):
                    return
                check_at = self._admission.next_check(waiter, now)
            with trio.move_on_at(min(until, check_at)):
                await waiter.granted.wait()
            if waiter.granted.is_set() or trio.current_time() >= until:
                return

    def _discard(self, waiter: queue.Waiter) -> None:
        """Remove a request from the queue."""
        self._queue.discard(waiter)
        if self._admission is not None:
            self._admission.note_queued(waiter, trio.current_time())

    def _wait_deadline(self, waiter: queue.Waiter) -> float:
        """Return until when a request is queued, on trio's clock.

        It is refused at once if all servers want nothing for longer.
        """
        if self._admission is not None:
            self._admission.update_deadline(waiter, trio.current_time())
        view = self._view(waiter.job.service)
        if view.refused_until() > waiter.wait_deadline:
            return trio.current_time()
        return waiter.wait_deadline

    def try_acquire(
        self,
        job: interface.Job,
        exclude: collections.abc.Set[engines.Key],
    ) -> grants.Grant | None:
        """Return a permission that can be given now, or None.

        Requests in the queue go first.

        Parameters
        ----------
        job : Job
            The request.
        exclude : set of Key
            Backend servers that must not be chosen.
        """
        self.dispatch()
        waiter = self._create_waiter(job, exclude)
        self._try_dispatch(waiter, trio.current_time())
        if waiter.engine is None:
            return None
        return grants.Grant(self, waiter.engine, waiter.number, job)

    def try_acquire_hedge(
        self,
        job: interface.Job,
        exclude: collections.abc.Set[engines.Key],
        waited: float,
    ) -> grants.Grant | hedging.Refusal:
        """Return a permission for a second attempt, or why there is none.

        Only servers that can run the request at once, and are expected to
        answer soon, are considered.

        Parameters
        ----------
        job : Job
            The request.
        exclude : set of Key
            Backend servers that must not be chosen.
        waited : float
            Time that the first attempt has taken so far, in seconds.
        """
        now = trio.current_time()
        live = self._view(job.service).live
        free = [
            engine
            for engine in live
            if engine.key not in exclude and hedging.has_room(engine, job, now)
        ]
        fast = {
            engine.key
            for engine in free
            if hedging.expected_wait(engine, job, now) <= waited
        }
        if not fast:
            return (
                hedging.Refusal.NOT_FASTER
                if free
                else hedging.Refusal.NO_SERVER
            )
        others = {engine.key for engine in live} - fast
        grant = self.try_acquire(job, exclude | others)
        return grant or hedging.Refusal.NO_SERVER

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return len(self._queue)

    def wake(self) -> None:
        """Schedule another pass over the queue."""
        if self._queue:
            self._wake_event.set()

    def load_changed(self) -> None:
        """React to a change of the load by requests of this host."""
        self._on_load_change()
        self.wake()

    async def run(self) -> typing.NoReturn:
        """Dispatch queued requests as engines become free."""
        while True:
            # Time alone lets requests go to a server that names a limit.
            with trio.move_on_after(
                RATE_CHECK_INTERVAL_S if self._queue else math.inf
            ):
                await self._wake_event.wait()
            self._wake_event = trio.Event()
            self.dispatch()
            await trio.sleep(self._rng.uniform(0.5, 1.5) * DISPATCH_INTERVAL_S)

    def dispatch(self) -> None:
        """Dispatch the queued requests that may run now, in queue order."""
        now = trio.current_time()
        for batch in self._queue.batches(now):
            failures = 0
            for waiter in batch:
                self._try_dispatch(waiter, now)
                failures += waiter.engine is None
                if failures >= self._queue.max_failures:
                    break

    def _try_dispatch(
        self, waiter: queue.Waiter, now: float, last_chance: bool = False
    ) -> None:
        """Dispatch one queued request if a backend server is chosen."""
        context = self._context(waiter, now, last_chance)
        chooser = (
            self._model_chooser
            if context.serves_model
            else self._plain_chooser
        )
        engine = chooser.choose(context)
        if engine is None or not context.admits(engine):
            return
        self._assign(waiter, engine, context)
        self._queue.discard(waiter)
        if self._admission is not None:
            self._admission.note_dispatched(waiter, engine, now)

    def _refusal(self, waiter: queue.Waiter, ahead: int) -> interface.Refused:
        job = waiter.job
        now = trio.current_time()
        if now >= job.deadline:
            return interface.Refused(
                interface.RefusalReason.TOO_LATE, DEFAULT_RETRY_AFTER_S
            )
        if not self._view(job.service).live:
            return interface.Refused(
                interface.RefusalReason.NO_BACKEND, DEFAULT_RETRY_AFTER_S
            )
        after = job.route.target * self._rng.uniform(
            *RETRY_AFTER_TARGET_RATIOS
        )
        if self._admission is not None:
            estimate = self._admission.retry_after(waiter, ahead, now)
            after = after if estimate is None else estimate
        after += max(0.0, self._view(job.service).refused_until() - now)
        return interface.Refused(interface.RefusalReason.OVERLOADED, after)

    def own_loads(self) -> dict[engines.Key, engines.PeerLoad]:
        """Return the load by the requests of this host at model engines."""
        return {
            key: load
            for key, engine in self._engines.items()
            if engine.serves_model
            and (load := engine.own_load()) != engines.NO_LOAD
        }

    def listed_servers(self) -> list[engines.Engine]:
        """Return all backend servers with a registration."""
        return list(self._engines.values())

    def in_flight(self) -> dict[ids.ServiceName, int]:
        """Return the requests of this host at servers, by service."""
        counts: collections.Counter[ids.ServiceName] = collections.Counter()
        for engine in self._engines.values():
            requests = engine.own_load().requests
            if requests:
                counts[engine.instance.service] += requests
        return counts

    def prefill_rate(self, service: ids.ServiceName) -> float:
        """Return the learned prefill rate of an engine of a service."""
        return self._speed(service).prefill_rate

    def set_load_listener(
        self, changed: collections.abc.Callable[[], None]
    ) -> None:
        """Set the function called when the loads of this host change."""
        self._on_load_change = changed

    def update_peer_loads(
        self, source: str, loads: Loads, changed: Keys | None = None
    ) -> None:
        """Replace the loads of other entry hosts reported by ``source``.

        Parameters
        ----------
        source : str
            Sender and scope of the report.
        loads : mapping
            All loads that it reports.
        changed : iterable of Key or None
            Backend servers whose load differs from the previous report; None
            if that is not known.
        """
        if changed is None:
            changed = loads.keys() | self._peer_loads.get(source, {}).keys()
        if loads:
            self._peer_loads[source] = loads
        else:
            self._peer_loads.pop(source, None)
        for key in changed:
            engine = self._engines.get(key)
            if engine is not None:
                engine.update_peer(source, loads.get(key))
        self.wake()

    def _add_peer_loads(self, engine: engines.Engine) -> None:
        """Add the loads that were reported before the server was listed."""
        for source, loads in self._peer_loads.items():
            engine.update_peer(source, loads.get(engine.key))

    def own_rate_uses(self) -> dict[engines.Key, rate_limits.RateUse]:
        """Return what this host sends to servers that name a limit."""
        now = trio.current_time()
        return {
            key: use
            for key, engine in self._engines.items()
            if (use := engine.rate_limit.own_use(now)) is not None
        }

    def update_peer_rate(
        self, source: str, key: engines.Key, use: rate_limits.RateUse | None
    ) -> None:
        """Replace what other hosts send to a limited server."""
        engine = self._engines.get(key)
        if engine is not None:
            engine.rate_limit.update_peer(source, use, trio.current_time())

    def own_demands(self) -> Demands:
        """Return the demand of each service at this host."""
        now = trio.current_time()
        return {
            service: meter.demand(now)
            for service, meter in self._meters.items()
        }

    def update_peer_demands(self, source: str, demands: Demands) -> None:
        """Replace the demands of other entry hosts reported by ``source``."""
        if demands:
            self._peer_demands[source] = demands
        else:
            self._peer_demands.pop(source, None)

    def record_outcome(
        self, engine: engines.Engine, outcome: interface.AttemptOutcome
    ) -> None:
        """Update the health of an engine from the outcome of an attempt."""
        now = trio.current_time()
        suspected = engine.health.suspected
        outcomes.apply(engine, outcome, now)
        if engine.health.ejected(now):
            decision_log.ejected(engine, outcome)
        if suspected and not engine.health.suspected:
            decision_log.readmitted(engine, outcome)
        self.load_changed()

    def record_answer(
        self, job: interface.Job, events: int, duration: float
    ) -> None:
        """Learn from a complete answer."""
        if self._admission is not None:
            self._admission.lengths.record(job, events, duration)

    def record_silence(self, engine: engines.Engine) -> None:
        """Record that a server sends nothing to a request that stays there.

        New requests avoid it if there are others. The only server of a
        service is not ejected: it may be sound, and nothing else is left.
        """
        if len(self._view(engine.instance.service).live) > 1:
            self.record_outcome(engine, interface.AttemptOutcome.SILENT)

    def _context(
        self, waiter: queue.Waiter, now: float, last_chance: bool
    ) -> interface.Context:
        job = waiter.job
        service = self._table and self._table.services.get(job.service)
        return interface.Context(
            job=job,
            view=self._view(job.service),
            exclude=waiter.exclude,
            serves_model=bool(service and service.model),
            local_domain=self._local_domain,
            now=now,
            long_prompts=self._sizes.is_long(job),
            tightest_long_target=self._sizes.tightest_long_target(job),
            last_chance=last_chance,
            demand=self._demand(job.service),
            hosts=self._host_count,
            admission=self._admission,
            need=(
                self._admission.need(job)
                if self._admission
                else interface.Need(0)
            ),
            short_gap_target=self._sizes.short_gap_target(job),
            most_urgent=self._sizes.is_most_urgent(job),
            waiting=(
                self._admission.queue.waiting_like(waiter)
                if self._admission
                else 0
            ),
        )

    def _speed(self, service: ids.ServiceName) -> engine_model.EngineModel:
        return self._speeds.setdefault(service, engine_model.EngineModel())

    def _demand(self, service: ids.ServiceName) -> lane_demand.Demand:
        """Return the demand of a service at all hosts."""
        own = self._meter(service).demand(trio.current_time())
        return sum(
            (
                demands[service]
                for demands in self._peer_demands.values()
                if service in demands
            ),
            own,
        )

    def _meter(self, service: ids.ServiceName) -> lane_demand.DemandMeter:
        return self._meters.setdefault(service, lane_demand.DemandMeter())

    def _view(self, service: ids.ServiceName) -> service_view.ServiceView:
        view = self._views.get(service)
        return view if view is not None else service_view.ServiceView()

    def _update_views(self) -> None:
        """Replace the views of services whose live servers changed."""
        live: dict[ids.ServiceName, list[engines.Engine]] = {}
        for engine in self._engines.values():
            if engine.in_use:
                live.setdefault(engine.instance.service, []).append(engine)
        self._views = {
            service: (
                self._views[service]
                if service in self._views
                and self._views[service].live == tuple(servers)
                else service_view.ServiceView(servers)
            )
            for service, servers in live.items()
        }

    def _assign(
        self,
        waiter: queue.Waiter,
        engine: engines.Engine,
        context: interface.Context,
    ) -> None:
        prompt = waiter.job.prompt
        prefill_tokens, kv_tokens = 0, 0
        parts: tuple[instances.PromptPart, ...] = ()
        if prompt is not None:
            # A request that is larger than the memory of the server is turned
            # away there; it occupies no more than that.
            limit = engine.memory_tokens or integers.MAX_INTEGER
            prefill_tokens = min(
                limit, prompt.tokens - engine.cache.cached_tokens(prompt)
            )
            kv_tokens = min(limit, prompt.tokens + prompt.max_output // 2)
            if self._admission is not None:
                need = context.need
                kv_tokens = min(limit, need.tokens)
                if need.tokens <= limit:
                    kv_tokens, parts = need.own_tokens, need.shared_parts
            engine.cache.add(
                prompt, engines.cached_parts_limit(len(self._engines))
            )
            self._meter(waiter.job.service).record(
                not context.long_prompts, prompt.unshared_tokens, context.now
            )
        meter = self.arrivals.meter(waiter.job.service)
        if meter is not None:
            meter.record_assigned(waiter.job, prefill_tokens, context.now)
        request = engines.InFlightRequest(
            prefill_tokens,
            kv_tokens,
            waiter.job.tier,
            context.now,
            not context.long_prompts,
            shared_parts=parts,
        )
        engine.add(waiter.number, request)
        engine.health.record_sent()
        engine.statements.record_sent()
        engine.rate_limit.record_send(context.now)
        waiter.grant(engine)
        self._on_load_change()

    def _model_of(
        self, instance: instances.Instance
    ) -> routing.ModelService | None:
        service = self._table and self._table.services.get(instance.service)
        return service.model if service else None


def _create_chooser(name: str) -> interface.Chooser:
    factory = interface.CHOOSERS.find(name)
    assert not isinstance(factory, registry.UnknownPlugin)
    return factory()


def _do_nothing() -> None:
    """Do nothing."""
