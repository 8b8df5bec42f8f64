"""Tests of the engines that each host uses and prefers."""

import collections

import hypothesis
from hypothesis import strategies
import pytest

from corianderloft._internal.decisions import preferred_engines
from corianderloft._internal.decisions import subsets


@hypothesis.given(strategies.integers(1, 20), strategies.integers(0, 40))
def test_preferred_fractions_add_up_and_are_even(
    hosts: int, engines: int
) -> None:
    names = [f'host-{n}' for n in range(hosts)]
    engine_ids = [f'engine-{n}' for n in range(engines)]
    covered: collections.Counter[str] = collections.Counter()
    for name in names:
        fractions = preferred_engines.preferred_fractions(
            name, names, engine_ids
        )
        covered.update(fractions)
        assert sum(fractions.values()) == pytest.approx(engines / hosts)
    assert all(covered[e] == pytest.approx(1.0) for e in engine_ids)


@hypothesis.given(
    strategies.sets(strategies.integers(0, 60), min_size=5, max_size=30),
    strategies.lists(
        strategies.sets(strategies.integers(0, 60), min_size=5, max_size=30),
        max_size=4,
    ),
)
@hypothesis.settings(max_examples=25)
def test_host_count_of_engines_is_constant_as_hosts_join_and_leave(
    first_hosts: set[int], later_hosts: list[set[int]]
) -> None:
    engine_ids = [f'engine-{n}' for n in range(80)]
    subset_of_host: dict[int, subsets.Subset] = collections.defaultdict(
        lambda: subsets.Subset(threshold=10, hosts_per_engine=4)
    )
    for live in [first_hosts, *later_hosts]:
        names = [f'host-{n}' for n in live]
        covered = collections.Counter(
            engine_id
            for number in live
            for engine_id in subset_of_host[number].choose(
                f'host-{number}', names, engine_ids
            )
        )
        assert all(covered[engine_id] == 4 for engine_id in engine_ids)


def test_leaving_host_reassigns_only_its_engines() -> None:
    engine_ids = [f'engine-{n}' for n in range(340)]
    names = [f'host-{n}' for n in range(38)]
    before = {
        name: subsets.Subset(10, 4).choose(name, names, engine_ids)
        for name in names
    }
    lost_engines = before.pop('host-0')
    for name in before:
        after = subsets.Subset(10, 4).choose(name, list(before), engine_ids)
        assert before[name] <= after
        assert after - before[name] <= lost_engines
