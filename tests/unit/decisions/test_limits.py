"""Tests of limits of workspaces across hosts."""

import hypothesis
from hypothesis import strategies
import pytest

from corianderloft._internal.decisions import limits as limits_module
from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids

HOSTS = tuple(ids.HostId(f'host-{n}') for n in range(4))
BIG = ids.WorkspaceId('big')


def _limits(rate: float) -> list[limits_module.Limits]:
    workspace = catalog.Workspace(
        BIG, (), (), limits=catalog.WorkspaceLimits(requests_per_second=rate)
    )
    current = catalog.Catalog(ids.Revision(1), workspaces=(workspace,))
    made = []
    for host in HOSTS:
        limits = limits_module.Limits()
        limits.use_catalog(current)
        limits.use_hosts(host, HOSTS)
        made.append(limits)
    return made


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 3), strategies.sampled_from([0.0, 0.02])
        ),
        min_size=100,
        max_size=200,
    )
)
def test_all_hosts_together_keep_the_limit(
    arrivals: list[tuple[int, float]],
) -> None:
    rate = 8.0
    hosts = _limits(rate)
    now = 0.0
    admitted = 0
    for host, gap in arrivals:
        now += gap
        admitted += hosts[host].wait(BIG, 1.0, now) == 0
    assert admitted <= rate * (now + 2.0) + len(HOSTS)


def test_share_follows_demand_that_peers_tell() -> None:
    admitted = {}
    for told in (False, True):
        hosts = _limits(8.0)
        admitted[told] = 0
        for tick in range(400):
            now = tick / 20
            admitted[told] += hosts[0].wait(BIG, 1.0, now) == 0
            for peer in HOSTS[1:] if told else ():
                hosts[0].use_peer_demand(peer, {BIG: 0.0}, now)
    assert admitted[True] > 2 * admitted[False]


def test_refusal_says_when_to_come_back() -> None:
    hosts = _limits(4.0)
    waits = [hosts[0].wait(BIG, 1.0, 0.0) for _ in range(10)]
    assert max(waits) == pytest.approx(1.0)
