"""Non-blocking log handler with a bounded buffer."""

import collections
import logging
import os
import stat
import typing

import trio

MAX_BUFFERED_LINES = 2000
"""Capacity of the buffer; further lines are dropped and counted."""

MAX_WRITE_BYTES = 4096
"""Maximum size of one write, in bytes: a write of this size to a writable
pipe does not block."""

RETRY_INTERVAL_S = 0.1
"""Delay after a write that failed."""

FLUSH_TIMEOUT_S = 0.3
"""Time limit for writing the remaining lines at shutdown."""


class BoundedHandler(logging.Handler):
    """Buffers lines until `run` writes them.

    Parameters
    ----------
    fileno : int
        File descriptor to write to; standard output by default.

    Attributes
    ----------
    dropped : int
        Number of lines dropped because the buffer was full or they could not
        be written.
    """

    def __init__(self, fileno: int = 1) -> None:
        super().__init__()
        self._fileno = fileno
        self._buffer: collections.deque[bytes] = collections.deque()
        self._lines_available = trio.Event()
        self._pollable = not stat.S_ISREG(os.fstat(fileno).st_mode)
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer one line, or drop it if the buffer is full."""
        if len(self._buffer) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            return
        self._buffer.append(self.format(record).encode() + b'\n')
        self._lines_available.set()

    async def run(self) -> typing.NoReturn:
        """Write lines until cancelled."""
        while True:
            if not self._buffer:
                self._lines_available = trio.Event()
                await self._lines_available.wait()
            await self._write_batch()

    async def drain(self) -> None:
        """Write the buffered lines, for at most `FLUSH_TIMEOUT_S` seconds."""
        with trio.CancelScope(shield=True):
            with trio.move_on_after(FLUSH_TIMEOUT_S):
                while self._buffer:
                    await self._write_batch()

    async def _write_batch(self) -> None:
        data = self._take_batch()
        while data:
            await self._wait_writable()
            try:
                written = os.write(self._fileno, data[:MAX_WRITE_BYTES])
            except BlockingIOError:
                # A file that cannot be polled, such as a terminal.
                await trio.sleep(RETRY_INTERVAL_S)
                continue
            except OSError:
                # Nobody reads the log any more, or its file system is full.
                # Requests go on, and later lines may be written again.
                self.dropped += data.count(b'\n')
                await trio.sleep(RETRY_INTERVAL_S)
                return
            data = data[written:]

    async def _wait_writable(self) -> None:
        if not self._pollable:
            await trio.lowlevel.checkpoint()
            return
        try:
            await trio.lowlevel.wait_writable(self._fileno)
        except OSError:
            # Some devices cannot be polled; they accept every write at once.
            self._pollable = False

    def _take_batch(self) -> bytes:
        size = 0
        lines: list[bytes] = []
        while self._buffer and size < MAX_WRITE_BYTES:
            lines.append(self._buffer.popleft())
            size += len(lines[-1])
        return b''.join(lines)
