"""Passes the whole events of an engine's stream on."""

import collections.abc
import typing

from corianderloft._internal.entry import sse


class Sink(typing.Protocol):
    """Where whole events go."""

    def take(self, events: bytes) -> int:
        """Keep events and return the tokens in them."""

    async def send(self, events: bytes) -> None:
        """Pass events on to the caller."""


class Relayed:
    """Pieces of a stream that arrived and did not go out yet.

    Parameters
    ----------
    cutter : EventBuffer
        Cuts the pieces into whole events.
    saw_tokens : callable
        Told how many tokens go out.
    sink : Sink
        Where whole events go.
    first : bytes
        Whole events that arrived already.

    Attributes
    ----------
    pieces : list of bytes
        What has arrived since the last flush.
    complete : bool
        Whether the last event of the stream went out.
    """

    def __init__(
        self,
        cutter: sse.EventBuffer,
        saw_tokens: collections.abc.Callable[[int], None],
        sink: Sink,
        first: bytes,
    ) -> None:
        self.pieces: list[bytes] = []
        self.complete = False
        self._whole = first
        self._cutter = cutter
        self._saw_tokens = saw_tokens
        self._sink = sink

    async def flush(self) -> None:
        """Pass on all whole events."""
        events = self._whole
        if self.pieces:
            events += self._cutter.feed(b''.join(self.pieces))
            self.pieces.clear()
        if not events or self.complete:
            return
        self._whole = b''
        self._saw_tokens(self._sink.take(events))
        self.complete = events.endswith(sse.DONE)
        await self._sink.send(events)
