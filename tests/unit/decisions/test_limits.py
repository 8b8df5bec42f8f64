"""Tests of workspace limits that are split across hosts."""

import hypothesis
from hypothesis import strategies
import pytest

from corianderloft._internal.decisions import limits as limits_module
from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids

HOSTS = tuple(ids.HostId(f'host-{n}') for n in range(4))
WORKSPACE = ids.WorkspaceId('big')


def _limits(rate: float) -> list[limits_module.Limits]:
    workspace = catalog.Workspace(
        WORKSPACE,
        (),
        (),
        limits=catalog.WorkspaceLimits(requests_per_second=rate),
    )
    current = catalog.Catalog(ids.Revision(1), workspaces=(workspace,))
    limits_by_host = []
    for host in HOSTS:
        limits = limits_module.Limits()
        limits.use_catalog(current)
        limits.use_hosts(host, HOSTS)
        limits_by_host.append(limits)
    return limits_by_host


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 3), strategies.sampled_from([0.0, 0.02])
        ),
        min_size=100,
        max_size=200,
    )
)
def test_hosts_together_keep_the_limit(
    arrivals: list[tuple[int, float]],
) -> None:
    rate = 8.0
    hosts = _limits(rate)
    now = 0.0
    admitted = 0
    for host, gap in arrivals:
        now += gap
        admitted += hosts[host].charge(WORKSPACE, 1.0, now) == 0
    assert admitted <= rate * (now + 2.0) + len(HOSTS)


def test_share_follows_demand_reported_by_peers() -> None:
    admitted = {}
    for reported in (False, True):
        hosts = _limits(8.0)
        admitted[reported] = 0
        for tick in range(400):
            now = tick / 20
            admitted[reported] += hosts[0].charge(WORKSPACE, 1.0, now) == 0
            for peer in HOSTS[1:] if reported else ():
                hosts[0].use_peer_demand(peer, {WORKSPACE: 0.0}, now)
    assert admitted[True] > 2 * admitted[False]


def test_refused_request_gets_a_time_to_wait() -> None:
    hosts = _limits(4.0)
    waits = [hosts[0].charge(WORKSPACE, 1.0, 0.0) for _ in range(10)]
    assert max(waits) == pytest.approx(1.0)
