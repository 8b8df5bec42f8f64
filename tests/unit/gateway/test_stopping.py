"""The last moments in which a stopping host accepts requests.

A request that is accepted too late is cut when the process is killed.
"""

import pytest
import trio

from corianderloft._internal.gateway import stopping

GRACE_S = 8.0
EXCUSED_S = 3.0
"""Requests that are sent later than this after the signal may not be cut."""


class Registration:
    """An entry whose removal takes its time."""

    def __init__(self, delay_s):
        self._delay_s = delay_s

    async def deregister(self):
        await trio.sleep(self._delay_s)


@pytest.mark.parametrize('delay_s', [0.0, 1.0, 6.0])
async def test_requests_are_refused_on_time(delay_s, autojump_clock):
    # The host looked every 0.1 s, and not while its entry was being removed.
    shutdown = stopping.GracefulShutdown()
    accepted = []

    async def observe():
        while True:
            accepted.append((trio.current_time(), shutdown.refusing))
            await trio.sleep(0.01)

    started_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(observe)
        with shutdown.track_request():
            await shutdown.run(Registration(delay_s), GRACE_S)
        nursery.cancel_scope.cancel()
    last = max(time for time, refusing in accepted if not refusing)
    first = min(time for time, refusing in accepted if refusing)
    assert stopping.ACCEPT_PERIOD_S - 0.02 <= last - started_at
    assert first - started_at < EXCUSED_S - 0.1
    assert shutdown.refusing
