"""Reports of requests to limited servers, between hosts.

Guards against counts that are lost, counted twice or kept after their host
has gone.
"""

import random

import pytest
import trio

from corianderloft._internal.gateway import load_messages
from corianderloft._internal.gateway import rate_messages
from corianderloft._internal.models import ids
from corianderloft._internal.models import instances
from corianderloft._internal.models import members
from corianderloft._internal.models import states
from corianderloft._internal.placement import budget
from corianderloft._internal.placement import placer

Scope = load_messages.Scope
KEY = ids.EngineId('e-1'), 7


class Host:
    """Placer and reports of one host, with one backend server."""

    def __init__(self, name, start='s'):
        domain = ids.FailureDomain('a')
        self.placer = placer.Placer(
            domain, budget.RetryBudget(0.2, 1.0, 1.0), random.Random(0)
        )
        self.placer.use_instances(
            [
                instances.Instance(
                    *KEY,
                    ids.ServiceName('s'),
                    '127.0.0.1',
                    1,
                    domain,
                    8,
                    states.BackendState.LIVE,
                )
            ]
        )
        self.limit = self.placer._engines[KEY].rate_limit
        own = members.Member(
            ids.HostId(name), '127.0.0.1', 1, 2, domain, start
        )
        self.reports = rate_messages.RateReports(self.placer, own)

    def send_requests(self, count):
        for _ in range(count):
            self.limit.record_send(trio.current_time())

    def elsewhere(self):
        return sum(self.limit._peers.values())


def limited(*names):
    """Return hosts to which the server has named a limit."""
    hosts = [Host(name) for name in names]
    for host in hosts:
        host.limit.record_response(2.0, trio.current_time())
    return hosts


async def test_counts_reach_the_members_of_other_groups_once():
    member, delegate, other_delegate, other_member = limited(*'abcd')
    member.send_requests(3)
    delegate.send_requests(2)
    delegate.reports.receive(member.reports.next_datagram(Scope.HOST, False))
    group = delegate.reports.next_datagram(Scope.GROUP, False)
    other_delegate.reports.receive(group)
    other_delegate.reports.receive(group)
    rest = other_delegate.reports.next_datagram(Scope.REST, False)
    other_member.reports.receive(rest)
    assert other_delegate.elsewhere() == 5
    assert other_member.elsewhere() == 5


async def test_only_changed_counts_are_sent_between_full_reports():
    (host,) = limited('a')
    assert host.reports.next_datagram(Scope.HOST, False) is not None
    assert host.reports.next_datagram(Scope.HOST, False) is None
    host.send_requests(1)
    assert host.reports.next_datagram(Scope.HOST, False) is not None
    assert host.reports.next_datagram(Scope.HOST, True) is not None


async def test_an_old_datagram_is_ignored_and_a_restarted_host_is_not():
    host, other = limited('a', 'b')
    host.send_requests(1)
    first = host.reports.next_datagram(Scope.HOST, True)
    host.send_requests(1)
    other.reports.receive(host.reports.next_datagram(Scope.HOST, True))
    other.reports.receive(first)
    assert other.elsewhere() == 2
    again = Host('a', 'restarted')
    again.limit.record_response(2.0, trio.current_time())
    other.reports.receive(again.reports.next_datagram(Scope.HOST, True))
    assert other.elsewhere() == 0


async def test_counts_of_a_host_that_falls_silent_are_dropped():
    host, other = limited('a', 'b')
    host.send_requests(4)
    other.reports.receive(host.reports.next_datagram(Scope.HOST, True))
    other.reports.expire(trio.current_time() - 1.0)
    assert other.elsewhere() == 4
    other.reports.expire(trio.current_time() + 1.0)
    assert other.elsewhere() == 0


@pytest.mark.parametrize(
    'data',
    [
        b'{"rates"',
        b'{"rates":"host"}',
        b'{"rates":"none","host":"a","start":"s","sequence":1,'
        b'"full":true,"rows":[]}',
        b'{"rates":"host","host":"a","start":"s","sequence":1,'
        b'"full":true,"rows":[["e",1]]}',
        b'{"rates":"host","host":"a","start":"s","sequence":1,'
        b'"full":true,"rows":[["e",1,null,2.0,0.1]]}',
        b'{"rates":"host","host":"a","start":"s","sequence":null,'
        b'"full":true,"rows":[]}',
    ],
)
async def test_malformed_datagrams_change_nothing(data):
    (host,) = limited('a')
    assert rate_messages.is_rate_datagram(data)
    assert not host.reports.receive(data)
    assert host.elsewhere() == 0
