"""Shares the event loop among connections that have much data to parse.

Received data is parsed without waiting, and a block of it may hold thousands
of parts of a message. Parsing them all in one go would hold up every other
task, and doing so on several connections would take most of the processor.
"""

import trio

MAX_PARTS_PER_TURN = 64
"""Parts of a message that are parsed before other tasks run."""

PAUSE_S = 0.002
"""Time between two turns of connections that still have data to parse. They
take turns one after the other, so it bounds the share of the processor that
all of them together use."""

_LOCK: trio.lowlevel.RunVar[trio.Lock] = trio.lowlevel.RunVar('turns')


class Turns:
    """Counts the parts that one connection parses in a row."""

    __slots__ = ('_parts',)

    def __init__(self) -> None:
        self._parts = 0

    def spend(self, parts: int) -> None:
        """Record that parts of a message were parsed."""
        self._parts += parts

    def received(self) -> None:
        """Record that all data was parsed and the socket was read."""
        self._parts = 0

    async def wait(self) -> None:
        """Let other tasks run if this connection has used up its turn.

        Not a checkpoint otherwise: this is called for each part.
        """
        if self._parts < MAX_PARTS_PER_TURN:
            return
        self._parts = 0
        async with _lock():
            await trio.sleep(PAUSE_S)


def _lock() -> trio.Lock:
    """Return the lock of this run of trio."""
    try:
        return _LOCK.get()
    except LookupError:
        lock = trio.Lock()
        _LOCK.set(lock)
        return lock
