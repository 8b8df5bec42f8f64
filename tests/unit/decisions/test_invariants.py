"""Property tests of scheduling invariants, with random load and faults.

Guards against leaked slots, requests with no outcome or several, starved
lanes, and retries or ejections beyond their limits.
"""

import collections
import dataclasses
import random

import hypothesis
from hypothesis import strategies
import pytest
import trio
import trio.testing

from corianderloft._internal.decisions import interface
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests
from corianderloft._internal.models import states
from tests.lib import decisions as lib

_ENDS = strategies.sampled_from(
    [
        interface.AttemptEnd.COMPLETE,
        interface.AttemptEnd.COMPLETE,
        interface.AttemptEnd.CONNECT_FAILED,
        interface.AttemptEnd.BACKEND_REFUSED,
        interface.AttemptEnd.SILENT,
    ]
)


@dataclasses.dataclass(frozen=True)
class Job:
    """One request of an example."""

    arrival_delay: float
    tier: int
    workspace: str
    duration: float
    end: interface.AttemptEnd
    cancelled_after: float | None


JOBS = strategies.lists(
    strategies.builds(
        Job,
        arrival_delay=strategies.sampled_from([0.0, 0.0, 0.1, 1.0]),
        tier=strategies.integers(0, 5),
        workspace=strategies.sampled_from(['a', 'b', 'c']),
        duration=strategies.sampled_from([0.01, 0.5, 3.0, 30.0]),
        end=_ENDS,
        cancelled_after=strategies.sampled_from([None, None, 0.0, 0.2, 2.0]),
    ),
    min_size=1,
    max_size=40,
)
POLICIES = strategies.sampled_from(
    [{}, {'queue_policy': 'fifo', 'limiter': 'slot_share'}]
)


class Simulation:
    """Runs the jobs of an example and records the outcome of each."""

    def __init__(self, **settings: object) -> None:
        self._settings = settings
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.ran: set[str] = set()
        self.refused: dict[str, requests.Refused] = {}

    def run(self, jobs: list[Job]) -> None:
        """Run all jobs in virtual time."""
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(self._run, jobs, clock=clock)

    async def _run(self, jobs: list[Job]) -> None:
        self.dispatcher = lib.dispatcher(engines=3, slots=2, **self._settings)
        async with trio.open_nursery() as nursery:
            for job in jobs:
                await trio.sleep(job.arrival_delay)
                nursery.start_soon(self._serve, job)

    async def _serve(self, job: Job) -> None:
        ticket = lib.ticket(job.tier, job.workspace)
        cancelled_after = job.cancelled_after
        with trio.move_on_after(
            1e9 if cancelled_after is None else cancelled_after
        ) as scope:
            outcome = await self.dispatcher.acquire(ticket)
            if isinstance(outcome, requests.Refused):
                self.refused[ticket.request_id] = outcome
                self.outcomes[ticket.request_id] += 1
                return
            self.ran.add(ticket.request_id)
            end = interface.AttemptEnd.CALLER_LEFT
            try:
                await trio.sleep(job.duration / 2)
                outcome.first_token()
                await trio.sleep(job.duration / 2)
                outcome.progress(10)
                end = job.end
            finally:
                outcome.close(end)
                self.outcomes[ticket.request_id] += 1
        if scope.cancelled_caught and ticket.request_id not in self.outcomes:
            self.outcomes[ticket.request_id] += 1


@hypothesis.given(JOBS, POLICIES, strategies.integers(1, 40))
def test_each_request_has_one_outcome_and_no_slot_leaks(
    jobs: list[Job], policy: dict[str, object], queue_limit: int
) -> None:
    simulation = Simulation(queue_limit=queue_limit, **policy)
    simulation.run(jobs)
    assert set(simulation.outcomes.values()) == {1}
    assert len(simulation.outcomes) == len(jobs)
    service = simulation.dispatcher._pools[lib.SERVICE]
    assert all(
        engine.in_flight == 0 and engine.active_streams == 0
        for engine in service.engine_set.engines.values()
    )
    assert len(service.plugins.queue) == 0
    assert all(
        (lane.in_flight, lane.waiting) == (0, 0)
        for lane in service.observations.demand.lanes.values()
    )
    assert not service.observations.running


@hypothesis.given(JOBS, POLICIES, strategies.integers(1, 10))
def test_refused_request_is_not_run(
    jobs: list[Job], policy: dict[str, object], queue_limit: int
) -> None:
    simulation = Simulation(queue_limit=queue_limit, **policy)
    simulation.run(jobs)
    assert not simulation.ran & set(simulation.refused)
    assert all(
        refused.run is states.RunState.NOT_RUN
        for refused in simulation.refused.values()
    )


@hypothesis.given(
    strategies.lists(strategies.integers(0, 5), min_size=5, max_size=60),
    POLICIES,
)
async def test_higher_tier_is_never_shed_for_a_lower_tier(
    tiers: list[int], policy: dict[str, object]
) -> None:
    dispatcher = lib.dispatcher(engines=1, slots=1, queue_limit=3, **policy)
    await lib.granted(dispatcher, lib.ticket(tier=0))
    waiting: list[int] = []

    async def serve(tier: int) -> None:
        waiting.append(tier)
        outcome = await dispatcher.acquire(lib.ticket(tier))
        waiting.remove(tier)
        if isinstance(outcome, requests.Refused):
            shed.append((tier, max(waiting, default=tier)))

    shed: list[tuple[int, int]] = []
    async with trio.open_nursery() as nursery:
        for tier in tiers:
            nursery.start_soon(serve, tier)
            await trio.testing.wait_all_tasks_blocked()
            assert all(own >= lowest for own, lowest in shed)
            shed.clear()
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ('tier', 'max_tokens'), [(1, 100), (5, 100), (0, 4096)]
)
async def test_lower_lane_is_served_under_constant_higher_load(
    tier: int, max_tokens: int, autojump_clock: trio.testing.MockClock
) -> None:
    dispatcher = lib.dispatcher(engines=1, slots=1, guaranteed_within=20.0)
    started = []

    async def flood() -> None:
        while True:
            outcome = await dispatcher.acquire(lib.ticket(tier=0))
            if not isinstance(outcome, requests.Refused):
                nursery.start_soon(hold, outcome)

    async def hold(grant: interface.Grant) -> None:
        await trio.sleep(1.0)
        grant.close(interface.AttemptEnd.COMPLETE)

    async with trio.open_nursery() as nursery:
        for _ in range(4):
            nursery.start_soon(flood)
        await trio.sleep(5.0)
        sent_at = trio.current_time()
        ticket = lib.ticket(tier, wait=1000.0, max_tokens=max_tokens)
        outcome = await dispatcher.acquire(ticket)
        started.append(trio.current_time() - sent_at)
        assert not isinstance(outcome, requests.Refused)
        nursery.cancel_scope.cancel()
    assert started[0] <= 20.0 + 1.0


@hypothesis.given(
    strategies.lists(strategies.booleans(), min_size=20, max_size=300),
    strategies.floats(0.0, 0.5),
)
async def test_retries_never_exceed_their_budget(
    fails: list[bool], part: float
) -> None:
    dispatcher = lib.dispatcher(
        engines=4, slots=400, retry_part=part, retry_burst=5.0
    )
    retries = 0
    for failed in fails:
        ticket = lib.ticket()
        grant = await lib.granted(dispatcher, ticket)
        grant.close(interface.AttemptEnd.COMPLETE)
        if failed:
            decision = dispatcher.retry(
                ticket, interface.AttemptEnd.CONNECT_FAILED, 1, False, 0
            )
            retries += isinstance(decision, interface.RetryNow)
    assert retries <= 5.0 + part * len(fails)


async def test_non_idempotent_call_that_may_have_run_is_not_retried() -> None:
    dispatcher = lib.dispatcher()
    decision = dispatcher.retry(
        lib.ticket(idempotent=False),
        interface.AttemptEnd.CONNECTION_LOST,
        attempts=1,
        may_have_run=True,
        relayed_tokens=0,
    )
    refusal = reasons.RetryRefusalReason.NOT_IDEMPOTENT
    assert decision == interface.GiveUp(refusal)


@hypothesis.given(strategies.integers(0, 2**32), strategies.integers(1, 12))
async def test_ejected_engines_never_exceed_the_limit(
    seed: int, engines: int
) -> None:
    dispatcher = lib.dispatcher(engines=engines, slots=50)
    service = dispatcher._pools[lib.SERVICE]
    rng = random.Random(seed)
    now = 0.0
    for _ in range(30):
        now += 0.1
        for engine in service.engine_set.live:
            engine.record_tokens(1, now - rng.choice([0.03, 0.3, 3.0]), now)
        service.health.update_ejections(service.engine_set.live, now)
        ejected = sum(e.ejected for e in service.engine_set.live)
        assert ejected <= engines * 0.4


@hypothesis.given(
    strategies.lists(
        strategies.sampled_from([('a', 1), ('a', 5), ('b', 2), ('c', 9)]),
        min_size=1,
        max_size=80,
    )
)
async def test_shed_order_is_newest_of_the_lowest_tier(
    arrivals: list[tuple[str, int]],
) -> None:
    dispatcher = lib.dispatcher(engines=1, slots=1)
    service = dispatcher._pools[lib.SERVICE]
    queue = service.plugins.queue
    for number, (workspace, tier) in enumerate(arrivals):
        waiter = service.new_waiter(
            lib.ticket(tier, workspace), frozenset(), 1
        )
        waiter.sequence = number
        queue.push(waiter)
    while len(queue):
        shed = queue.newest_of_lowest_tier()
        queued = queue.waiters()
        assert shed.lane.tier == max(w.lane.tier for w in queued)
        assert shed.sequence == max(
            w.sequence for w in queued if w.lane.tier == shed.lane.tier
        )
        queue.discard(shed)
