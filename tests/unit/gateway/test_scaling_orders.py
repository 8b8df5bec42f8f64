"""Orders of engines while a host holds the duties."""

import dataclasses
import logging
import math

import pytest

from corianderloft._internal.gateway.duties import interface as duties
from corianderloft._internal.gateway.duties import scaling_orders
from corianderloft._internal.gateway import metrics
from corianderloft._internal.gateway import metrics_page
from corianderloft._internal.models import ids
from corianderloft._internal.models import instances
from corianderloft._internal.models import routing
from corianderloft._internal.models import states
from corianderloft._internal.placement import demand_reports
from corianderloft._internal.placement import engines
from tests.lib import ordered_engines as lib

CHAT = ids.ServiceName('chat')
SPEECH = ids.ServiceName('speech')


class Duty:
    """Holds the lease, or not, under a token."""

    def __init__(self):
        self.token = 7
        self.remaining = math.inf

    def current(self, min_remaining=0.0):
        if self.remaining <= min_remaining:
            return None
        return duties.Held(ids.FencingNumber(self.token), 0.0, self.remaining)


class Api:
    """Takes orders and gives outcomes by service."""

    def __init__(self):
        self.orders = []
        self.outcomes = {}
        self.on_order = lambda: None

    async def order_engines(self, service, domain, count, reclaimable, held):
        self.orders.append((service, domain, count, reclaimable, held.token))
        self.on_order()
        return self.outcomes.get(service, duties.Accepted())


class EngineList:
    """Some live engines, and the demand of this host."""

    def __init__(self, servers):
        self.servers = servers

    def listed_servers(self):
        return self.servers

    def in_flight(self):
        return {}

    def prefill_rate(self, service):
        return lib.RATE


class Local:
    """Reports a constant demand."""

    def reports(self, figures, now):
        return [
            demand_reports.DemandReport(
                name, lib.EAST, 5 * lib.RATE, 0.0, 1.0,
                engine_tokens_per_s=lib.RATE,
            )
            for name in (CHAT, SPEECH)
        ]  # fmt: skip


def engine(number, service=CHAT, **changes):
    model = routing.ModelService(48, 100_000)
    instance = instances.Instance(
        ids.EngineId(f'e-{number}'), 1, service, '127.0.0.1', 1, lib.EAST, 48,
        states.BackendState.LIVE,
    )  # fmt: skip
    return engines.Engine(dataclasses.replace(instance, **changes), model)


def table(**scalings):
    services = {
        ids.ServiceName(name): routing.RoutedService(
            ids.ServiceName(name), '/', 9, routing.ModelService(48, 0), scaling
        )
        for name, scaling in scalings.items()
    }
    limits = routing.CallerLimits(1, 1, 1.0, 1.0)
    return routing.RoutingTable(1, {}, services, {}, False, limits)


@pytest.fixture
def system():
    duty, api = Duty(), Api()
    listed = EngineList([engine(number) for number in range(3)])
    section = demand_reports.DemandSection(Local(), listed)
    orders = scaling_orders.ScalingOrders(
        ids.HostId('h'), listed, section, duty, api
    )
    orders.use_table(table(chat=lib.scaling(), speech=lib.scaling()))
    return orders, duty, api, listed


async def test_an_order_is_sent_once_with_the_token_and_logged(system, caplog):
    orders, duty, api, _ = system
    with caplog.at_level(logging.INFO):
        await orders.order_once()
        await orders.order_once()
    assert len({order[:2] + order[3:4] for order in api.orders}) == len(
        api.orders
    )
    assert {order[4] for order in api.orders} == {duty.token}
    assert {order[0] for order in api.orders} == {CHAT, SPEECH}
    line = next(r for r in caplog.records if r.message == 'engines ordered')
    assert line.reason and line.needed > 5 and line.live == 0
    assert metrics.engines_wanted[CHAT, lib.EAST, 'reclaimable'] > 0
    metrics_page.collect()


async def test_nothing_is_sent_without_the_lease(system):
    """A former holder must not overwrite the orders of the next one."""
    orders, duty, api, _ = system
    duty.remaining = duties.CALL_TIMEOUT_S
    await orders.order_once()
    assert not api.orders
    duty.remaining = math.inf
    api.on_order = lambda: setattr(duty, 'remaining', 0.0)
    await orders.order_once()
    assert len(api.orders) == 1
    await orders.order_once()
    assert not metrics.engines_wanted


async def test_a_new_token_in_between_stops_the_pass(system):
    """Orders that were decided before it may be outdated."""
    orders, duty, api, _ = system
    api.on_order = lambda: setattr(duty, 'token', 8)
    await orders.order_once()
    assert len(api.orders) == 1
    await orders.order_once()
    assert {order[4] for order in api.orders[1:]} == {8}


@pytest.mark.parametrize(
    'outcome',
    [duties.NoReply('silent'), duties.NotSent('cut'), duties.Rejected(429)],
)
async def test_a_failed_order_leaves_the_other_services_their_turn(
    system, outcome
):
    """A silent platform costs each call its whole timeout."""
    orders, _, api, _ = system
    api.outcomes[CHAT] = outcome
    await orders.order_once()
    assert len(api.orders) == 1
    await orders.order_once()
    assert SPEECH in {order[0] for order in api.orders}


async def test_wrong_declarations_disable_only_their_service(system, caplog):
    orders, _, api, _ = system
    wrong = lib.scaling(least=9, most=1)
    orders.use_table(table(chat=wrong, speech=lib.scaling()))
    await orders.order_once()
    assert {order[0] for order in api.orders} == {SPEECH}
    warnings = [r for r in caplog.records if r.levelno >= logging.WARNING]
    assert [r.service for r in warnings] == [CHAT]


async def test_engines_that_leave_do_not_count(system):
    """Demand would be sent to fewer engines than were counted."""
    orders, _, api, listed = system
    leaving = states.BackendState.LEAVING
    listed.servers = [
        engine(1, reclaimable=True),
        engine(2, reclaimable=True, state=leaving, leaves_after=2.5),
        engine(3, state=leaving),
    ]
    supply = orders._supply()[CHAT]
    assert supply[lib.pool(lib.EAST, True)] == lib.interface.Supply(1, 1)
    assert supply.get(lib.pool(lib.EAST, False), lib.interface.NO_SUPPLY) == (
        lib.interface.NO_SUPPLY
    )
    await orders.order_once()
    # What a domain has just lost is not available there.
    assert not [
        order
        for order in api.orders
        if order[0] == CHAT and order[1] == lib.EAST and order[3]
    ]
