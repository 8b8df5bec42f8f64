"""A log on standard output that is bounded and never blocks."""

import collections
import logging
import os
import stat
import typing

import trio

MOST_LINES = 2000
"""Lines that wait to be written; later ones are dropped and counted."""

WRITE_BYTES = 4096
"""Bytes written at once: a pipe that is writable takes that many."""

FLUSH_TIME = 0.3
"""Longest time for the last lines to be written, in seconds."""


class BoundedHandler(logging.Handler):
    """Keeps lines until `run` writes them.

    Parameters
    ----------
    fileno : int
        Descriptor to write to.

    Attributes
    ----------
    dropped : int
        Lines that were dropped.
    """

    def __init__(self, fileno: int = 1) -> None:
        super().__init__()
        self._fileno = fileno
        self._lines: collections.deque[bytes] = collections.deque()
        self._more = trio.Event()
        self._waits = not stat.S_ISREG(os.fstat(fileno).st_mode)
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Keep one line, or drop it when too many wait."""
        if len(self._lines) >= MOST_LINES:
            self.dropped += 1
            return
        self._lines.append(self.format(record).encode() + b'\n')
        self._more.set()

    async def run(self) -> typing.NoReturn:
        """Write lines until cancelled."""
        while True:
            if not self._lines:
                self._more = trio.Event()
                await self._more.wait()
            await self._write_some()

    async def drain(self) -> None:
        """Write what waits, but not for long."""
        with trio.CancelScope(shield=True):
            with trio.move_on_after(FLUSH_TIME):
                while self._lines:
                    await self._write_some()

    async def _write_some(self) -> None:
        data = self._take()
        while data:
            await self._wait_writable()
            data = data[os.write(self._fileno, data[:WRITE_BYTES]) :]

    async def _wait_writable(self) -> None:
        if not self._waits:
            await trio.lowlevel.checkpoint()
            return
        try:
            await trio.lowlevel.wait_writable(self._fileno)
        except OSError:
            # Some devices cannot be waited for, and take all at once.
            self._waits = False

    def _take(self) -> bytes:
        size = 0
        lines: list[bytes] = []
        while self._lines and size < WRITE_BYTES:
            lines.append(self._lines.popleft())
            size += len(lines[-1])
        return b''.join(lines)
