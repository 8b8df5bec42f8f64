"""Loads of heavy days, played in virtual time, and what callers get."""

import pytest

from bench.placement import __main__ as bench
from bench.placement import simulate

SEEDS = range(2)
KINDS = ('wash-history', 'repair-quote', 'groom-chat')


def played(chooser, **options):
    return [simulate.play(chooser, seed, **options) for seed in SEEDS]


def mean_share(days, kind):
    return sum(day[kind].share for day in days) / len(days)


@pytest.fixture(scope='module')
def crest():
    """Half again the load of the heavy day, by each chooser."""
    options = {'load': 1.5, 'length': 12.0}
    return {
        name: played(name, **options) for name in ('lanes', 'hashed_prefix')
    }


def test_chat_is_in_time_while_ledgers_burst(crest):
    assert mean_share(crest['lanes'], 'groom-chat') >= 0.9


def test_short_requests_gain_over_shared_engines(crest):
    for kind in ('groom-chat', 'repair-quote'):
        gain = mean_share(crest['lanes'], kind) / mean_share(
            crest['hashed_prefix'], kind
        )
        assert gain >= 1.2


def test_all_credit_gains_over_shared_engines(crest):
    shares = {
        name: sum(map(bench.total_share, days)) for name, days in crest.items()
    }
    assert shares['lanes'] >= 1.1 * shares['hashed_prefix']


def test_no_kind_is_starved_at_the_crest(crest):
    for day in crest['lanes']:
        for kind in KINDS:
            tally = day[kind]
            assert tally.in_time + tally.late >= 0.25 * tally.asked


def test_urgent_kinds_are_served_at_least_as_often(crest):
    for day in crest['lanes']:
        served = [
            (day[kind].in_time + day[kind].late) / day[kind].asked
            for kind in KINDS
        ]
        assert served[2] >= served[1] - 0.05 >= served[0] - 0.1


def test_a_day_with_room_refuses_nobody():
    for day in played('lanes', load=0.5, length=9.0):
        assert sum(tally.refused for tally in day.values()) == 0


def test_slowed_engines_lose_their_load():
    slowed = simulate.Fleet(slowed={0: 6.0, 4: 6.0})
    days = played('lanes', load=0.7, length=9.0, fleet=slowed)
    assert sum(map(bench.total_share, days)) / len(days) >= 0.85
