"""Simulates several entry hosts that share one set of engines for a day."""

import collections
import dataclasses
import random
import typing

import trio
import trio.testing

from bench.placement import engine as batch_engines
from bench.placement import workload
from corianderloft._internal.models import ids
from corianderloft._internal.models import instances
from corianderloft._internal.models import members
from corianderloft._internal.models import routing
from corianderloft._internal.models import states
from corianderloft._internal.placement import budget
from corianderloft._internal.placement import grants
from corianderloft._internal.placement import interface
from corianderloft._internal.placement import placer

LOAD_EXCHANGE_INTERVAL_S = 0.03  # as in gateway.load_exchange
CALLER_RETRIES = 1  # after a refusal; specified for the callers
DOMAIN = ids.FailureDomain('sialkot')


@dataclasses.dataclass(frozen=True)
class Fleet:
    """Engines and entry hosts of the simulated site.

    Attributes
    ----------
    engines, hosts : int
        Number of engines and of entry hosts.
    slowed : dict
        Slowdown factor by index of the engine.
    engine_type : EngineType
        Type of all engines.
    memory_admission : bool
        Whether hosts admit requests by the memory that engines have left.
    deaf_hosts : int
        Hosts that hear nothing from the others.
    """

    engines: int = 9
    hosts: int = 8
    slowed: dict[int, float] = dataclasses.field(default_factory=dict)
    engine_type: batch_engines.EngineType = batch_engines.SMALL
    memory_admission: bool = False
    deaf_hosts: int = 0


@dataclasses.dataclass
class Tally:
    """Counts and credit for the requests of one kind."""

    requests: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    aborted: int = 0
    lost: int = 0
    earned: float = 0.0
    possible: float = 0.0
    refused_after: list[float] = dataclasses.field(default_factory=list)

    @property
    def share(self) -> float:
        """Ratio of earned to possible credit."""
        return self.earned / self.possible if self.possible else 0.0

    @property
    def served_share(self) -> float:
        """Ratio of complete answers to requests."""
        return (self.in_time + self.late) / max(1, self.requests)


Result = dict[str, Tally]


class Day:
    """Simulation of one day with one chooser.

    Parameters
    ----------
    chooser : str
        Name of the plug-in.
    fleet : Fleet
        Engines and entry hosts.
    seed : int
        Seed of all random numbers.
    kinds : sequence of Kind
        Kinds of the requests.

    Attributes
    ----------
    engines : dict
        The engines by ID.
    hosts : list of Placer
        The entry hosts.
    by_workspace : dict
        Tallies by workspace and route.
    """

    def __init__(
        self,
        chooser: str,
        fleet: Fleet,
        seed: int,
        kinds: collections.abc.Sequence[workload.Kind] = workload.KINDS,
    ) -> None:
        self._rng = random.Random(seed)
        self._fleet = fleet
        self._table = routing_table(kinds, fleet.engine_type)
        self.by_workspace: dict[tuple[ids.WorkspaceId, str], Tally] = (
            collections.defaultdict(Tally)
        )
        self._tallies: Result = collections.defaultdict(Tally)
        self.engines = {
            ids.EngineId(f'e-{n}'): batch_engines.BatchEngine(
                fleet.engine_type,
                random.Random(seed * 1000 + n),
                fleet.slowed.get(n, 1.0),
            )
            for n in range(fleet.engines)
        }
        self.hosts = [
            self._create_host(chooser, random.Random(seed * 100 + n))
            for n in range(fleet.hosts)
        ]

    async def run(
        self, arrivals: collections.abc.Sequence[workload.Arrival]
    ) -> Result:
        """Simulate the requests and return the tallies by kind."""
        async with trio.open_nursery() as nursery:
            for engine in self.engines.values():
                nursery.start_soon(engine.serve)
            for host in self.hosts:
                nursery.start_soon(host.run)
            nursery.start_soon(self._exchange_loads)
            started_at = trio.current_time()
            async with trio.open_nursery() as callers:
                for arrival in arrivals:
                    await trio.sleep_until(started_at + arrival.at)
                    callers.start_soon(self._serve, arrival)
            nursery.cancel_scope.cancel()
        return dict(self._tallies)

    def _create_host(self, chooser: str, rng: random.Random) -> placer.Placer:
        retries = budget.RetryBudget(0.2, 56.0, 10.0)
        host = placer.Placer(
            DOMAIN, retries, rng, chooser, self._fleet.memory_admission
        )
        host.use_members(
            [
                members.Member(
                    ids.HostId(f'h-{n}'), '127.0.0.1', 1, 1, DOMAIN, ''
                )
                for n in range(self._fleet.hosts)
            ]
        )
        host.use_table(self._table)
        host.use_instances(
            [
                instances.Instance(
                    engine_id,
                    1,
                    workload.SERVICE,
                    '127.0.0.1',
                    1,
                    DOMAIN,
                    self._fleet.engine_type.slots,
                    states.BackendState.LIVE,
                )
                for engine_id in self.engines
            ]
        )
        return host

    async def _exchange_loads(self) -> typing.NoReturn:
        """Send every host the loads of the others."""
        while True:
            await trio.sleep(LOAD_EXCHANGE_INTERVAL_S)
            loads = [host.own_loads() for host in self.hosts]
            demands = [host.own_demands() for host in self.hosts]
            for host in self.hosts[self._fleet.deaf_hosts :]:
                for number, other in enumerate(self.hosts):
                    if other is not host:
                        host.update_peer_loads(str(number), loads[number])
                        host.update_peer_demands(str(number), demands[number])

    async def _serve(self, arrival: workload.Arrival) -> None:
        kind = arrival.kind
        tallies = [self._tallies[kind.route.name]]
        if arrival.workspace is not None:
            tallies.append(
                self.by_workspace[arrival.workspace, kind.route.name]
            )
        for tally in tallies:
            tally.requests += 1
            tally.possible += kind.credit
        started_at = trio.current_time()
        grant = await self._send_with_retry(arrival, started_at)
        if grant is None:
            for tally in tallies:
                tally.refused += 1
                tally.refused_after.append(trio.current_time() - started_at)
            return
        engine = self.engines[grant.engine.engine_id]
        run = engine.start(arrival.prompt, arrival.output, _urgency(kind))
        with trio.move_on_at(started_at + kind.timeout):
            await run.first_event.wait()
            grant.started()
            grant.engine.record_sample(
                instances.LoadSample(
                    engine.running(),
                    engine.waiting(),
                    self._fleet.engine_type.slots,
                ),
                trio.current_time(),
            )
            await run.done.wait()
        run.cancelled = True
        grant.events = len(run.event_times)
        grant.close(_outcome(run))
        for tally in tallies:
            _record(tally, kind, run, started_at)

    async def _send_with_retry(
        self, arrival: workload.Arrival, started_at: float
    ) -> grants.Grant | None:
        """Send to a host, with one retry; None if refused again."""
        deadline = started_at + arrival.kind.timeout
        for retries_left in reversed(range(1 + CALLER_RETRIES)):
            grant = await self._send_once(arrival, deadline)
            if not isinstance(grant, interface.Refused):
                return grant
            wait = min(grant.retry_after, (deadline - trio.current_time()) / 3)
            if not retries_left or wait <= 0:
                break
            await trio.sleep(wait)
        return None

    async def _send_once(
        self, arrival: workload.Arrival, deadline: float
    ) -> grants.Grant | interface.Refused:
        """Send to a random host once."""
        kind = arrival.kind
        now = trio.current_time()
        job = interface.Job(
            request_id=str(arrival.at),
            route=kind.route,
            service=workload.SERVICE,
            workspace=arrival.workspace,
            tier=kind.route.tier,
            arrived=now,
            deadline=deadline,
            prompt=arrival.prompt,
        )
        host = self._rng.choice(self.hosts)
        return await host.acquire(job)


def _urgency(kind: workload.Kind) -> int:
    return interface.ROUTE_TIERS * kind.route.tier + kind.route.tier


def _outcome(run: batch_engines.Run) -> interface.AttemptOutcome:
    if run.lost:
        return interface.AttemptOutcome.BROKEN
    if run.done.is_set():
        return interface.AttemptOutcome.COMPLETE
    return interface.AttemptOutcome.TIMED_OUT


def _record(
    tally: Tally, kind: workload.Kind, run: batch_engines.Run, arrived: float
) -> None:
    if run.lost:
        tally.lost += 1
        return
    if not run.done.is_set():
        tally.aborted += 1
        return
    gaps = [
        b - a
        for a, b in zip(run.event_times, run.event_times[1:], strict=False)
    ]
    first_event = run.event_times[0] - arrived
    gap_target = kind.route.gap_target or 0.0
    if (
        first_event <= kind.route.target
        and max(gaps, default=0.0) <= gap_target
    ):
        tally.in_time += 1
        tally.earned += kind.credit
    else:
        tally.late += 1
        tally.earned += kind.credit * kind.late_credit_ratio


def routing_table(
    kinds: collections.abc.Sequence[workload.Kind],
    engine_type: batch_engines.EngineType,
) -> routing.RoutingTable:
    return routing.RoutingTable(
        version=1,
        routes=routing.group_by_host(kind.route for kind in kinds),
        services={
            workload.SERVICE: routing.RoutedService(
                workload.SERVICE,
                '/healthz',
                370,
                routing.ModelService(
                    engine_type.slots, engine_type.memory_tokens
                ),
            )
        },
        keys={},
        has_workspaces=False,
        limits=routing.CallerLimits(4096, 4096, 1.0, 1.0),
    )


def simulate_day(
    chooser: str,
    seed: int,
    fleet: Fleet | None = None,
    load: float = 1.0,
    length: float = 20.0,
    site: workload.Site = workload.STABLES,
) -> Result:
    """Simulate one day in virtual time.

    Parameters
    ----------
    chooser : str
        Name of the plug-in.
    seed : int
        Seed of all random numbers.
    fleet : Fleet or None
        Engines and entry hosts; None for the size of the real site.
    load : float
        Factor on all request rates.
    length : float
        Length of the day in seconds.
    site : Site
        Kinds of the requests and their bursts.
    """
    day = Day(chooser, fleet or Fleet(), seed, site.kinds)
    requests = workload.arrivals(seed, length, load, site)
    return play(day, requests)


def play(
    day: Day, requests: collections.abc.Sequence[workload.Arrival]
) -> Result:
    """Simulate requests in virtual time."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(day.run, requests, clock=clock)
