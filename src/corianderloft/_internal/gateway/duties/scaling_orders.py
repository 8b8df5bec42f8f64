"""Orders engines from the platform while this host holds the duties.

Each pass observes the engines and the demand, decides for each service, and
sends the orders one at a time. Nothing is stored: a new holder starts from the
registered engines.
"""

import collections
import collections.abc
import logging
import typing

import trio

from corianderloft._internal.gateway.duties import interface as duties
from corianderloft._internal.gateway import metrics
from corianderloft._internal.models import ids
from corianderloft._internal.models import listener
from corianderloft._internal.models import members
from corianderloft._internal.models import routing
from corianderloft._internal.placement import demand_reports
from corianderloft._internal.placement import engines
from corianderloft._internal.placement.scaling import decision
from corianderloft._internal.placement.scaling import interface
from corianderloft._internal.placement.scaling import need
from corianderloft._internal.placement.scaling import state
from corianderloft._internal.utils import clock

logger = logging.getLogger(__name__)

PASS_INTERVAL_S = 0.5
"""Interval between passes: half of that between the demand reports."""

TOO_MANY_CALLS = 429
FIRST_SERVER_ERROR = 500


class EngineList(demand_reports.EngineFigures, typing.Protocol):
    """The engines as the placer knows them."""

    def listed_servers(self) -> collections.abc.Sequence[engines.Engine]:
        """Return all backend servers with a registration."""


class ScalingOrders(listener.Listener):
    """Observes, decides and orders for all services with bounds and prices.

    Parameters
    ----------
    host_id : HostId
        This host.
    engine_list : EngineList
        The engines, their loads and speed.
    section : DemandSection
        Demand at this host and at the others.
    duty : DutyLease
        The lease under which orders are sent.
    api : PlatformApi
        Takes the orders.
    """

    def __init__(
        self,
        host_id: ids.HostId,
        engine_list: EngineList,
        section: demand_reports.DemandSection,
        duty: duties.DutyLease,
        api: duties.PlatformApi,
    ) -> None:
        self._host_id = host_id
        self._engine_list = engine_list
        self._section = section
        self._duty = duty
        self._api = api
        self._host_count = 1
        self._services: dict[ids.ServiceName, routing.RoutedService] = {}
        self._turns: collections.deque[ids.ServiceName] = collections.deque()
        self._token: ids.FencingNumber | None = None
        self._states: dict[ids.ServiceName, state.ServiceState] = {}

    def use_table(self, table: routing.RoutingTable) -> None:
        """Order engines for the services that have bounds and prices."""
        found = {}
        for name, service in table.services.items():
            if service.scaling is None:
                continue
            problem = need.problem(service.scaling)
            if problem is None:
                found[name] = service
            else:
                logger.warning(
                    'engines of a service cannot be ordered',
                    extra={'service': name, 'cause': problem},
                )
        self._services = found
        self._turns = collections.deque(found)
        self._forget(found)

    def use_members(
        self, current: collections.abc.Sequence[members.Member]
    ) -> None:
        """Expect reports of these hosts."""
        self._host_count = max(1, len(current))

    async def run(self) -> typing.NoReturn:
        """Order engines until cancelled."""
        while True:
            await self.order_once()
            await trio.sleep(PASS_INTERVAL_S)

    async def order_once(self) -> None:
        """Decide once for each service and send the orders."""
        held = self._duty.current(duties.CALL_TIMEOUT_S)
        token = None if held is None else held.token
        if token != self._token:
            # Another host may have ordered engines in between.
            self._token = token
            self._forget(())
        if held is None:
            return
        now = clock.now()
        self._receive_own_demand(now)
        supply = self._supply()
        # A pass that fails or takes long ends, and the next one goes on with
        # the other services from new observations.
        for name in tuple(self._turns):
            service = self._services.get(name)
            if service is None:
                continue
            self._turns.rotate(-1)
            reached = await self._order_service(
                service, supply.get(name, {}), now
            )
            if not reached or clock.now() > now + PASS_INTERVAL_S:
                break

    def _forget(
        self, kept: collections.abc.Container[ids.ServiceName]
    ) -> None:
        """Forget the orders for all services but some."""
        for name in [name for name in self._states if name not in kept]:
            del self._states[name]
        for counts in (metrics.engines_wanted, metrics.engines_ordered):
            for labels in [
                labels for labels in counts if labels[0] not in kept
            ]:
                del counts[labels]

    def _receive_own_demand(self, now: float) -> None:
        value = self._section.encode()
        if value is not None:
            self._section.receive(self._host_id, '', value, now)

    def _supply(
        self,
    ) -> dict[ids.ServiceName, dict[interface.Pool, interface.Supply]]:
        """Return the engines of each service by failure domain and kind."""
        live: collections.Counter[tuple[ids.ServiceName, interface.Pool]] = (
            collections.Counter()
        )
        reclaimed = live.copy()
        for engine in self._engine_list.listed_servers():
            instance = engine.instance
            key = instance.service, interface.Pool(
                instance.failure_domain, instance.reclaimable
            )
            if engine.in_use:
                live[key] += 1
            elif instance.reclaimable and instance.leaves_after is not None:
                reclaimed[key] += 1
        found: dict[ids.ServiceName, dict[interface.Pool, interface.Supply]]
        found = {}
        for service, pool in live.keys() | reclaimed.keys():
            found.setdefault(service, {})[pool] = interface.Supply(
                live[service, pool], reclaimed[service, pool]
            )
        return found

    def _observations(
        self,
        service: routing.RoutedService,
        supply: collections.abc.Mapping[interface.Pool, interface.Supply],
        now: float,
    ) -> interface.Observations:
        demand = self._section.fleet.demand(service.name, now)
        model = service.model
        rate = demand.engine_tokens_per_s or self._engine_list.prefill_rate(
            service.name
        )
        capacity = (
            interface.Capacity(rate, model.memory_tokens, model.slots)
            if model is not None
            else interface.Capacity(0.0, 0.0, self._slots(service.name))
        )
        return interface.Observations(
            demand=demand,
            coverage=min(1.0, demand.hosts / self._host_count),
            capacity=capacity,
            supply=supply,
        )

    def _slots(self, service: ids.ServiceName) -> int:
        """Return the slots of the smallest server of a plain service."""
        return min(
            (
                engine.instance.slots
                for engine in self._engine_list.listed_servers()
                if engine.instance.service == service
            ),
            default=1,
        )

    async def _order_service(
        self,
        service: routing.RoutedService,
        supply: collections.abc.Mapping[interface.Pool, interface.Supply],
        now: float,
    ) -> bool:
        """Decide for a service and send its orders.

        Returns whether the platform is reached and the lease held; otherwise
        the other orders are decided anew in the next pass.
        """
        declared = service.scaling
        assert declared is not None
        known = self._states.setdefault(service.name, state.ServiceState(now))
        observed = self._observations(service, supply, now)
        known.observe(observed, declared, now)
        decided = decision.decide(observed, declared, known, now)
        reached = True
        for order in decided.orders:
            reached = await self._send(
                service.name, declared, known, order, decided.figures
            )
            if not reached:
                break
        for pool, count in decided.wanted.items():
            if service.name not in self._services:
                break
            labels = service.name, pool.domain, pool.kind
            metrics.engines_wanted[labels] = count
            metrics.engines_ordered[labels] = known.pool(pool).current
        return reached

    async def _send(
        self,
        service: ids.ServiceName,
        declared: routing.Scaling,
        known: state.ServiceState,
        order: interface.Order,
        figures: interface.Figures,
    ) -> bool:
        """Send an order; return False if no further one should be sent."""
        held = self._duty.current(duties.CALL_TIMEOUT_S)
        if held is None or held.token != self._token:
            return False
        pool = order.pool
        before = known.pool(pool)
        ordered_before, live = before.current, before.live
        outcome = await self._api.order_engines(
            service, pool.domain, order.count, pool.reclaimable, held
        )
        result = _result(outcome)
        known.record(order, result, declared, clock.now())
        metrics.count_order(result.value)
        logger.info(
            'engines ordered',
            extra={
                'service': service,
                'zone': pool.domain,
                'kind': pool.kind,
                'count': order.count,
                'ordered_before': ordered_before,
                'live': live,
                'reason': order.reason.value,
                'result': result.value,
                'outcome': repr(outcome),
                'needed_now': round(figures.present, 1),
                'needed': round(figures.firm, 1),
                'with_spare': round(figures.wanted, 1),
                'urgent': round(figures.urgent, 1),
            },
        )
        results = interface.Result
        return result not in (results.NOT_SENT, results.UNKNOWN)


def _result(outcome: duties.OrderOutcome) -> interface.Result:
    """Return what became of an order.

    Rejections for too many calls and by a fault of the platform say nothing
    of the order itself.
    """
    match outcome:
        case duties.Accepted():
            return interface.Result.ACCEPTED
        case duties.NoneAvailable():
            return interface.Result.NONE_AVAILABLE
        case duties.NoReply():
            return interface.Result.UNKNOWN
        case duties.Rejected(status) if (
            status != TOO_MANY_CALLS and status < FIRST_SERVER_ERROR
        ):
            return interface.Result.REJECTED
    return interface.Result.NOT_SENT
