"""Budget, health, caches and queue, each by itself."""

import dataclasses
import math

import hypothesis
from hypothesis import strategies as st

from corianderloft._internal.models import ids
from corianderloft._internal.models import instances
from corianderloft._internal.models import routing
from corianderloft._internal.models import states
from corianderloft._internal.placement import budget
from corianderloft._internal.placement import choosers
from corianderloft._internal.placement import engines
from corianderloft._internal.placement import hashing
from corianderloft._internal.placement import health
from corianderloft._internal.placement import interface
from corianderloft._internal.placement import lanes
from corianderloft._internal.placement import queue
from corianderloft._internal.placement import sizes

DESK = ids.ServiceName('desk')


@hypothesis.given(
    st.lists(
        st.tuples(st.floats(0, 0.5), st.integers(0, 3), st.booleans()),
        max_size=300,
    ),
    st.integers(1, 9),
)
@hypothesis.example([(0.01, host, True) for host in range(90)], 3)
def test_no_window_exceeds_the_budget_of_all_hosts(steps, hosts):
    shares = [budget.RetryBudget(0.2, 20.0, 10.0) for _ in range(hosts)]
    for share in shares:
        share.set_host_count(hosts)
    now, firsts, repeats = 0.0, [], []
    for gap, host, repeat in steps:
        now += gap
        share = shares[host % hosts]
        if repeat and share.try_acquire(DESK, now):
            repeats.append(now)
        elif not repeat:
            share.record_request(DESK, now)
            firsts.append(now)
        recent = [t for t in repeats if t > now - 10.0]
        counted = [t for t in firsts if t > now - 10.0]
        assert len(recent) <= 0.2 * len(counted) + 20.0


def test_a_server_that_cannot_be_reached_is_tried_by_one_request():
    seen = health.Health()
    seen.note_unreachable(0.0)
    assert not seen.usable(0.1)
    assert seen.usable(1.0)
    seen.note_sent()
    assert not seen.usable(1.0)
    seen.note_unreachable(1.0)
    assert not seen.usable(1.9)
    assert seen.usable(2.1)
    seen.note_sent()
    seen.note_answer(False)
    assert seen.usable(2.1)


def test_one_silent_request_ejects_nobody():
    seen = health.Health()
    seen.note_silent(0.0)
    assert seen.usable(0.0)
    seen.note_silent(0.1)
    assert not seen.usable(0.2)


def part(name, tokens=100):
    return instances.PromptPart(name, tokens)


def prompt(*names):
    parts = tuple(part(name) for name in names)
    return instances.Prompt(100 * len(parts), 10, parts)


def test_parts_are_cached_from_the_start_only():
    cache = engines.PartCache(1000)
    cache.add(prompt('a', 'b'))
    assert cache.cached_tokens(prompt('a', 'b', 'c')) == 200
    assert cache.cached_tokens(prompt('c', 'b')) == 0


def test_the_least_recently_used_parts_yield():
    cache = engines.PartCache(300)
    cache.add(prompt('a', 'b'))
    cache.add(prompt('c', 'd'))
    assert cache.cached_tokens(prompt('a')) == 0
    assert cache.cached_tokens(prompt('c', 'd')) == 200


def route(name, tier, target):
    return routing.Route(
        name,
        'h',
        '/',
        routing.RequestKind.STREAM,
        ids.Tier(tier),
        4.0,
        target,
        None,
        1,
        True,
        (routing.Share(DESK, 1.0),),
    )


def job(name='chat', tier=0, target=0.25, workspace_tier=None):
    own = tier if workspace_tier is None else workspace_tier
    return interface.Job(
        name,
        route(name, tier, target),
        DESK,
        None,
        ids.Tier(own),
        0.0,
        4.0,
        prompt('a', 'own'),
    )


def test_the_tier_of_a_workspace_goes_before_that_of_the_route():
    urgent = job(tier=2, workspace_tier=0)
    plain = job(tier=0, workspace_tier=1)
    assert urgent.urgency < plain.urgency
    assert job(tier=0).urgency < job(tier=1).urgency


async def test_the_queue_is_in_order_of_urgency_and_arrival(autojump_clock):
    waiting = queue.Queue()
    for number, tier in enumerate((1, 0, 1, 0)):
        made = queue.Waiter(job(str(number), tier), frozenset(), number)
        waiting.add(made)
    assert [w.number for w in waiting.in_order()] == [1, 3, 0, 2]


def engine(name):
    return engines.Engine(
        instances.Instance(
            ids.EngineId(name),
            1,
            DESK,
            '10.0.0.1',
            80,
            ids.FailureDomain('a'),
            64,
            states.BackendState.LIVE,
        ),
        routing.ModelService(64, 10**6),
    )


def test_the_short_lane_grows_with_demand_and_shrinks_slowly():
    everyone = [engine(f'e-{n}') for n in range(9)]
    split = lanes.Split()
    quiet = len(split.short_lane(everyone, 0.0))
    everyone[0].peers['h-1'] = engines.PeerLoad(36, 36, 0, 0)
    busy = len(split.short_lane(everyone, 1.0))
    everyone[0].peers.clear()
    soon = len(split.short_lane(everyone, 1.5))
    later = len(split.short_lane(everyone, 20.0))
    least = math.ceil(lanes.LEAST_SHARE * len(everyone))
    most = round(lanes.MOST_SHARE * len(everyone))
    assert (quiet, busy, soon, later) == (least, most, most, least)
    assert least < most


def test_losing_an_engine_moves_only_its_own_parts():
    everyone = [engine(f'e-{n}') for n in range(9)]
    gone = everyone[3]
    left = [e for e in everyone if e is not gone]

    def first(subject, among):
        return hashing.ranked(subject, among, choosers.engine_name)[0]

    subjects = [f'part-{n}' for n in range(300)]
    moved = {s for s in subjects if first(s, everyone) is not first(s, left)}
    assert moved == {s for s in subjects if first(s, everyone) is gone}
    assert 0 < len(moved) < 60


def test_one_odd_first_prompt_does_not_decide_the_lane_of_a_route():
    seen = sizes.RouteSizes()
    chat, quote = job('chat'), job('quote', 1, 0.4)
    seen.note(chat)
    for tokens in (500, *[2400] * 9):
        prompt = instances.Prompt(tokens, 10, (part('own', tokens),))
        seen.note(dataclasses.replace(quote, prompt=prompt))
    assert seen.is_long(quote)
    assert not seen.is_long(chat)
