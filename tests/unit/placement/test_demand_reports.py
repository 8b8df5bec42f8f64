"""Demand that hosts measure and report.

Guards against demand that shrinks when requests are refused, that grows when
they are repeated, and against reports that break the receiver.
"""

import random

import hypothesis
from hypothesis import strategies as st
import orjson
import pytest

from corianderloft._internal.models import ids
from corianderloft._internal.models import instances
from corianderloft._internal.models import routing
from corianderloft._internal.placement import budget
from corianderloft._internal.placement import demand_reports
from corianderloft._internal.placement import interface
from corianderloft._internal.placement import placer
from tests.lib import ordered_engines

CHAT = ids.ServiceName('chat')
OTHER = ids.ServiceName('other')


def job(number=0, tier=0, tokens=1000, service=CHAT, now=0.0):
    route = routing.Route(
        'r', 'h', '/', routing.RequestKind.STREAM, ids.Tier(0), 9.0, 0.1,
        None, 2, False, (routing.Share(service, 1.0),),
    )  # fmt: skip
    prompt = instances.Prompt(tokens, 200)
    return interface.Job(
        f'id-{number}', route, service, None, ids.Tier(tier), now, now + 9.0,
        prompt,
    )  # fmt: skip


class Figures:
    """Requests at engines."""

    count = 0

    def in_flight(self):
        return {CHAT: self.count}

    def prefill_rate(self, service):
        return 1000.0


def table():
    def service(name, scaling):
        model = routing.ModelService(48, 100_000)
        return routing.RoutedService(name, '/', 10, model, scaling)

    services = {
        CHAT: service(CHAT, ordered_engines.scaling()),
        OTHER: service(OTHER, None),
    }
    return routing.RoutingTable(
        1, {}, services, {}, False, routing.CallerLimits(1, 1, 1.0, 1.0)
    )


def report(meter, now):
    return meter.report(CHAT, ordered_engines.EAST, 0, 1000.0, now)


def test_a_burst_shows_within_a_second():
    """Engines for it are ordered late otherwise."""
    now = 0.0
    meter = demand_reports.DemandMeter()
    for step in range(1000):
        now = step / 20
        meter.record_arrival(job(), now)
    before = report(meter, now).prefill_tokens_per_s
    assert before == pytest.approx(20_000, rel=0.1)
    for _ in range(50):
        now += 1 / 50
        meter.record_arrival(job(), now)
    assert report(meter, now).prefill_tokens_per_s > before * 1.9


def test_memory_and_slots_follow_the_time_that_requests_run():
    """Long answers hold memory that prompts alone do not tell."""
    local = demand_reports.LocalDemand(ordered_engines.EAST)
    local.use_table(table())
    figures = Figures()
    stay = 5.0
    for step in range(2000):
        now = step / 20
        local.record_arrival(job(step), now)
        local.meter(CHAT).record_assigned(job(), 1000, now)
        if step % 20 == 0:
            figures.count = round(20 * min(now, stay))
            (found,) = local.reports(figures, now)
    assert found.running == pytest.approx(20 * stay, rel=0.15)
    assert found.kv_tokens == pytest.approx(20 * stay * 1100, rel=0.15)


def test_the_most_urgent_class_is_told_from_the_others():
    meter = demand_reports.DemandMeter()
    for step in range(400):
        meter.record_arrival(job(tier=1 + (step % 4 > 0)), step / 20)
    found = report(meter, 20.0)
    assert found.urgency == 3
    assert found.urgent_fraction == pytest.approx(0.25, abs=0.02)


async def test_refused_and_repeated_requests_count_once(autojump_clock):
    """Refusals would hide the demand, and repeats would multiply it."""
    found = placer.Placer(
        ordered_engines.EAST,
        budget.RetryBudget(0.2, 50.0, 10.0),
        random.Random(1),
    )
    found.use_table(table())
    section = demand_reports.DemandSection(found.arrivals, found)
    for _ in range(3):
        assert isinstance(await found.acquire(job()), interface.Refused)
    await found.acquire(job(1, service=OTHER))
    (row,) = section.encode()
    decoded = demand_reports.decode(row)
    assert decoded.service == CHAT
    assert decoded.arrivals_per_s <= 1 / demand_reports.REFUSED_S
    assert decoded.refused_per_s > decoded.arrivals_per_s
    assert decoded.waiting_tokens == 0


def test_reports_of_lost_hosts_expire():
    """Engines would be kept for hosts whose callers have moved on."""
    fleet = demand_reports.FleetDemand()
    rows = [
        demand_reports.encode(
            demand_reports.DemandReport(
                CHAT, domain, 100.0, 10.0, 1.0, urgency=1, urgent_fraction=0.5
            )
        )
        for domain in (ordered_engines.EAST, ordered_engines.WEST)
    ]
    fleet.receive(ids.HostId('a'), 's1', [rows[0]], 0.0)
    fleet.receive(ids.HostId('b'), 's1', [rows[1]], 2.0)
    fleet.receive(ids.HostId('b'), 's2', [rows[1]], 2.0)
    both = fleet.demand(CHAT, 2.0)
    assert both.prefill_tokens_per_s == 200.0
    assert both.by_domain == {
        ordered_engines.EAST: 100.0,
        ordered_engines.WEST: 100.0,
    }
    assert (both.hosts, both.urgent_fraction) == (2, 0.5)
    assert fleet.demand(CHAT, 6.0).hosts == 1


VALUES = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(),
    lambda children: st.lists(children, max_size=12),
    max_leaves=30,
)


@hypothesis.given(VALUES)
def test_malformed_reports_are_refused_by_a_value_error(value):
    """Any other error would end the task that receives datagrams."""
    fleet = demand_reports.FleetDemand()
    try:
        fleet.receive(ids.HostId('a'), 's', value, 0.0)
    except (ValueError, TypeError):
        return
    assert fleet.demand(CHAT, 0.0).prefill_tokens_per_s >= 0


@pytest.mark.parametrize(
    ('place', 'value'),
    [
        (3, float('nan')),
        (3, -1),
        (4, 1e300),
        (2, -1),
        (2, True),
        (0, 'x' * 999),
    ],
)
def test_reports_out_of_range_are_refused(place, value):
    """Sums of them would call for all engines, or for none."""
    row = demand_reports.encode(
        demand_reports.DemandReport(CHAT, ordered_engines.EAST, 1.0, 1.0, 1.0)
    )
    assert demand_reports.decode(orjson.loads(orjson.dumps(row)))
    row[place] = value
    with pytest.raises(ValueError):
        demand_reports.decode(row)
