"""Simulates engines whose memory is full before their slots are.

Guards against hosts that send engines more than their memory holds, and
against one kind of requests or one workspace that displaces the others. The
same loads without memory admission show the failure.
"""

import dataclasses

import pytest
import trio

from bench.placement import __main__ as bench
from bench.placement import engine
from bench.placement import simulate
from bench.placement import workload
from corianderloft._internal.models import instances
from corianderloft._internal.placement import interface

ROUTES = [kind.route.name for kind in workload.SCARCE_KINDS]


def play(admission, requests, **fleet):
    day = simulate.Day(
        'lanes',
        simulate.Fleet(
            engine_type=engine.SCARCE, memory_admission=admission, **fleet
        ),
        0,
        workload.SCARCE_KINDS,
    )
    return day, simulate.play(day, requests)


def max_held(day):
    return max(e.max_held_ratio for e in day.engines.values())


def preemptions(day):
    return sum(e.preemptions for e in day.engines.values())


def crashes(day):
    return sum(e.crashes for e in day.engines.values())


@pytest.fixture(scope='module')
def bursts():
    """A burst of 2.5 times the long prompts, with and without admission."""
    requests = workload.arrivals(0, 13.0, 1.4, workload.SCARCE)
    return {on: play(on, requests) for on in (True, False)}


def test_a_burst_of_long_prompts_stays_within_the_memory(bursts):
    day, _ = bursts[True]
    assert max_held(day) <= 1.1
    assert (preemptions(day), crashes(day)) == (0, 0)


def test_a_burst_exceeds_the_memory_without_admission(bursts):
    day, _ = bursts[False]
    assert max_held(day) >= 1.2
    assert preemptions(day) > 0


def test_callers_get_more_in_a_burst_than_without_admission(bursts):
    shares = {on: bench.total_share(bursts[on][1]) for on in bursts}
    assert shares[True] >= shares[False] + 0.02


def test_short_streams_meet_their_targets_beside_long_prompts(bursts):
    _, result = bursts[True]
    for route in ('counter-chat', 'repair-estimate'):
        assert result[route].in_time >= 0.95 * result[route].requests


def test_urgent_classes_are_served_at_least_as_often(bursts):
    _, result = bursts[True]
    served = [result[route].served_share for route in ROUTES]
    assert served[2] >= served[1] - 0.05 >= served[0] - 0.1


def test_no_class_is_starved_in_a_burst(bursts):
    _, result = bursts[True]
    assert result['yard-report'].served_share >= 0.5


def test_one_heavy_workspace_does_not_displace_the_others():
    requests = workload.arrivals(0, 12.0, 3.0, workload.NEIGHBOURS)
    shares = {}
    for on in (True, False):
        day, _ = play(on, requests)
        for heavy in (True, False):
            tallies = [
                tally
                for (name, route), tally in day.by_workspace.items()
                if (name == 'w-0') is heavy and route == 'yard-report'
            ]
            shares[on, heavy] = sum(t.earned for t in tallies) / sum(
                t.possible for t in tallies
            )
    assert shares[True, False] >= shares[True, True] + 0.05
    assert shares[True, False] >= shares[False, False] + 0.1


def simultaneous_requests():
    """144 long prompts at one moment, for engines that hold 92."""
    warm_up = workload.arrivals(1, 3.0, 0.3, workload.SCARCE)
    later = workload.arrivals(0, 30.0, 1.0, workload.SCARCE)
    long = [a for a in later if a.kind is workload.REPORT][:144]
    return warm_up + [dataclasses.replace(a, at=4.0) for a in long]


@pytest.mark.parametrize('admission', [True, False])
def test_all_hosts_send_at_the_same_moment(admission):
    requests = simultaneous_requests()
    day, result = play(admission, requests, hosts=24, engines=4)
    if admission:
        assert max_held(day) <= 1.1
        assert crashes(day) == 0
        assert result['yard-report'].served_share >= 0.7
    else:
        assert crashes(day) > 0


@pytest.mark.parametrize(('deaf', 'limit'), [(1, 1.1), (8, 1.4)])
def test_hosts_that_hear_nothing_of_the_others(deaf, limit):
    # The engines crash at 1.5 times their memory.
    requests = workload.arrivals(0, 10.0, 1.2, workload.SCARCE)
    day, result = play(True, requests, deaf_hosts=deaf)
    assert max_held(day) <= limit
    assert result['counter-chat'].served_share >= 0.95


def test_no_request_is_refused_at_low_load():
    requests = workload.arrivals(
        0, 6.0, 0.5, dataclasses.replace(workload.SCARCE, bursts=())
    )
    _, result = play(True, requests)
    assert sum(tally.refused for tally in result.values()) == 0


class Backlog:
    """30 requests at one host for one engine that holds two at a time."""

    def __init__(self):
        engine_type = dataclasses.replace(engine.SCARCE, memory_tokens=9000)
        fleet = simulate.Fleet(1, 1, engine_type=engine_type)
        fleet = dataclasses.replace(fleet, memory_admission=True)
        day = simulate.Day('lanes', fleet, 0, workload.SCARCE_KINDS)
        (self.host,) = day.hosts
        self.refused = []
        self.running = self.most_running = 0

    async def send(self, number):
        route = dataclasses.replace(workload.REPORT.route, target=1.0)
        job = interface.Job(
            f'r-{number}',
            route,
            workload.SERVICE,
            None,
            route.tier,
            trio.current_time(),
            trio.current_time() + 6.0,
            instances.Prompt(3500, 200),
        )
        grant = await self.host.acquire(job)
        if isinstance(grant, interface.Refused):
            waited = trio.current_time() - job.arrived
            self.refused.append((waited, grant.retry_after))
            return
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        grant.started()
        await trio.sleep(0.5)
        self.running -= 1
        grant.events = 20
        grant.close(interface.AttemptOutcome.COMPLETE)

    async def run(self):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.host.run)
            async with trio.open_nursery() as callers:
                for number in range(30):
                    callers.start_soon(self.send, number)
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()


async def test_hopeless_requests_are_refused_early(autojump_clock):
    backlog = Backlog()
    await backlog.run()
    assert backlog.most_running == 2
    early = [wait for wait, _ in backlog.refused if wait <= 2.0]
    assert 3 <= len(early) <= 12
    assert len(backlog.refused) <= 14


async def test_refusals_leave_time_for_another_attempt(autojump_clock):
    backlog = Backlog()
    await backlog.run()
    for waited, retry_after in backlog.refused:
        assert waited + 0.5 <= 6.0
        assert 0 < retry_after <= 1.25 * (6.0 - waited)
    delays = {retry_after for _, retry_after in backlog.refused}
    assert len(delays) == len(backlog.refused)
