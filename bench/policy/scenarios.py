"""What is run for each service and policy, and measured of it."""

import collections.abc

from bench.policy import measures
from bench.policy import policies
from bench.policy import simulate
from bench.policy import workload

Figures = dict[str, float]
Scenario = collections.abc.Callable[
    [workload.Service, policies.Policy, int], Figures
]

DURATION = 120.0
_BURSTS = (('workspace-2', 'reply'), ('workspace-0', 'quote'))
"""A burst that fits in the tier's room, and one that does not."""

_OUTAGE = (50.0, 60.0)
_SLOWED = 2


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
) -> Figures:
    """Demand of 1.3 times capacity, with swings and one crash."""
    result = _run(
        service,
        policy,
        seed,
        workload.Demand(1.3, DURATION),
        simulate.Faults(crash=(60.0, 70.0)),
    )
    records = result.records
    figures = {
        f'1.3 tier {mix.tier} {mix.name}': measures.attainment(
            measures.of_tiers(records, (mix.tier,))
        )
        for mix in service.mixes
    }
    lowest = measures.of_tiers(records, (service.mixes[-1].tier,))
    crest = [r for r in measures.short(result) if r.arrival.crest]
    figures['1.3 crest short'] = measures.attainment(crest)
    figures['1.3 goodput'] = measures.goodput(result)
    figures['1.3 wasted'] = measures.wasted(result)
    figures['1.3 lowest started'] = measures.started_part(lowest)
    figures['1.3 lowest longest wait'] = measures.longest_wait(lowest)
    figures['1.3 longest lane wait'] = result.longest_lane_wait
    return figures


def head_of_line(
    service: workload.Service, policy: policies.Policy, seed: int
) -> Figures:
    """Short work with long jobs present, and the same without."""
    present = workload.Demand(0.9, DURATION)
    absent = workload.Demand(0.9, DURATION, without_tiers=workload.LONG_TIERS)
    waits = [
        measures.percentile(
            measures.short(_run(service, policy, seed, demand)), 0.99
        )
        for demand in (present, absent)
    ]
    return {
        'hol short p99': waits[0],
        'hol ratio': waits[0] / waits[1],
    }


def slowed(
    service: workload.Service, policy: policies.Policy, seed: int
) -> Figures:
    """Some engines slowed five times, at 0.7 of what remains."""
    load = 0.7 * (service.engines - _SLOWED) / service.engines
    demand = workload.Demand(load, DURATION)
    healthy = _run(service, policy, seed, demand)
    slow = _run(service, policy, seed, demand, simulate.Faults(slowed=_SLOWED))
    waits = [
        measures.percentile(measures.short(result), 0.99)
        for result in (slow, healthy)
    ]
    return {
        'slowed short p99': waits[0],
        'slowed tail ratio': waits[0] / waits[1],
        'slowed short': measures.attainment(measures.short(slow)),
        'slowed wasted': measures.wasted(slow),
    }


def burst(
    service: workload.Service, policy: policies.Policy, seed: int
) -> Figures:
    """One class of one workspace bursts ten times for ten seconds."""
    return {
        f'burst of {workspace} {name}, others fall': _fall(
            service, policy, seed, workspace, name
        )
        for workspace, name in _BURSTS
    }


def _fall(
    service: workload.Service,
    policy: policies.Policy,
    seed: int,
    workspace: str,
    name: str,
) -> float:
    """Return how far attainment of the tier's other workspaces falls."""
    calm, bursted = (
        measures.attainment(
            [
                r
                for r in _run(
                    service,
                    policy,
                    seed,
                    workload.Demand(
                        1.0,
                        DURATION,
                        burst_workspace=bursting,
                        burst_class=name,
                    ),
                ).records
                if r.arrival.mix.name == name
                and r.arrival.workspace != workspace
            ]
        )
        for bursting in (None, workspace)
    )
    return calm - bursted


def outage(
    service: workload.Service, policy: policies.Policy, seed: int
) -> Figures:
    """All engines gone for ten seconds."""
    result = _run(
        service,
        policy,
        seed,
        workload.Demand(0.7, DURATION, swings=False),
        simulate.Faults(neighbours=False, outage=_OUTAGE),
    )
    since, until = _OUTAGE
    arrived = sum(since <= r.arrival.at < until for r in result.records)
    attempts = measures.attempts_between(result, since)
    return {
        'outage attempts over arrivals': attempts / max(1, arrived),
        'outage back after': measures.recovery(result, until),
        'outage wasted': measures.wasted(result),
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
