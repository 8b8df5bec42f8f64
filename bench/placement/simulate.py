"""Several hosts place the requests of one day on the same engines."""

import collections
import dataclasses
import random
import typing

import trio
import trio.testing

from bench.placement import engine as engines
from bench.placement import workload
from corianderloft._internal.models import ids
from corianderloft._internal.models import instances
from corianderloft._internal.models import routing
from corianderloft._internal.models import states
from corianderloft._internal.placement import budget
from corianderloft._internal.placement import interface
from corianderloft._internal.placement import placer

MEMORY = 317_282  # tokens; the users' sheets
STRIDE = 6  # tokens in an event; the users' sheets
TELL_INTERVAL = 0.03  # s, as gateway.load_exchange
RETRIES = 1  # of a caller after a refusal; the users' sheets
DOMAIN = ids.FailureDomain('sialkot')


@dataclasses.dataclass(frozen=True)
class Fleet:
    """What serves the day.

    Attributes
    ----------
    engines, hosts : int
        Their counts.
    slowed : dict
        Slowdown by number of the engine.
    """

    engines: int = 9
    hosts: int = 8
    slowed: dict[int, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class Tally:
    """What callers of one kind got."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    cut: int = 0
    earned: float = 0.0
    owed: float = 0.0

    @property
    def share(self) -> float:
        """Credit earned over credit owed."""
        return self.earned / self.owed if self.owed else 0.0


Result = dict[str, Tally]


class Day:
    """One day with one chooser.

    Parameters
    ----------
    chooser : str
        Name of the plug-in.
    fleet : Fleet
        What serves it.
    seed : int
        Seed of all random numbers.
    """

    def __init__(self, chooser: str, fleet: Fleet, seed: int) -> None:
        self._rng = random.Random(seed)
        self._tallies: Result = collections.defaultdict(Tally)
        self._engines = {
            ids.EngineId(f'e-{n}'): engines.BatchEngine(
                MEMORY,
                STRIDE,
                random.Random(seed * 1000 + n),
                fleet.slowed.get(n, 1.0),
            )
            for n in range(fleet.engines)
        }
        self._hosts = [
            self._host(chooser, random.Random(seed * 100 + n))
            for n in range(fleet.hosts)
        ]

    async def run(
        self, arrivals: collections.abc.Sequence[workload.Arrival]
    ) -> Result:
        """Play the requests and return what callers got."""
        async with trio.open_nursery() as nursery:
            for engine in self._engines.values():
                nursery.start_soon(engine.serve)
            for host in self._hosts:
                nursery.start_soon(host.run)
            nursery.start_soon(self._tell)
            began = trio.current_time()
            async with trio.open_nursery() as callers:
                for arrival in arrivals:
                    await trio.sleep_until(began + arrival.at)
                    callers.start_soon(self._serve, arrival)
            nursery.cancel_scope.cancel()
        return dict(self._tallies)

    def _host(self, chooser: str, rng: random.Random) -> placer.Placer:
        retries = budget.RetryBudget(0.2, 56.0, 10.0)
        host = placer.Placer(DOMAIN, retries, rng, chooser)
        host.use_table(_table())
        host.use_instances(
            [
                instances.Instance(
                    engine_id,
                    1,
                    workload.SERVICE,
                    '127.0.0.1',
                    1,
                    DOMAIN,
                    engines.SLOTS,
                    states.BackendState.LIVE,
                )
                for engine_id in self._engines
            ]
        )
        return host

    async def _tell(self) -> typing.NoReturn:
        """Tell all hosts the loads of the others."""
        while True:
            await trio.sleep(TELL_INTERVAL)
            loads = [host.own_loads() for host in self._hosts]
            for host in self._hosts:
                for number, other in enumerate(self._hosts):
                    if other is not host:
                        host.update_peer_loads(str(number), loads[number])

    async def _serve(self, arrival: workload.Arrival) -> None:
        kind = arrival.kind
        tally = self._tallies[kind.route.name]
        tally.asked += 1
        tally.owed += kind.worth
        began = trio.current_time()
        grant = await self._granted(arrival, began)
        if grant is None:
            tally.refused += 1
            return
        engine = self._engines[grant.engine.engine_id]
        run = engine.start(arrival.prompt, arrival.output, _urgency(kind))
        with trio.move_on_at(began + kind.patience):
            await run.first.wait()
            grant.started()
            await run.done.wait()
        run.left = True
        grant.close(interface.AttemptOutcome.COMPLETE)
        _note(tally, kind, run, began)

    async def _granted(
        self, arrival: workload.Arrival, began: float
    ) -> placer.Grant | None:
        """Ask, and once more when refused; None when refused again."""
        until = began + arrival.kind.patience
        for left in reversed(range(1 + RETRIES)):
            grant = await self._ask(arrival, until)
            if not isinstance(grant, interface.Refused):
                return grant
            wait = min(grant.retry_after, (until - trio.current_time()) / 3)
            if not left or wait <= 0:
                break
            await trio.sleep(wait)
        return None

    async def _ask(
        self, arrival: workload.Arrival, until: float
    ) -> placer.Grant | interface.Refused:
        """Ask any host once for a backend server."""
        kind = arrival.kind
        now = trio.current_time()
        job = interface.Job(
            request_id=str(arrival.at),
            route=kind.route,
            service=workload.SERVICE,
            workspace=None,
            tier=kind.route.tier,
            arrived=now,
            deadline=until,
            prompt=arrival.prompt,
        )
        host = self._rng.choice(self._hosts)
        return await host.acquire(job)


def _urgency(kind: workload.Kind) -> int:
    return interface.ROUTE_TIERS * kind.route.tier + kind.route.tier


def _note(
    tally: Tally, kind: workload.Kind, run: engines.Run, arrived: float
) -> None:
    if not run.done.is_set():
        tally.cut += 1
        return
    gaps = [b - a for a, b in zip(run.times, run.times[1:], strict=False)]
    first = run.times[0] - arrived
    gap = kind.route.gap_target or 0.0
    if first <= kind.route.target and max(gaps, default=0.0) <= gap:
        tally.in_time += 1
        tally.earned += kind.worth
    else:
        tally.late += 1
        tally.earned += kind.worth * kind.late_worth


def _table() -> routing.RoutingTable:
    return routing.RoutingTable(
        version=1,
        routes=routing.by_host(kind.route for kind in workload.KINDS),
        services={
            workload.SERVICE: routing.RoutedService(
                workload.SERVICE,
                '/healthz',
                370,
                routing.ModelService(engines.SLOTS, MEMORY),
            )
        },
        keys={},
        keyed=False,
        limits=routing.CallerLimits(4096, 4096, 1.0, 1.0),
    )


def play(
    chooser: str,
    seed: int,
    fleet: Fleet | None = None,
    load: float = 1.0,
    length: float = 20.0,
) -> Result:
    """Play one day in virtual time.

    Parameters
    ----------
    chooser : str
        Name of the plug-in.
    seed : int
        Seed of all random numbers.
    fleet : Fleet or None
        What serves it; None for that of the users' site.
    load : float
        Factor on all rates.
    length : float
        Length of the day in seconds.
    """
    day = Day(chooser, fleet or Fleet(), seed)
    requests = workload.arrivals(seed, length, load)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(day.run, requests, clock=clock)
