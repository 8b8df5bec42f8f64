"""Pace of the datagrams with loads in fleets of any size.

Guards against a delegate whose datagrams grow with the number of groups, and
against changes that the slower pace loses.
"""

import random

import pytest
import trio

from corianderloft._internal.gateway import load_exchange
from corianderloft._internal.gateway import load_messages as messages
from corianderloft._internal.gateway import view
from corianderloft._internal.models import ids
from corianderloft._internal.models import members
from corianderloft._internal.placement import budget
from corianderloft._internal.placement import engines
from corianderloft._internal.placement import groups
from corianderloft._internal.placement import placer
from corianderloft._internal.platform import daemon

DOMAINS = 9
LENGTH_S = 6.0
MAX_DATAGRAMS_PER_S = 2.2 * load_exchange.DELEGATES_AT_FULL_PACE / 0.03
"""A delegate sends to its group and to other delegates."""


class Socket:
    """Records the datagrams sent through it."""

    def __init__(self):
        self.sent = []

    async def sendto(self, data, address):
        await trio.lowlevel.checkpoint()
        self.sent.append((trio.current_time(), data, address))


def fleet(count):
    return [
        members.Member(
            ids.HostId(f'h-{n}'),
            f'127.0.{n // 250}.{n % 250}',
            1,
            2,
            ids.FailureDomain(f'd-{n % DOMAINS}'),
            's',
        )
        for n in range(count)
    ]


def delegate_of(hosts):
    return next(h for h in hosts if groups.assign(h, hosts).is_delegate)


async def play(count):
    """Return the datagrams of a delegate whose loads change all the time."""
    hosts = fleet(count)
    own = delegate_of(hosts)
    loads = {}
    request_placer = placer.Placer(
        own.failure_domain,
        budget.RetryBudget(0.2, 1.0, 1.0),
        random.Random(0),
    )
    request_placer.own_loads = lambda: dict(loads)
    exchange = load_exchange.LoadExchange(
        request_placer, own, view.View(daemon.LAYOUT, None)
    )
    exchange.use_members(hosts)
    sock = Socket()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(exchange._send, sock)
        for number in range(int(LENGTH_S / 0.005)):
            key = ids.EngineId(f'e-{number % 90}'), 0
            loads[key] = engines.PeerLoad(1 + number, 0, number, number)
            exchange._mark_changed()
            await trio.sleep(0.005)
        await trio.sleep(1.0)
        nursery.cancel_scope.cancel()
    return loads, sock.sent


@pytest.mark.parametrize('count', [61, 195, 381])
async def test_datagrams_of_a_delegate_do_not_grow_with_the_fleet(
    count, autojump_clock
):
    _, sent = await play(count)
    assert len(sent) / LENGTH_S <= MAX_DATAGRAMS_PER_S


async def test_the_slower_pace_loses_no_change(autojump_clock):
    loads, sent = await play(381)
    received = messages.ReceivedLoads()
    for at, data, _ in sent:
        message = messages.decode(data)
        if message.source.scope is messages.Scope.GROUP:
            received.apply(message, at)
    assert received.loads == loads
