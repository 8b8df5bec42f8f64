"""Large declarations reach hosts whatever their links are.

Guards against steps of the way of a change whose time limits do not depend on
what they carry. Sizes, links and other traffic on them are drawn; the clients
of the store and of other hosts are the real ones, in virtual time.
"""

import dataclasses
import functools
import itertools
import random

import httpcore
import hypothesis
from hypothesis import strategies as st
import orjson
import pytest
import trio
import trio.testing

from corianderloft._internal.gateway import change_budget
from corianderloft._internal.gateway import following
from corianderloft._internal.gateway import view
from corianderloft._internal.kv import connections
from corianderloft._internal.models import listener
from corianderloft._internal.models import members
from corianderloft._internal.placement import groups
from corianderloft._internal.platform import daemon
from corianderloft._internal.platform import store as platform_store
from corianderloft._internal.utils import clock
from tests.lib import gateway
from tests.lib import narrow_network

HOSTS = groups.MAX_SINGLE_GROUP_HOSTS + 4
NARROW_KBPS = 10_000
WIDE_KBPS = 200_000
STORE_KBPS = 1_000_000
MAX_VALUE_BYTES = 2**20

LAYOUT = dataclasses.replace(
    daemon.LAYOUT,
    decode_table=functools.lru_cache(8)(daemon.LAYOUT.decode_table),
)

PHASES = (hypothesis.Phase.generate, hypothesis.Phase.shrink)

cfg = dataclasses.replace(
    gateway.BOUNDS,
    revocation_time=5.0,
    drain_time=3.0,
    apply_time=3.0,
    recovery_time=4.0,
    min_outage=2.4,
)


@functools.cache
def declared(version, size):
    """Return declarations of about ``size`` bytes."""
    rng = random.Random(0)
    routes = [
        {
            'name': f'r-{rng.randrange(36**7):x}',
            'path_prefix': f'/{rng.randrange(36**7):x}/',
            'kind': 'streaming',
            'timeout_ms': 3000,
            'target_latency_ms': 418,
            'service': 'desk',
            'attempts': 2,
            'session_affinity': True,
        }
        for _ in range(size // 215)
    ]
    return gateway.configuration(version, routes=routes)


class Recorder(listener.Listener):
    """Records when each version took effect."""

    def __init__(self):
        self.in_force_at = {}

    def use_table(self, table):
        """Record a version."""
        self.in_force_at[table.version] = clock.now()


@dataclasses.dataclass
class Host:
    """A host, its link and what it records."""

    member: members.Member
    link: narrow_network.Link
    recorder: Recorder
    follower: following.Follower


def build(member, share):
    local_view, recorder = view.View(LAYOUT, 5.0), Recorder()
    local_view.add_listener(recorder)
    client = platform_store.PlatformStore('store', 1)
    follower = following.Follower(client, local_view, lambda: cfg, member)
    link = narrow_network.Link(member.link_kbps, share)
    return Host(member, link, recorder, follower)


def fleet(wide, kbps):
    return [
        members.Member(
            f'h-{n}',
            f'host-{n}',
            80,
            90,
            'cairo-a',
            's',
            link_kbps=WIDE_KBPS if n < wide else kbps,
        )
        for n in range(HOSTS)
    ]


async def play(hosts, declared_at, size, delay, frozen, refuses, end):
    """Run hosts until ``end``; ``frozen`` are times of the delegate."""
    fleet_members = [host.member for host in hosts]
    async with trio.open_nursery() as nursery:
        network = narrow_network.Network(nursery)
        operator = narrow_network.Store(
            declared_at, lambda version: declared(version, size), delay
        )
        network.sites['store'] = narrow_network.Site(
            narrow_network.Link(STORE_KBPS), operator.handle
        )
        for host in hosts:
            handle = narrow_network.peer_handler(host.follower.log)
            site = narrow_network.Site(host.link, handle)
            network.sites[host.member.address] = site
        follower = next(
            place.delegate
            for place in (
                groups.assign(own, fleet_members) for own in fleet_members
            )
            if place.delegate is not None
        )
        site = network.sites[follower.address]
        site.frozen, site.refuses = frozen, refuses

        def open_connection(self):
            return httpcore.AsyncHTTPConnection(
                origin=self._url.origin, network_backend=network
            )

        async def run(host):
            narrow_network.own_link.set(host.link)
            host.follower.use_members(fleet_members)
            await host.follower.run()

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(connections.Connections, 'open', open_connection)
            for host in hosts:
                nursery.start_soon(run, host)
            await trio.sleep(end)
            nursery.cancel_scope.cancel()


def run(hosts, *arguments):
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(clock, 'now', trio.current_time)
        trio.run(
            play,
            hosts,
            *arguments,
            clock=trio.testing.MockClock(autojump_threshold=0),
        )


def in_force_at(host, version):
    """Return when a host had a version or a later one."""
    found = [
        at
        for known, at in host.recorder.in_force_at.items()
        if known >= version
    ]
    return min(found, default=float('inf'))


@hypothesis.settings(max_examples=10, phases=PHASES)
@hypothesis.given(
    size=st.integers(1_000, MAX_VALUE_BYTES),
    kbps=st.integers(NARROW_KBPS, WIDE_KBPS),
    share=st.floats(0.0, 0.5),
    gaps=st.lists(st.floats(0.3, 3.0), min_size=1, max_size=6),
    delay=st.floats(0.0, 1.0),
    seed=st.integers(0, 9),
)
def test_large_declarations_are_in_force_on_time_behind_wide_links(
    size, kbps, share, gaps, delay, seed
):
    random.seed(seed)
    declared_at = list(itertools.accumulate(gaps, initial=6.0))
    hosts = [build(member, share) for member in fleet(2, kbps)]
    end = declared_at[-1] + 4.0
    run(hosts, declared_at, size, delay, (0.0, 0.0), False, end)
    left = change_budget.APPLY_S + change_budget.SEND_S
    for version, acknowledged_at in enumerate(declared_at, 2):
        late = [
            in_force_at(host, version) + left - acknowledged_at
            for host in hosts
        ]
        assert max(late) <= cfg.apply_time


@hypothesis.settings(max_examples=10, phases=PHASES)
@hypothesis.given(
    size=st.integers(1_000, MAX_VALUE_BYTES),
    gaps=st.lists(st.floats(0.3, 3.0), min_size=1, max_size=6),
    frozen_at=st.floats(5.0, 9.0),
    frozen_s=st.floats(0.5, 8.0),
    refuses=st.booleans(),
    seed=st.integers(0, 9),
)
def test_large_declarations_pass_by_a_delegate_that_fails(
    size, gaps, frozen_at, frozen_s, refuses, seed
):
    random.seed(seed)
    declared_at = list(itertools.accumulate(gaps, initial=6.0))
    hosts = [build(member, 0.0) for member in fleet(2, NARROW_KBPS)]
    frozen = (frozen_at, frozen_at + frozen_s)
    end = declared_at[-1] + 4.0
    run(hosts, declared_at, size, 0.0, frozen, refuses, end)
    left = change_budget.APPLY_S + change_budget.SEND_S
    for version, acknowledged_at in enumerate(declared_at, 2):
        late = [
            in_force_at(host, version) + left - acknowledged_at
            for host in hosts[2:]
        ]
        assert max(late) <= cfg.apply_time


@hypothesis.settings(max_examples=10, phases=PHASES)
@hypothesis.given(
    size=st.integers(200_000, 2 * MAX_VALUE_BYTES),
    gaps=st.lists(st.floats(0.3, 3.0), min_size=1, max_size=4),
    share=st.floats(0.0, 0.5),
    seed=st.integers(0, 9),
)
def test_large_declarations_reach_all_hosts_if_all_links_are_narrow(
    size, gaps, share, seed
):
    random.seed(seed)
    declared_at = list(itertools.accumulate(gaps, initial=6.0))
    hosts = [build(member, share) for member in fleet(0, NARROW_KBPS)]
    rate = NARROW_KBPS * 125 * (1 - share)
    # The store sends each version; its hosts then one to a group.
    carried = size * change_budget.ENCODING_RATIO * len(declared_at) + size
    end = declared_at[-1] + 3.0 + 2 * carried / rate
    run(hosts, declared_at, size, 0.0, (0.0, 0.0), False, end)
    last = len(declared_at) + 1
    assert all(in_force_at(host, last) < end for host in hosts)


def test_declarations_of_a_test_have_their_size():
    value = declared(1, MAX_VALUE_BYTES)
    assert 0.8 < len(value) / MAX_VALUE_BYTES < 1.2
    assert orjson.loads(value)['version'] == 1
