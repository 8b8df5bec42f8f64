"""Groups of hosts whose links differ.

Guards against a delegate with a narrow link, whose group waits for what the
store sends without compression.
"""

import dataclasses
import itertools

import hypothesis
from hypothesis import strategies as st

from corianderloft._internal.models import members
from corianderloft._internal.placement import groups

NARROW, WIDE = 10_000, 200_000


def member(number, domain, link_kbps):
    return members.Member(
        f'h-{number}',
        f'127.0.{domain}.{number}',
        80,
        90,
        f'd-{domain}',
        's',
        link_kbps=link_kbps,
    )


def fleet(domains, narrow, wide):
    numbers = itertools.count()
    return [
        member(next(numbers), domain, link_kbps)
        for domain in range(domains)
        for link_kbps in [NARROW] * narrow + [WIDE] * wide
    ]


def delegates(hosts):
    return [h for h in hosts if groups.assign(h, hosts).is_delegate]


def test_delegates_have_the_widest_links_of_their_failure_domain():
    hosts = fleet(5, 13, 2)
    found = delegates(hosts)
    assert len(found) == 10
    assert {host.link_kbps for host in found} == {WIDE}


def test_a_host_with_a_wide_link_is_a_delegate_as_soon_as_it_is_listed():
    hosts = fleet(5, 13, 0)
    wide = member(99, 0, WIDE)
    assert groups.assign(wide, [*hosts, wide]).is_delegate


@hypothesis.given(
    st.lists(st.sampled_from([0, NARROW, WIDE]), min_size=13, max_size=40),
    st.integers(1, 4),
    st.integers(0, 39),
)
def test_hosts_agree_on_their_groups(links, domains, absent):
    hosts = [
        member(number, number % domains, link)
        for number, link in enumerate(links)
    ]
    places = {h.host_id: groups.assign(h, hosts) for h in hosts}
    for host in hosts:
        place = places[host.host_id]
        for other in place.group:
            peers = {m.host_id for m in places[other.host_id].group}
            assert host.host_id in peers
            assert other.failure_domain == host.failure_domain or not (
                place.delegate or place.is_delegate
            )
        assert len(place.group) <= groups.MAX_SINGLE_GROUP_HOSTS
        if place.delegate is not None:
            assert places[place.delegate.host_id].is_delegate
            assert place.delegate not in place.successors
            assert all(places[m.host_id].is_delegate for m in place.successors)


def test_a_host_that_is_not_listed_yet_has_a_delegate():
    hosts = fleet(2, 13, 2)
    new = dataclasses.replace(hosts[0], host_id='new')
    place = groups.assign(new, hosts)
    assert place.delegate is not None
    assert place.delegate.link_kbps == WIDE


def test_the_loss_of_a_delegate_moves_few_of_the_other_hosts():
    hosts = fleet(1, 40, 5)
    lost = delegates(hosts)[0]
    rest = [h for h in hosts if h != lost]
    moved = [
        h
        for h in rest
        if groups.assign(h, hosts).delegate not in (lost, None)
        and groups.assign(h, rest).delegate != groups.assign(h, hosts).delegate
    ]
    assert len(moved) <= len(hosts) / 2
