"""Guards the order of the queue, and what memory admission learns."""

import random

import pytest
import trio

from corianderloft._internal.models import ids
from corianderloft._internal.models import instances
from corianderloft._internal.models import routing
from corianderloft._internal.placement import admission
from corianderloft._internal.placement import drain_rate
from corianderloft._internal.placement import fair_queue
from corianderloft._internal.placement import interface
from corianderloft._internal.placement import lengths
from corianderloft._internal.placement import popular_parts
from corianderloft._internal.placement import queue
from corianderloft._internal.placement import shared_parts

DESK = ids.ServiceName('desk')


def job(tier, workspace, arrived=0.0, deadline=12.0, max_output=100):
    route = routing.Route(
        f'r-{tier}',
        'h',
        '/',
        routing.RequestKind.STREAM,
        ids.Tier(tier),
        deadline,
        1.0,
        None,
        1,
        True,
        (routing.Share(DESK, 1.0),),
    )
    return interface.Job(
        'r',
        route,
        DESK,
        ids.WorkspaceId(workspace),
        ids.Tier(tier),
        arrived,
        deadline,
        instances.Prompt(100, max_output),
    )


class Filled:
    """A queue with requests that are named by their workspaces."""

    def __init__(self):
        self.queue = fair_queue.FairQueue()
        self.count = 0

    def add(self, tier, workspace, arrived=0.0, tokens=100):
        self.count += 1
        waiter = queue.Waiter(
            job(tier, workspace, arrived), frozenset(), self.count
        )
        waiter.tokens, waiter.wait_deadline = tokens, arrived + 10.0
        self.queue.add(waiter)
        return waiter

    def order(self, now=0.0):
        return [
            waiter.job.workspace
            for batch in self.queue.batches(now)
            for waiter in batch
        ]


async def test_a_workspace_with_many_requests_does_not_go_first(
    autojump_clock,
):
    filled = Filled()
    for _ in range(5):
        filled.add(0, 'heavy')
    filled.add(0, 'a')
    filled.add(0, 'b')
    assert filled.order()[:3] == ['heavy', 'a', 'b']


async def test_large_requests_count_by_their_tokens(autojump_clock):
    filled = Filled()
    for _ in range(2):
        filled.add(0, 'large', tokens=300)
    for _ in range(4):
        filled.add(0, 'small', tokens=100)
    assert filled.order() == ['large', *['small'] * 3, 'large', 'small']


async def test_urgent_requests_of_a_busy_workspace_do_not_advance_others(
    autojump_clock,
):
    # A virtual time of all classes together would let the large backlog of
    # a workspace pass as soon as one of its urgent requests is served.
    filled = Filled()
    backlog = [filled.add(1, 'heavy') for _ in range(50)]
    urgent = filled.add(0, 'heavy')
    urgent.grant(object())
    filled.queue.discard(urgent)
    backlog[0].grant(object())
    filled.queue.discard(backlog[0])
    filled.add(1, 'light')
    assert filled.order()[0] == 'light'


async def test_refused_requests_are_not_charged(autojump_clock):
    filled = Filled()
    for waiter in [filled.add(0, 'a') for _ in range(9)]:
        filled.queue.discard(waiter)
    filled.add(0, 'a')
    filled.add(0, 'b')
    assert filled.order() == ['a', 'b']


async def test_aged_requests_pass_late_ones_but_not_the_most_urgent(
    autojump_clock,
):
    filled = Filled()
    filled.add(1, 'aged')
    filled.add(1, 'fresh', arrived=4.9)
    filled.add(0, 'urgent', arrived=4.9)
    assert filled.order(now=4.95) == ['urgent', 'aged', 'fresh']
    filled.add(0, 'late', arrived=3.0)
    assert set(filled.order(now=5.0)[1:3]) == {'late', 'aged'}


async def test_work_ahead_counts_only_requests_that_go_first(autojump_clock):
    filled = Filled()
    filled.add(0, 'a', tokens=500)
    waiter = filled.add(1, 'b', tokens=70)
    filled.add(1, 'c', tokens=70)
    assert filled.queue.tokens_ahead(waiter) == 500


async def test_a_pass_examines_a_bounded_number_of_requests(autojump_clock):
    filled = Filled()
    for number in range(500):
        filled.add(0, f'w-{number}')
    assert len(filled.order()) <= queue.MAX_SCANNED_REQUESTS


def test_shared_parts_count_until_their_last_user_ends():
    parts = shared_parts.SharedParts()
    used = (instances.PromptPart(ids.PromptPartId('p'), 50),)
    assert (parts.add(used), parts.add(used)) == (50, 0)
    assert (parts.missing(used), parts.remove(used)) == (0, 0)
    assert (parts.remove(used), parts.missing(used)) == (50, 50)


def test_callers_that_state_other_lengths_do_not_change_the_sum():
    parts = shared_parts.SharedParts()
    short, long = (
        (instances.PromptPart(ids.PromptPartId('p'), tokens),)
        for tokens in (50, 9000)
    )
    assert parts.add(short) + parts.add(long) == 50
    assert parts.remove(short) + parts.remove(long) == 50


@pytest.mark.parametrize('tokens_per_event', [1, 4, 9])
def test_output_lengths_are_learned_without_knowing_the_events(
    tokens_per_event,
):
    rng = random.Random(0)
    learned = lengths.OutputLengths()
    assert learned.expected_output(job(0, 'w', max_output=400)) == 200
    for _ in range(300):
        for tier, mean in ((0, 0.2), (1, 0.9)):
            tokens = min(400.0, 400 * mean * rng.uniform(0.8, 1.2))
            learned.record(
                job(tier, 'w', max_output=400),
                2 + round(tokens / tokens_per_event),
                1.0,
            )
    short = learned.expected_output(job(0, 'w', max_output=400))
    long = learned.expected_output(job(1, 'w', max_output=400))
    assert 70 <= short <= 110
    assert 340 <= long <= 400


def test_the_wait_is_estimated_only_from_a_backlog():
    rate = drain_rate.DrainRate()
    rate.record(100, 0.0)
    assert rate.wait(1000, 0.1) is None
    rate.note_backlog(True, 1.0)
    for step in range(40):
        rate.record(100, 1.0 + step / 10)
    assert rate.wait(5000, 5.0) == pytest.approx(5.0, rel=0.2)


async def test_a_request_that_is_not_served_in_time_leaves_time_to_retry(
    autojump_clock,
):
    decisions = admission.Admission(random.Random(0))
    for _ in range(50):
        decisions.lengths.record(job(0, 'w'), 10, 3.0)
    now = trio.current_time()
    waiter = decisions.create_waiter(
        job(0, 'w', now, now + 12.0), frozenset(), 1, True, 1000
    )
    assert now + 8.0 <= waiter.wait_deadline <= now + 9.0


def test_parts_that_all_hosts_use_are_popular_for_a_time():
    # Each host would count them again in what it tells the others.
    parts = popular_parts.PopularParts()
    common = instances.PromptPart(ids.PromptPartId('common'), 500)
    for number in range(400):
        rare = instances.PromptPart(ids.PromptPartId(f'{number % 90}'), 70)
        own = instances.PromptPart(ids.PromptPartId(f'own-{number}'), 9)
        parts.record(instances.Prompt(579, 1, (common, rare, own)))
        assert ('common' in parts) is (
            number + 1 >= popular_parts.MIN_REQUESTS
        )
    assert (parts.total_tokens, '3' in parts) == (500, False)
    for _ in range(1500):
        parts.record(instances.Prompt(10, 1))
    assert parts.total_tokens == 0


def test_short_answers_do_not_shrink_the_estimates_of_others():
    # Their first and last events hold fewer tokens than others.
    learned = lengths.OutputLengths()
    for _ in range(50):
        learned.record(job(0, 'w', max_output=16), 9, 1.0)
        learned.record(job(1, 'w', max_output=800), 2 + 800 // 6, 1.0)
    assert learned.expected_output(job(1, 'w', max_output=800)) >= 760
