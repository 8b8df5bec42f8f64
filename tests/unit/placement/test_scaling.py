"""How many engines are ordered over curves of demand.

Loads and margins are in engines that the demand keeps busy: a margin of 0 is
engines without a pause, a negative one a backlog that callers wait for.
"""

import math

import hypothesis
from hypothesis import strategies as st
import pytest

from corianderloft._internal.placement.scaling import interface
from corianderloft._internal.placement.scaling import mix
from corianderloft._internal.placement.scaling import need
from corianderloft._internal.placement.scaling import state as states
from tests.lib import ordered_engines as lib

LOAD = 10.0
AT_START = 9
"""Demand of most curves, and on-demand engines of each domain at the start."""


def burst(start, seconds, factor=2.5):
    return lambda now: LOAD * (factor if start <= now < start + seconds else 1)


def all_on_demand(day):
    """Return the price of the engines of the start for the whole day."""
    return AT_START * sum(day.declared.prices.values()) * day.now


def test_a_steady_load_is_served_by_reclaimable_engines():
    """On-demand engines that are kept beside reclaimable ones are wasted."""
    day = lib.Day(lambda now: LOAD).start(AT_START).run(120)
    assert day.least_margin() >= LOAD / need.PEAK_PREFILL_LOAD - LOAD
    assert day.total(reclaimable=False) == 1
    assert day.cost < 0.3 * all_on_demand(day)


def test_on_demand_engines_are_removed_after_reclaimable_ones_serve():
    """Removal before that cuts the capacity for a boot time."""
    day = lib.Day(lambda now: LOAD).start(AT_START)
    day.run(4.5)
    assert day.total(reclaimable=False) == 3 * AT_START
    removed = {
        now
        for now, order, _ in day.run(60).sent
        if order.reason is interface.Reason.REPLACED
    }
    assert min(removed) >= day.declared.boot_time + states.SETTLE_S - 0.5
    assert len(removed) > 3


def test_a_slow_rise_is_followed_without_a_shortage():
    day = lib.Day(lambda now: 4 + now / 10).start(4).run(300)
    assert day.least_margin() > 0


@pytest.mark.parametrize('seconds', [2, 5, 9])
def test_spare_engines_carry_a_burst_that_ends_before_others_boot(seconds):
    """Engines that are ordered when a burst is seen come after most of it."""
    day = lib.Day(burst(60, seconds)).start(AT_START).run(120)
    assert day.least_margin(60, 60 + seconds) >= 0
    assert day.cost < 0.35 * all_on_demand(day)


def test_a_long_burst_gets_engines_within_a_boot_time():
    day = lib.Day(burst(60, 60)).start(AT_START).run(120)
    enough = 2.5 * LOAD / need.PREFILL_LOAD - 2.5 * LOAD
    assert day.least_margin(60, 66) >= 0
    assert day.least_margin(66, 120) >= enough


def test_engines_stay_for_some_boot_times_after_a_burst():
    """Engines that are removed between two bursts miss the second one."""
    day = lib.Day(burst(60, 6)).start(AT_START).run(67)
    during = max(day.total(), 47)
    day.run(67 + states.HOLD_BOOT_TIMES * day.declared.boot_time - 2)
    assert day.total() >= during


def test_a_fall_to_a_quarter_removes_engines_in_steps():
    """All at once would be wrong if the fall is that of the reports."""
    day = lib.Day(lambda now: LOAD / 4 if now >= 60 else LOAD).start(AT_START)
    before = day.run(70).total()
    assert before >= 30
    totals = [day.run(now).total() for now in range(71, 200)]
    assert totals[-1] <= 11
    steps = [a - b for a, b in zip(totals, totals[1:], strict=False)]
    assert max(steps) <= math.ceil(states.HOLD_BOOT_TIMES)
    assert day.least_margin(60) > 0


def test_without_reclaimable_engines_the_need_is_on_demand():
    day = lib.Day(lambda now: LOAD, lib.scaling(price=None)).start(AT_START)
    day.run(60)
    assert day.total(reclaimable=True) == 0
    assert day.total() == math.ceil(LOAD / need.PREFILL_LOAD)


@pytest.mark.parametrize('domain', lib.PRICES)
def test_the_most_urgent_class_fits_after_a_domain_is_reclaimed(domain):
    """A domain is reclaimed in a burst, and no other engines for 8 s."""
    day = lib.Day(
        burst(60, 9),
        refused=lambda pool, now: pool.reclaimable and 62 <= now < 70,
        urgent=0.6,
    ).start(AT_START)
    day.run(62).reclaim(domain)
    day.run(110)
    live = [margin + day.load(now) for now, margin in day.margins if now >= 60]
    assert min(live) >= 0.6 * 2.5 * LOAD
    assert day.least_margin(67.5) >= 0
    # The engines that replaced the lost ones stay until others serve.
    assert min(day.spared) >= 0
    assert day.total(reclaimable=False) == 1


def test_a_domain_without_engines_is_replaced_by_others():
    """Its share would be missing for as long as it has none."""
    day = lib.Day(
        lambda now: LOAD,
        refused=lambda pool, now: pool == lib.pool(lib.NORTH, True),
    ).start(AT_START)
    day.run(60)
    assert day.total() >= LOAD / need.PREFILL_LOAD * 1.5
    assert day.total(reclaimable=False) <= 3
    refused = [
        now
        for now, order, result in day.sent
        if order.pool.domain == 'north'
        and result is interface.Result.NONE_AVAILABLE
    ]
    gaps = [b - a for a, b in zip(refused, refused[1:], strict=False)]
    assert gaps and min(gaps) >= states.MIN_PAUSE_S


def test_without_any_reclaimable_engines_on_demand_ones_serve():
    day = lib.Day(
        lambda now: LOAD, refused=lambda pool, now: pool.reclaimable
    ).start(1)
    day.run(60)
    assert day.total(reclaimable=False) == math.ceil(LOAD / need.PREFILL_LOAD)
    assert day.least_margin(8) > 0


@pytest.mark.parametrize('fate', ['order', 'reply'])
def test_a_lost_order_is_sent_again(fate):
    """Without a reply it is unknown whether the order took effect."""
    day = lib.Day(
        burst(20, 60), lost=lambda now: fate if 20 <= now < 24 else None
    ).start(AT_START)
    day.run(50)
    assert day.least_margin(30, 50) >= LOAD


def test_an_order_without_a_reply_is_repeated_after_a_second():
    """Waiting for a missing engine instead takes two boot times."""
    pool = states.PoolState()
    pool.observe(interface.Supply(3), lib.scaling(), 0.0)
    pool.record(5, interface.Result.UNKNOWN, lib.scaling(), 0.0)
    assert not pool.repeat_due(lib.scaling(), 0.9 * states.RETRY_S)
    assert pool.repeat_due(lib.scaling(), states.RETRY_S)


def test_a_new_holder_in_the_middle_of_a_change_removes_no_capacity():
    """It does not know what was ordered, nor the demand of before."""
    day = lib.Day(burst(20, 60)).start(AT_START).run(23)
    live = day.total()
    day.take_over()
    day.run(27)
    assert day.total() >= live
    assert not [
        order
        for now, order, _ in day.sent
        if 23 <= now < 27 and order.reason is interface.Reason.SURPLUS
    ]
    day.run(80)
    assert day.least_margin(30, 80) > 0


def test_engines_whose_entries_are_missing_are_not_ordered_away():
    """A new holder would order the few that are listed: a restored store."""
    day = lib.Day(lambda now: LOAD).start(AT_START)
    key = lib.pool(lib.EAST, False)
    day.run(2)
    day.ready[key] = []
    # No reclaimable engine that replaces them serves for long enough by then.
    day.run(5)
    counts = [order.count for _, order, _ in day.sent if order.pool == key]
    assert counts and min(counts) >= AT_START


def test_an_engine_that_never_comes_is_ordered_again_and_replaced():
    key = lib.pool(lib.NORTH, True)
    day = lib.Day(lambda now: LOAD, duds={key: 5}).start(AT_START).run(40)
    assert [
        order
        for _, order, _ in day.sent
        if order.pool == key and order.reason is interface.Reason.REPEATED
    ]
    assert day.total() >= LOAD * 3


def test_no_engine_is_removed_without_reports_of_most_hosts():
    """A part of the fleet that is cut off would look like less demand."""
    known = states.ServiceState(0.0)
    declared = lib.scaling()
    supply = {
        lib.pool(domain, False): interface.Supply(AT_START)
        for domain in lib.PRICES
    }
    for step in range(200):
        seen = lib.observations(1.0, supply, coverage=0.5)
        known.observe(seen, declared, step / 2)
        decided = lib.decision.decide(seen, declared, known, step / 2)
        assert all(order.count >= 0 for order in decided.orders)
        assert all(
            order.count >= supply[order.pool].live
            for order in decided.orders
            if order.pool in supply
        )


def test_refusals_with_all_needed_engines_live_raise_the_need():
    """The learned speed may be higher than that under load."""
    known = states.ServiceState(0.0)
    declared = lib.scaling()
    supply = {lib.pool(lib.EAST, False): interface.Supply(17)}
    needs = []
    for step in range(100):
        seen = lib.observations(LOAD, supply)
        refusing = lib.dataclasses.replace(
            seen.demand, arrivals_per_s=20.0, refused_per_s=2.0
        )
        seen = lib.dataclasses.replace(seen, demand=refusing)
        known.observe(seen, declared, step / 2)
        needs.append(known.firm)
    assert needs[-1] > needs[0]
    assert needs[-1] <= 1.2 * 17


@hypothesis.given(
    least=st.integers(0, 6),
    more=st.integers(0, 20),
    load=st.floats(0, 200),
    urgent=st.floats(0, 1),
    price=st.none() | st.floats(0, 2),
    prices=st.lists(st.floats(0, 10), min_size=1, max_size=4),
    start=st.integers(0, 10),
)
@hypothesis.settings(max_examples=40, deadline=None)
def test_bounds_hold_for_both_kinds_together(
    least, more, load, urgent, price, prices, start
):
    """A count out of bounds is rejected, or paid for."""
    declared = lib.scaling(
        least,
        least + more,
        4.0,
        price,
        {f'z{i}': p for i, p in enumerate(prices)},
    )
    day = lib.Day(lambda now: load, declared, urgent=urgent)
    day.start(min(start, least + more)).run(30)
    assert need.problem(declared) is None
    for domain in declared.prices:
        total = sum(len(day.ready[lib.pool(domain, k)]) for k in (False, True))
        assert least <= total <= least + more


@pytest.mark.parametrize(
    'declared',
    [
        lib.scaling(least=5, most=4),
        lib.scaling(least=-1),
        lib.scaling(boot_time=math.nan),
        lib.scaling(price=-0.1),
        lib.scaling(prices={lib.EAST: math.inf}),
        lib.scaling(prices={}),
    ],
)
def test_wrong_declarations_are_found(declared):
    """A decision by them would order without bounds or fail each time."""
    assert need.problem(declared)


@hypothesis.given(
    st.integers(1, 100), st.floats(0, 60), st.floats(0, 1), st.integers(1, 4)
)
def test_the_planned_mix_carries_the_most_urgent_class(
    total, urgent, price, domains
):
    """Half of the urgent requests would wait for a boot time after a loss."""
    prices = {str(number): 1.0 + number / 5 for number in range(domains)}
    on_demand, reclaimable = mix.plan(total, urgent, price, prices, prices)
    counts = mix.allocate(
        reclaimable, dict.fromkeys(prices, reclaimable), prices
    )
    assert on_demand + mix.survivors(counts) - 1 >= urgent
    assert on_demand + reclaimable >= total


@hypothesis.given(
    st.integers(0, 300), st.lists(st.floats(0, 10), min_size=1, max_size=5)
)
def test_a_larger_total_lowers_no_count(total, prices):
    """Otherwise engines are removed in one domain to be booted in another."""
    by_domain = {str(number): price for number, price in enumerate(prices)}
    limits = dict.fromkeys(by_domain, 1000)
    fewer = mix.allocate(total, limits, by_domain)
    more = mix.allocate(total + 1, limits, by_domain)
    assert sum(fewer.values()) == total
    assert all(more[domain] >= fewer[domain] for domain in fewer)


def test_a_burst_with_the_first_requests_finds_spare_engines():
    """Nothing is known of the demand yet, and new engines come too late."""
    day = lib.Day(
        lambda now: LOAD * 2.5 if 12 <= now < 20 else LOAD * (now >= 11)
    ).start(6)
    assert day.run(11).total() >= 2 * 18
    day.run(20)
    assert day.least_margin(12, 20) >= 0


def test_no_engine_is_removed_after_some_were_reclaimed():
    """The engines of another failure domain may be reclaimed next."""
    day = lib.Day(lambda now: LOAD * (0.3 if now >= 60 else 1)).start(AT_START)
    # The need has been less for the hold time: engines are being removed.
    removing = day.run(76).total()
    assert day.run(78).total() < removing
    day.reclaim(lib.NORTH)
    day.refused = lambda pool, now: pool == lib.pool(lib.NORTH, True)
    totals = [day.run(now).total() for now in range(79, 92)]
    assert totals == sorted(totals)


def test_two_domains_are_reclaimed_one_after_the_other():
    """What is left after the first one must bear the loss of the second."""
    day = lib.Day(lambda now: LOAD, lib.scaling(most=8)).start(8).run(60)
    day.reclaim(lib.NORTH)
    day.refused = lambda pool, now: pool == lib.pool(lib.NORTH, True)
    day.run(66).reclaim(lib.WEST)
    day.refused = lambda pool, now: pool.reclaimable
    day.run(80)
    assert day.least_margin(60) >= 0


def test_on_demand_engines_are_not_ordered_for_a_peak_that_is_over():
    """They would serve when nobody needs them, at several times the price."""
    day = lib.Day(burst(60, 4)).start(AT_START).run(62)
    during = day.state.lasting(day.declared, day.now)
    day.run(70)
    after = day.state.lasting(day.declared, day.now)
    assert during >= 2.5 * LOAD
    assert LOAD <= after <= 2 * LOAD
    assert day.state.firm >= 2.5 * LOAD
