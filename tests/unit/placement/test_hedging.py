"""Limits of second attempts, without a network.

They guard against hedges that exceed what the operator allows over all hosts
together, that add load in overload, or that learn their delay from the slow
server itself.
"""

import dataclasses
import functools
import random

import hypothesis
from hypothesis import strategies as st
import pytest
import trio
import trio.testing

from corianderloft._internal.gateway import hedging as gateway_hedging
from corianderloft._internal.models import ids
from corianderloft._internal.models import instances
from corianderloft._internal.models import members
from corianderloft._internal.models import routing
from corianderloft._internal.models import states
from corianderloft._internal.placement import budget
from corianderloft._internal.placement import engines
from corianderloft._internal.placement import first_answers
from corianderloft._internal.placement import grants
from corianderloft._internal.placement import hedging
from corianderloft._internal.placement import interface
from corianderloft._internal.placement import placer

DESK = ids.ServiceName('desk')
DOMAIN = ids.FailureDomain('a')
EXTRA_WORK = 0.02
TARGET_S = 0.1

HOSTS = 4
ENGINES = 8
SLOTS = 4
SERVICE_S = 0.02
SLOW_FACTOR = 12.0
RETRY_RATIO = 0.1
RETRY_SLACK = 8.0
WINDOW_S = 10.0


def route(kind=routing.RequestKind.IDEMPOTENT):
    return routing.Route(
        'r',
        'h',
        '/',
        kind,
        ids.Tier(0),
        4.0,
        TARGET_S,
        None,
        2,
        True,
        (routing.Share(DESK, 1.0),),
    )


def job(prompt=None, now=0.0):
    return interface.Job(
        'id', route(), DESK, None, ids.Tier(0), now, now + 4.0, prompt
    )


def instance(number, slots=SLOTS):
    return instances.Instance(
        ids.EngineId(f'e-{number}'),
        1,
        DESK,
        '127.0.0.1',
        1,
        DOMAIN,
        slots,
        states.BackendState.LIVE,
    )


def member(number):
    host_id = ids.HostId(f'h-{number}')
    return members.Member(host_id, '127.0.0.1', 1, 2, DOMAIN, 'start')


ALLOWED = hedging.Situation(True, False, True, 0, True, True)


@pytest.mark.parametrize(
    ('change', 'reason'),
    [
        ({}, None),
        ({'repeatable': False}, hedging.Refusal.NOT_REPEATABLE),
        ({'begun': True}, hedging.Refusal.BEGUN),
        ({'attempts_left': False}, hedging.Refusal.ATTEMPTS),
        ({'waiting': 1}, hedging.Refusal.QUEUE),
        ({'work_allowed': False}, hedging.Refusal.EXTRA_WORK),
        ({'retry_allowed': False}, hedging.Refusal.RETRY_BUDGET),
    ],
)
def test_each_condition_refuses_a_hedge(change, reason):
    assert hedging.refusal(dataclasses.replace(ALLOWED, **change)) is reason


def test_a_slow_server_does_not_hide_itself():
    times = first_answers.FirstAnswerTimes()
    for number in range(100):
        slow = number % 5 == 0
        times.record(('e-0', 1) if slow else ('e-1', 1), 9.0 if slow else 1.0)
    assert times.quantile(('e-0', 1), 0.98) == 1.0
    assert times.quantile(('e-2', 1), 0.98) == 9.0


def test_no_delay_is_known_from_few_answers():
    times = first_answers.FirstAnswerTimes()
    for _ in range(first_answers.MIN_ANSWERS - 1):
        times.record(('e-1', 1), 1.0)
    times.record(('e-0', 1), 1.0)
    assert times.quantile(('e-0', 1), 0.9) is None


@pytest.mark.parametrize(
    ('target', 'expected'), [(0.1, 0.06), (4.0, 1.0), (0.0, 0.06)]
)
def test_delay_is_the_quantile_but_a_part_of_the_target(target, expected):
    engine = engines.Engine(instance(0), None)
    for _ in range(50):
        engine.speed.first_answers.record(('e-1', 1), 2.0)
    hedges = hedging.Hedges(EXTRA_WORK)
    assert hedges.delay(engine, 0.03, target) == pytest.approx(expected)
    assert hedging.Hedges(0.0).delay(engine, 0.03, target) == float('inf')


def test_a_server_without_room_gets_no_hedge():
    model = routing.ModelService(slots=4, memory_tokens=1000)
    prompt = instances.Prompt(300, 100)
    engine = engines.Engine(instance(0), model)
    assert hedging.has_room(engine, job(prompt), 0.0)
    engine.add(1, engines.InFlightRequest(0, 700, ids.Tier(0), 0.0))
    assert not hedging.has_room(engine, job(prompt), 0.0)
    engine.remove(1)
    engine.record_sample(instances.LoadSample(2, 1, 4), 0.0)
    assert not hedging.has_room(engine, job(prompt), 0.5)
    assert hedging.has_room(engine, job(prompt), 2.0)
    engine.record_sample(instances.LoadSample(4, 0, 4), 2.0)
    assert not hedging.has_room(engine, job(prompt), 2.0)
    for number in range(4):
        engine.add(number, engines.InFlightRequest(0, 1, ids.Tier(0), 0.0))
    assert not hedging.has_room(engine, job(prompt), 9.0)


@hypothesis.given(
    st.lists(
        st.tuples(
            st.integers(0, 2),
            st.sampled_from(['start', 'hedge', 'restart']),
            st.sampled_from([10, 10, 500]),
        ),
        max_size=200,
    ),
    st.sampled_from([0.25, 0.5, 1.0]) | st.floats(0.001, 1.0),
)
@hypothesis.example(
    [(0, 'start', 10)] * 60 + [(0, 'hedge', 10)] * 3 + [(1, 'hedge', 10)], 0.02
)
def test_extra_work_never_exceeds_its_share_over_all_hosts(steps, share):
    hosts = [hedging.Hedges(share) for _ in range(3)]
    started = added = 0.0
    for number, step, tokens in steps:
        request = job(instances.Prompt(tokens, 10))
        if step == 'restart':
            hosts[number] = hedging.Hedges(share)
        elif step == 'start':
            hosts[number].record_started(request)
            started += hedging.cost(request)
        elif hosts[number].allows(request):
            hosts[number].spend(request)
            added += hedging.cost(request)
        assert added <= share * started * (1 + 1e-9)


def test_a_quiet_time_pays_for_no_burst():
    hedges = hedging.Hedges(1.0)
    for _ in range(1000):
        hedges.record_started(job())
    spent = 0
    while hedges.allows(job()):
        hedges.spend(job())
        spent += 1
    assert spent == hedging.MAX_BURST_REQUESTS


class SimulatedEngine:
    """Serves a number of requests at once; the others wait in it."""

    def __init__(self, rng):
        self.factor = 1.0
        self._rng = rng
        self._limiter = trio.CapacityLimiter(SLOTS)
        self.work_s = 0.0

    def sample(self):
        statistics = self._limiter.statistics()
        return instances.LoadSample(
            int(statistics.borrowed_tokens),
            int(statistics.tasks_waiting),
            SLOTS,
        )

    async def serve(self):
        async with self._limiter:
            took = self._rng.expovariate(1 / SERVICE_S) * self.factor
            started_at = trio.current_time()
            try:
                await trio.sleep(took)
            finally:
                self.work_s += trio.current_time() - started_at


class Fleet:
    """Hosts and engines without a network between them.

    Attributes
    ----------
    waits : list of float
        Time to each answer, in seconds.
    refused : int
        Requests that were refused.
    hedged_at : list of float
        When hedges were started.
    """

    def __init__(self, extra_work, seed=1, cut_off=()):
        self.rng = random.Random(seed)
        self.engines = [SimulatedEngine(self.rng) for _ in range(ENGINES)]
        self.waits, self.refused, self.hedged_at = [], 0, []
        self.sent_at = []
        self.hosts = []
        for number in range(HOSTS):
            retries = budget.RetryBudget(RETRY_RATIO, RETRY_SLACK, WINDOW_S)
            host = placer.Placer(DOMAIN, retries, random.Random(number))
            host.hedges.set_extra_work(extra_work)
            host.use_instances([instance(n) for n in range(ENGINES)])
            # Others notice that a host is cut off; it does not notice that.
            known = [
                n
                for n in range(HOSTS)
                if number in cut_off or n not in cut_off
            ]
            host.use_members([member(n) for n in known])
            self.hosts.append(host)

    def check_limits(self, extra_work):
        """Check the limits over all hosts together."""
        started = sum(h.hedges.work_started[DESK] for h in self.hosts)
        added = sum(h.hedges.work_added[DESK] for h in self.hosts)
        assert added == len(self.hedged_at)
        assert added <= extra_work * started
        since = trio.current_time() - WINDOW_S
        retries = sum(at > since for at in self.hedged_at)
        requests = sum(at > since for at in self.sent_at)
        assert retries <= RETRY_RATIO * requests + RETRY_SLACK

    async def run(self, requests_per_s, duration, extra_work):
        """Send requests to random hosts."""
        ends_at = trio.current_time() + duration
        async with trio.open_nursery() as nursery:
            for host in self.hosts:
                nursery.start_soon(host.run)
            async with trio.open_nursery() as callers:
                while trio.current_time() < ends_at:
                    await trio.sleep(self.rng.expovariate(requests_per_s))
                    callers.start_soon(self._ask, self.rng.choice(self.hosts))
                    self.check_limits(extra_work)
            nursery.cancel_scope.cancel()
        self.check_limits(extra_work)

    async def _ask(self, host):
        request = job(now=trio.current_time())
        host.retries.record_request(DESK, request.arrived)
        self.sent_at.append(request.arrived)
        first = await host.acquire(request)
        if isinstance(first, interface.Refused):
            self.refused += 1
            return
        hedge = gateway_hedging.RequestHedge(host, request, True)
        hedge.record_send(1)
        answered = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._attempt, first, hedge, answered)
            with trio.move_on_after(hedge.delay(first)):
                await answered.wait()
            if not answered.is_set():
                waited = trio.current_time() - request.arrived
                second = hedge.try_start(
                    first, waited, False, True, {first.engine.key}
                )
                if second is not None:
                    self.hedged_at.append(trio.current_time())
                    nursery.start_soon(self._attempt, second, hedge, answered)
                await answered.wait()
            nursery.cancel_scope.cancel()
        hedge.close()
        self.waits.append(trio.current_time() - request.arrived)

    async def _attempt(self, grant: grants.Grant, hedge, answered):
        outcome = interface.AttemptOutcome.LOST
        engine = self.engines[int(grant.engine.engine_id[2:])]
        try:
            await engine.serve()
            grant.started()
            grant.engine.record_sample(engine.sample(), trio.current_time())
            hedge.record_answer(grant.engine)
            outcome = interface.AttemptOutcome.COMPLETE
            answered.set()
        finally:
            grant.close(outcome)

    def late(self):
        """Return the share of answers after the target."""
        return sum(w > TARGET_S for w in self.waits) / len(self.waits)


def simulate(script):
    """Run a script in simulated time."""
    trio.run(script, clock=trio.testing.MockClock(autojump_threshold=0))


CAPACITY_PER_S = ENGINES * SLOTS / SERVICE_S


@pytest.mark.parametrize('cut_off', [(), (0,)])
@pytest.mark.parametrize('seed', [1, 2])
def test_limits_hold_with_one_slow_engine(cut_off, seed):
    async def script():
        fleet = Fleet(EXTRA_WORK, seed, cut_off)
        await fleet.run(300, 3.0, EXTRA_WORK)
        before = len(fleet.hedged_at)
        fleet.engines[0].factor = SLOW_FACTOR
        await fleet.run(300, 8.0, EXTRA_WORK)
        assert len(fleet.hedged_at) > before

    simulate(script)


@pytest.mark.parametrize('seed', [1, 2])
def test_hedges_make_fewer_answers_late(seed):
    late = {}

    async def script(extra_work):
        fleet = Fleet(extra_work, seed)
        await fleet.run(300, 3.0, extra_work)
        fleet.waits.clear()
        fleet.engines[0].factor = SLOW_FACTOR
        await fleet.run(300, 8.0, extra_work)
        late[extra_work] = fleet.late()

    for extra_work in (0.0, 0.05):
        simulate(functools.partial(script, extra_work))
    print(late)
    assert late[0.05] < 0.8 * late[0.0]


@pytest.mark.parametrize('seed', [1, 2])
def test_hedges_add_no_load_in_overload(seed):
    async def script():
        fleet = Fleet(EXTRA_WORK, seed)
        await fleet.run(300, 3.0, EXTRA_WORK)
        await fleet.run(1.5 * CAPACITY_PER_S, 1.0, EXTRA_WORK)
        sent, hedged = len(fleet.sent_at), len(fleet.hedged_at)
        await fleet.run(1.5 * CAPACITY_PER_S, 2.0, EXTRA_WORK)
        sent, hedged = len(fleet.sent_at) - sent, len(fleet.hedged_at) - hedged
        print(sent, hedged)
        assert hedged <= 0.001 * sent

    simulate(script)
