"""Tests of what the silence of one attempt says about its engine."""

import pytest
import trio
import trio.testing

from corianderloft._internal.decisions import dispatcher as dispatchers
from corianderloft._internal.decisions import interface
from tests.lib import decisions as lib

LOWEST = 5
PAUSE = 0.1
"""Shorter than the least time for which an engine is closed, in seconds."""


async def _serves_next(made: dispatchers.LocalDispatcher) -> bool:
    """Return whether the next request is granted soon."""
    with trio.move_on_after(PAUSE):
        grant = await lib.granted(made, lib.ticket())
        grant.close(interface.AttemptEnd.CANCELLED)
        return True
    return False


async def _silent(streaming: bool, pause: float, had_token: bool) -> bool:
    """Return whether an engine serves on after a silent attempt."""
    made = lib.dispatcher()
    first = await lib.granted(made, lib.ticket())
    first.first_token()
    first.progress(1)
    await trio.sleep(1.0)
    waiting = await lib.granted(made, lib.ticket(tier=LOWEST))
    if had_token:
        waiting.first_token()
    await trio.sleep(10.0)
    first.progress(1)
    await trio.sleep(pause)
    if not streaming:
        first.close(interface.AttemptEnd.COMPLETE)
    waiting.close(interface.AttemptEnd.SILENT)
    return await _serves_next(made)


async def test_engine_that_streams_stays_open(
    autojump_clock: trio.testing.MockClock,
) -> None:
    assert await _silent(streaming=True, pause=0.1, had_token=False)


@pytest.mark.parametrize(
    ('streaming', 'pause', 'had_token'),
    [(False, 0.1, False), (True, 5.0, False), (True, 0.1, True)],
    ids=['no_other_stream', 'all_streams_silent', 'silent_in_mid_stream'],
)
async def test_silent_engine_is_closed(
    autojump_clock: trio.testing.MockClock,
    streaming: bool,
    pause: float,
    had_token: bool,
) -> None:
    assert not await _silent(streaming, pause, had_token)


async def test_engines_that_stream_are_no_outage(
    autojump_clock: trio.testing.MockClock,
) -> None:
    made = lib.dispatcher(engines=4, slots=8)
    streams = [await lib.granted(made, lib.ticket()) for _ in range(4)]
    for stream in streams:
        stream.first_token()
    await trio.sleep(5.0)
    waiting = [
        await lib.granted(made, lib.ticket(tier=LOWEST)) for _ in range(4)
    ]
    for stream in streams:
        stream.progress(1)
    for grant in waiting:
        grant.close(interface.AttemptEnd.SILENT)
    assert await _serves_next(made)
