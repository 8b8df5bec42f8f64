"""Limits on requests a second that backend servers name."""

import trio

from tests.lib import gateway
from tests.lib import processes

LIMIT = 2.0
WINDOW_S = 4.0
TOLD_AFTER_S = 0.5
"""Time after which a limit that was named counts; stated by the rules."""


def allowed(limit):
    """Return the most requests in the window, as the rules state it."""
    return 1.5 * limit * WINDOW_S + 5


def most_in_window(times, since):
    """Return the most requests in any window that starts after a time."""
    times = sorted(time for time in times if time >= since)
    return max(
        (
            sum(start <= time < start + WINDOW_S for time in times)
            for start in times
        ),
        default=0,
    )


async def send_steadily(system, cfgs, until, statuses, interval=0.05):
    """Send requests to the hosts in turn, each in a task of its own."""

    async def send(cfg):
        response = await gateway.fetch(cfg.caller_port, 'GET', '/look/1')
        statuses.append(response.status if response else 0)

    async with trio.open_nursery() as nursery:
        number = 0
        while trio.current_time() < until:
            nursery.start_soon(send, cfgs[number % len(cfgs)])
            number += 1
            await trio.sleep(interval)


async def start(system, *limits):
    """Start a second host, and a backend server for each limit."""
    first = system.cfg
    await system.start_host('edge-2')
    for limit in limits:
        await system.add_engine('whole', rate_limit=limit)

    async def known():
        answers = [
            await gateway.fetch(cfg.caller_port, 'GET', '/look/1')
            for cfg in (first, system.cfg)
        ]
        return all(answer.status == 200 for answer in answers)

    await processes.wait_for(known, 'the servers are known')
    return first, system.cfg


async def test_hosts_together_keep_to_the_limit_of_a_server():
    statuses = []
    async with gateway.running(()) as system:
        cfgs = await start(system, str(LIMIT), '')
        begin = trio.current_time()
        await send_steadily(system, cfgs, begin + 6.0, statuses)
        limited, free = system.engines
        most = most_in_window(limited.seen_at, begin + TOLD_AFTER_S)
        assert 0 < most <= allowed(LIMIT)
    assert len(free.seen) > len(limited.seen)
    assert set(statuses) == {200}


async def test_a_server_that_names_no_limit_any_more_is_used_fully_again():
    statuses = []
    async with gateway.running(()) as system:
        cfgs = await start(system, '0.1', '')
        limited, free = system.engines
        now = trio.current_time()
        await send_steadily(system, cfgs, now + 1.0, statuses)
        limited.rate_limit = ''
        before = len(limited.seen)

        async def used_again():
            until = trio.current_time() + 0.5
            await send_steadily(system, cfgs, until, statuses)
            return len(limited.seen) >= before + 10

        await processes.wait_for(used_again, 'the server is used again')
    assert set(statuses) == {200}
