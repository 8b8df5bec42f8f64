"""Tests that a caller that stops reading is disconnected.

Otherwise its connection would block the engine's stream forever.
"""

import trio

from tests.lib import engines
from tests.lib import entry


async def floods(
    wire: engines.EngineConnection, seen: engines.ReceivedRequest
) -> None:
    """Stream until the host closes the connection."""
    await wire.head()
    first = 1
    try:
        while True:
            data = b''.join(map(engines.event, range(first, first + 1000)))
            first += 1000
            await wire.send(engines.h11.Data(data=data))
    except trio.BrokenResourceError:
        wire.engine.cancelled.set()
        raise


async def test_caller_that_stops_reading_is_disconnected(
    nursery: trio.Nursery,
) -> None:
    engine, one = await engines.start(nursery, 'e1', floods)
    brief = {'stalled_time': 1.0}
    slow = {'silent_floor': 60.0}
    async with entry.running_host(
        one, callers=brief, backends=slow
    ) as fixture:
        async with entry.reading(fixture) as reader:
            await reader.until(1)
            with trio.fail_after(60):
                await engine.cancelled.wait()
    assert fixture.dispatcher.grants[0].ends[0].value == 'caller_left'
