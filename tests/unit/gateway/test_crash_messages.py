"""Reports of prompt parts that crash backend servers, between hosts.

Guards against reports that do not reach every group of a large fleet, that
circulate without end, or that a malformed datagram stops.
"""

import pytest
import trio

from corianderloft._internal.gateway import crash_messages
from corianderloft._internal.gateway import load_messages
from corianderloft._internal.models import crashes
from corianderloft._internal.models import ids
from corianderloft._internal.models import instances
from corianderloft._internal.placement import crash_evidence

Scope = load_messages.Scope


class Host:
    """Evidence and reports of one host."""

    def __init__(self):
        self.evidence = crash_evidence.CrashEvidence()
        self.reports = crash_messages.CrashReports(self.evidence, lambda: None)

    def crash(self, number, part='bad'):
        own = instances.PromptPart(ids.PromptPartId('own'), 1)
        shared = instances.PromptPart(ids.PromptPartId(part), 1)
        self.evidence.record_crash(
            crashes.suspects_of(instances.Prompt(2, 1, (shared, own))),
            (ids.EngineId(f'e-{number}'), number),
            1.0,
        )

    def crashes(self, part='bad'):
        report = self.evidence.report(ids.PromptPartId(part))
        return 0 if report is None else len(report.crashed)


def send(sender, scope, *receivers, full=False):
    """Send all pending datagrams of a scope; return how many."""
    sent = 0
    while (data := sender.reports.next_datagram(scope, full)) is not None:
        assert len(data) < 60000
        sent += 1
        assert sent < 100
        for receiver in receivers:
            receiver.reports.receive(data)
        if full:
            break
    return sent


async def test_reports_reach_the_members_of_other_groups():
    member, delegate, other_delegate, other_member = (Host() for _ in range(4))
    member.crash(1)
    send(member, Scope.HOST, delegate)
    send(delegate, Scope.GROUP, other_delegate)
    send(other_delegate, Scope.REST, other_member)
    assert other_member.crashes() == 1
    assert send(other_delegate, Scope.GROUP, delegate) == 0
    assert send(delegate, Scope.REST, member) == 0
    assert send(other_member, Scope.HOST, other_delegate) == 0


async def test_a_report_is_sent_twice_as_one_datagram_may_be_lost():
    host, other = Host(), Host()
    host.crash(1)
    host.reports.next_datagram(Scope.HOST, False)
    assert send(host, Scope.HOST, other) == 1
    assert other.crashes() == 1


async def test_many_parts_go_into_several_datagrams():
    host, other = Host(), Host()
    for number in range(100):
        host.crash(1, f'part-{number}')
    send(host, Scope.HOST, other)
    assert all(other.crashes(f'part-{number}') for number in range(100))


async def test_a_host_that_starts_later_gets_the_harmful_parts(autojump_clock):
    host, late = Host(), Host()
    for number in range(3):
        host.crash(number)
    host.crash(9, 'once')
    send(host, Scope.HOST)
    await trio.sleep(1.0 + crash_evidence.REPEAT_S)
    send(host, Scope.HOST, late, full=True)
    assert (late.crashes(), late.crashes('once')) == (3, 0)


async def test_crash_is_repeated_to_hosts_that_were_not_known_then(
    autojump_clock,
):
    hosts = [Host() for _ in range(3)]
    for number, host in enumerate(hosts):
        host.crash(number)
        send(host, Scope.HOST)
    await trio.sleep(1.0)
    for host in hosts:
        send(host, Scope.HOST, *hosts, full=True)
    assert [host.crashes() for host in hosts] == [3, 3, 3]


async def test_cleared_part_is_repeated_to_hosts_that_were_not_known_then(
    autojump_clock,
):
    host, other = Host(), Host()
    for number in range(3):
        host.crash(number)
    send(host, Scope.HOST, other)
    shared = instances.PromptPart(ids.PromptPartId('bad'), 1)
    own = instances.PromptPart(ids.PromptPartId('own'), 1)
    host.evidence.record_complete(
        crashes.suspects_of(instances.Prompt(2, 1, (shared, own))), 20.0
    )
    send(host, Scope.HOST)
    await trio.sleep(21.0)
    send(host, Scope.HOST, other, full=True)
    assert not other.evidence._records['bad'].open


@pytest.mark.parametrize(
    'data',
    [
        b'{',
        b'{}',
        b'{"scope":"none","parts":[]}',
        b'{"scope":"host","parts":[1]}',
        b'{"scope":"host","parts":[["a",[["e"]],[]]]}',
        b'{"scope":"host","parts":[["a",[["e",1]]]]}',
        b'{"scope":"host","parts":null}',
        b'{"scope":[],"parts":[]}',
    ],
)
async def test_malformed_datagrams_change_nothing(data):
    host = Host()
    received = host.reports.receive(data)
    assert received is crash_messages.Received.MALFORMED
    assert not host.evidence._records
