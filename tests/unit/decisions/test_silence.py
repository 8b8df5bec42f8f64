"""Tests of attempts that time out because their engine sends no tokens.

Guards against opening the circuit of an engine, or assuming an outage,
when the attempt only waits behind other streams of a working engine. This
happens to requests of a low tier on a busy engine.
"""

import pytest
import trio
import trio.testing

from corianderloft._internal.decisions import dispatcher as dispatchers
from corianderloft._internal.decisions import interface
from tests.lib import decisions as lib

LOWEST_TIER = 5
GRANT_TIMEOUT_S = 0.1
"""Shorter than the shortest backoff of a failed engine."""


async def _is_available(dispatcher: dispatchers.LocalDispatcher) -> bool:
    """Return whether the next request is granted in `GRANT_TIMEOUT_S`."""
    with trio.move_on_after(GRANT_TIMEOUT_S):
        grant = await lib.granted(dispatcher, lib.ticket())
        grant.close(interface.AttemptEnd.CANCELLED)
        return True
    return False


async def _is_available_after_silence(
    streaming: bool, pause: float, had_token: bool
) -> bool:
    """Return whether an engine is available after a silent attempt."""
    dispatcher = lib.dispatcher()
    first = await lib.granted(dispatcher, lib.ticket())
    first.first_token()
    first.progress(1)
    await trio.sleep(1.0)
    waiting = await lib.granted(dispatcher, lib.ticket(tier=LOWEST_TIER))
    if had_token:
        waiting.first_token()
    await trio.sleep(10.0)
    first.progress(1)
    await trio.sleep(pause)
    if not streaming:
        first.close(interface.AttemptEnd.COMPLETE)
    waiting.close(interface.AttemptEnd.SILENT)
    return await _is_available(dispatcher)


async def test_streaming_engine_stays_available(
    autojump_clock: trio.testing.MockClock,
) -> None:
    assert await _is_available_after_silence(
        streaming=True, pause=0.1, had_token=False
    )


@pytest.mark.parametrize(
    ('streaming', 'pause', 'had_token'),
    [(False, 0.1, False), (True, 5.0, False), (True, 0.1, True)],
    ids=['no_other_stream', 'all_streams_silent', 'silent_in_mid_stream'],
)
async def test_silent_engine_is_not_available(
    autojump_clock: trio.testing.MockClock,
    streaming: bool,
    pause: float,
    had_token: bool,
) -> None:
    assert not await _is_available_after_silence(streaming, pause, had_token)


async def test_streaming_engines_are_no_outage(
    autojump_clock: trio.testing.MockClock,
) -> None:
    dispatcher = lib.dispatcher(engines=4, slots=8)
    streams = [await lib.granted(dispatcher, lib.ticket()) for _ in range(4)]
    for stream in streams:
        stream.first_token()
    await trio.sleep(5.0)
    waiting = [
        await lib.granted(dispatcher, lib.ticket(tier=LOWEST_TIER))
        for _ in range(4)
    ]
    for stream in streams:
        stream.progress(1)
    for grant in waiting:
        grant.close(interface.AttemptEnd.SILENT)
    assert await _is_available(dispatcher)
