"""One run: a service, its hosts and engines in virtual time."""

import collections.abc
import dataclasses
import random

import trio
import trio.testing

from bench.policy import engine as engine_module
from bench.policy import oracle
from bench.policy import policies
from bench.policy import relay
from bench.policy import workload
from corianderloft._internal.decisions import dispatcher
from corianderloft._internal.models import backends
from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from corianderloft._internal.models import requests

REPORT_AGE = 2.0
"""Age and period of load reports, in seconds."""

NEIGHBOUR_FACTOR = 2.5
"""How many times slower a neighbour makes an engine for a moment."""

WARM_UP = 8.0
"""Requests that arrive before this do not count, in seconds."""


@dataclasses.dataclass(frozen=True)
class Faults:
    """What befalls the engines.

    Attributes
    ----------
    neighbours : bool
        Whether engines slow down for moments.
    slowed : int
        Engines that are ``slow_factor`` times slower from ``slow_at`` on.
    crash : tuple of float or None
        When one engine is down, from and to.
    outage : tuple of float or None
        When all engines are down, from and to.
    """

    neighbours: bool = True
    slowed: int = 0
    slow_factor: float = 5.0
    slow_at: float = 10.0
    crash: tuple[float, float] | None = None
    outage: tuple[float, float] | None = None


@dataclasses.dataclass(frozen=True)
class Result:
    """Records of one run.

    Attributes
    ----------
    records : list of Record
        One for each request that counts.
    generated : int
        Tokens that the engines generated.
    delivered : int
        Tokens of whole answers.
    duration : float
        Length of the demand, in seconds.
    longest_lane_wait : float
        Longest time that a lane of a host waited for a start, in seconds.
    """

    records: list[relay.Record]
    generated: int
    delivered: int
    duration: float
    longest_lane_wait: float = 0.0


class Run:
    """Hosts and engines of one service."""

    def __init__(
        self,
        service: workload.Service,
        demand: workload.Demand,
        faults: Faults,
        policy: policies.Policy,
        seed: int,
    ) -> None:
        self._service = service
        self._demand = demand
        self._faults = faults
        self._seed = seed
        self._backends = [_backend(service, n) for n in range(service.engines)]
        self._fakes = {
            b.engine_id: engine_module.FakeEngine(policy.engines_preempt)
            for b in self._backends
        }
        self._records: list[relay.Record] = []
        self._policy = policy
        self._hosts: list[relay.Dispatcher] = []

    async def run(self) -> Result:
        """Send all arrivals and wait for their ends."""
        self._hosts = list(self._make_hosts())
        async with trio.open_nursery() as background:
            background.start_soon(self._report)
            background.start_soon(self._inject_faults)
            if self._faults.neighbours:
                for number, fake in enumerate(self._fakes.values()):
                    background.start_soon(self._neighbour, number, fake)
            async with trio.open_nursery() as nursery:
                await self._send(nursery)
            background.cancel_scope.cancel()
        counted = [r for r in self._records if r.arrival.at >= WARM_UP]
        return Result(
            counted,
            sum(fake.generated for fake in self._fakes.values()),
            sum(r.tokens for r in self._records if r.complete),
            self._demand.duration - WARM_UP,
            (
                max(
                    host.longest_lane_wait()
                    for host in self._hosts
                    if isinstance(host, dispatcher.LocalDispatcher)
                )
                if not self._policy.is_oracle
                else 0.0
            ),
        )

    def _make_hosts(self) -> collections.abc.Iterator[relay.Dispatcher]:
        template = self._service.template()
        if self._policy.is_oracle:
            one = oracle.Oracle(template, self._fakes, self._backends)
            yield from [one] * workload.HOSTS
            return
        host_ids = [ids.HostId(f'host-{n}') for n in range(workload.HOSTS)]
        for number, host_id in enumerate(host_ids):
            rng = random.Random(f'{self._seed} host {number}')
            made = dispatcher.LocalDispatcher(self._policy.settings(), rng)
            made.use_hosts(host_id, host_ids)
            made.use_catalog(catalog.Catalog(ids.Revision(1), (template,)))
            made.use_backends(self._backends)
            yield made

    async def _send(self, nursery: trio.Nursery) -> None:
        for arrival in workload.arrivals(
            self._service, self._demand, self._seed
        ):
            await trio.sleep_until(arrival.at)
            record = relay.Record(arrival)
            self._records.append(record)
            call = relay.Call(
                record,
                self._ticket(arrival),
                self._hosts[arrival.host],
                self._fakes,
                self._service.network_delay,
                self._demand.duration,
            )
            nursery.start_soon(call.serve)

    def _ticket(self, arrival: workload.Arrival) -> requests.Ticket:
        mix = arrival.mix
        return requests.Ticket(
            request_id=ids.RequestId(f'request-{len(self._records)}'),
            workspace=ids.WorkspaceId(arrival.workspace),
            service=ids.ServiceName(self._service.name),
            class_name=ids.ClassName(mix.name),
            tier=ids.Tier(mix.tier),
            arrived=arrival.at,
            start_by=arrival.at + mix.deadline,
            prompt_tokens=arrival.prompt,
            max_tokens=mix.max_tokens,
            prefix_hashes=(arrival.prefix,),
        )

    async def _report(self) -> None:
        while True:
            reports = [
                backends.LoadReport(
                    engine_id, trio.current_time(), fake.running, fake.waiting
                )
                for engine_id, fake in self._fakes.items()
                if fake.up
            ]
            await trio.sleep(REPORT_AGE)
            for host in self._hosts:
                for report in reports:
                    host.report_load(report)

    async def _neighbour(
        self, number: int, fake: engine_module.FakeEngine
    ) -> None:
        rng = random.Random(f'{self._seed} neighbour {number}')
        while True:
            await trio.sleep(rng.expovariate(1 / 30.0))
            fake.slow_factor *= NEIGHBOUR_FACTOR
            await trio.sleep(rng.uniform(0.5, 3.0))
            fake.slow_factor /= NEIGHBOUR_FACTOR

    async def _inject_faults(self) -> None:
        fakes = list(self._fakes.values())
        async with trio.open_nursery() as nursery:
            if self._faults.crash is not None:
                nursery.start_soon(_down, fakes[:1], *self._faults.crash)
            if self._faults.outage is not None:
                nursery.start_soon(_down, fakes, *self._faults.outage)
            await trio.sleep_until(self._faults.slow_at)
            for fake in fakes[-self._faults.slowed :] * bool(
                self._faults.slowed
            ):
                fake.slow_factor *= self._faults.slow_factor


async def _down(
    fakes: list[engine_module.FakeEngine], since: float, until: float
) -> None:
    await trio.sleep_until(since)
    for fake in fakes:
        fake.crash()
    await trio.sleep_until(until)
    for fake in fakes:
        fake.up = True


def _backend(service: workload.Service, number: int) -> backends.Backend:
    return backends.Backend(
        engine_id=ids.EngineId(f'{service.name}-{number:02d}'),
        service=ids.ServiceName(service.name),
        supplier=ids.SupplierName('supplier'),
        model=ids.ModelVersion('model'),
        address='127.0.0.1',
        port=1,
        failure_domain=ids.FailureDomain(f'fd-{number % 4}'),
        slots=workload.SLOTS,
    )


def simulate(
    service: workload.Service,
    demand: workload.Demand,
    faults: Faults,
    policy: policies.Policy,
    seed: int,
) -> Result:
    """Run one combination in virtual time."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(
        Run(service, demand, faults, policy, seed).run, clock=clock
    )
