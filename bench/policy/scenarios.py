"""Simulated scenarios, and the measures taken from each."""

import collections.abc

from bench.policy import measures
from bench.policy import policies
from bench.policy import simulate
from bench.policy import workload

Measurements = dict[str, float]
Scenario = collections.abc.Callable[
    [workload.Service, policies.Policy, int], Measurements
]

DURATION_S = 120.0
_BURSTS = (('workspace-2', 'reply'), ('workspace-0', 'quote'))
"""A burst that fits into the capacity of its tier, and one that does not."""

_OUTAGE_PERIOD_S = (50.0, 60.0)
_SLOWED_ENGINES = 2


def _run(
    service: workload.Service,
    policy: policies.Policy,
    seed: int,
    demand: workload.Demand,
    faults: simulate.Faults | None = None,
) -> simulate.Result:
    return simulate.simulate(
        service, demand, faults or simulate.Faults(), policy, seed
    )


def overload(
    service: workload.Service, policy: policies.Policy, seed: int
) -> Measurements:
    """Measure at 1.3 times capacity, with varying demand and one crash."""
    result = _run(
        service,
        policy,
        seed,
        workload.Demand(1.3, DURATION_S),
        simulate.Faults(crash=(60.0, 70.0)),
    )
    records = result.records
    measurements = {
        f'1.3 tier {profile.tier} {profile.name}': measures.attainment(
            measures.select_tiers(records, (profile.tier,))
        )
        for profile in service.profiles
    }
    lowest = measures.select_tiers(records, (service.profiles[-1].tier,))
    peak = [r for r in measures.short_requests(result) if r.arrival.is_peak]
    measurements['1.3 crest short'] = measures.attainment(peak)
    measurements['1.3 goodput'] = measures.goodput(result)
    measurements['1.3 wasted'] = measures.wasted_fraction(result)
    measurements['1.3 lowest started'] = measures.started_fraction(lowest)
    measurements['1.3 lowest longest wait'] = measures.longest_start_wait(
        lowest
    )
    measurements['1.3 longest lane wait'] = result.longest_lane_wait
    return measurements


def head_of_line(
    service: workload.Service, policy: policies.Policy, seed: int
) -> Measurements:
    """Compare short requests with and without long requests present."""
    present = workload.Demand(0.9, DURATION_S)
    absent = workload.Demand(
        0.9, DURATION_S, without_tiers=workload.LONG_TIERS
    )
    waits = [
        measures.first_token_percentile(
            measures.short_requests(_run(service, policy, seed, demand)), 0.99
        )
        for demand in (present, absent)
    ]
    return {
        'hol short p99': waits[0],
        'hol ratio': waits[0] / waits[1],
    }


def slowed(
    service: workload.Service, policy: policies.Policy, seed: int
) -> Measurements:
    """Slow some engines down five times, at 0.7 of the remaining capacity."""
    load = 0.7 * (service.engines - _SLOWED_ENGINES) / service.engines
    demand = workload.Demand(load, DURATION_S)
    healthy = _run(service, policy, seed, demand)
    slow = _run(
        service, policy, seed, demand, simulate.Faults(slowed=_SLOWED_ENGINES)
    )
    waits = [
        measures.first_token_percentile(measures.short_requests(result), 0.99)
        for result in (slow, healthy)
    ]
    return {
        'slowed short p99': waits[0],
        'slowed tail ratio': waits[0] / waits[1],
        'slowed short': measures.attainment(measures.short_requests(slow)),
        'slowed wasted': measures.wasted_fraction(slow),
    }


def burst(
    service: workload.Service, policy: policies.Policy, seed: int
) -> Measurements:
    """Let one class of one workspace burst tenfold for ten seconds."""
    return {
        f'burst of {workspace} {name}, others fall': _attainment_drop(
            service, policy, seed, workspace, name
        )
        for workspace, name in _BURSTS
    }


def _attainment_drop(
    service: workload.Service,
    policy: policies.Policy,
    seed: int,
    workspace: str,
    name: str,
) -> float:
    """Return the loss of attainment of other workspaces in the same class."""
    without_burst, with_burst = (
        measures.attainment(
            [
                r
                for r in _run(
                    service,
                    policy,
                    seed,
                    workload.Demand(
                        1.0,
                        DURATION_S,
                        burst_workspace=burst_workspace,
                        burst_class=name,
                    ),
                ).records
                if r.arrival.profile.name == name
                and r.arrival.workspace != workspace
            ]
        )
        for burst_workspace in (None, workspace)
    )
    return without_burst - with_burst


def outage(
    service: workload.Service, policy: policies.Policy, seed: int
) -> Measurements:
    """Take all engines down for ten seconds."""
    result = _run(
        service,
        policy,
        seed,
        workload.Demand(0.7, DURATION_S, varies=False),
        simulate.Faults(interference=False, outage=_OUTAGE_PERIOD_S),
    )
    since, until = _OUTAGE_PERIOD_S
    arrived = sum(since <= r.arrival.sent_at < until for r in result.records)
    attempts = measures.count_attempts_after(result, since)
    return {
        'outage attempts over arrivals': attempts / max(1, arrived),
        'outage back after': measures.recovery_time(result, until),
        'outage wasted': measures.wasted_fraction(result),
    }


SCENARIOS: dict[str, Scenario] = {
    'overload': overload,
    'head_of_line': head_of_line,
    'slowed': slowed,
    'burst': burst,
    'outage': outage,
}

TARGETS = {
    '1.3 tier 0 question': '>= 0.99',
    '1.3 tier 1 reply': '>= 0.99',
    '1.3 tier 2 quote': '>= 0.99',
    '1.3 tier 3 draft': '>= 0.99',
    '1.3 goodput': '>= 0.95 oracle',
    '1.3 longest lane wait': '<= 60',
    '1.3 wasted': '<= 0.02',
    'hol ratio': '<= 1.25',
    'slowed tail ratio': '<= 1.5',
    'slowed short': '>= 0.99',
    **{
        f'burst of {workspace} {name}, others fall': '<= 0.02'
        for workspace, name in _BURSTS
    },
    'outage attempts over arrivals': '<= 1.10',
    'outage back after': '<= 3',
}
