"""Relays the complete events of an engine's stream."""

import collections.abc
import typing

from corianderloft._internal.entry import sse


class Sink(typing.Protocol):
    """Receives complete events."""

    def append(self, events: bytes) -> int:
        """Store events and return the number of new tokens."""

    async def send(self, events: bytes) -> None:
        """Send events to the caller."""


class StreamRelay:
    """Forwards received chunks of a stream as complete events.

    Parameters
    ----------
    event_buffer : EventBuffer
        Assembles chunks into complete events.
    on_tokens : callable
        Called with the number of new tokens at each flush.
    sink : Sink
        Receives complete events.
    first_events : bytes
        Complete events that have already arrived.

    Attributes
    ----------
    pending_chunks : list of bytes
        Chunks received since the last flush.
    complete : bool
        Whether the final event of the stream was forwarded.
    """

    def __init__(
        self,
        event_buffer: sse.EventBuffer,
        on_tokens: collections.abc.Callable[[int], None],
        sink: Sink,
        first_events: bytes,
    ) -> None:
        self.pending_chunks: list[bytes] = []
        self.complete = False
        self._pending_events = first_events
        self._event_buffer = event_buffer
        self._on_tokens = on_tokens
        self._sink = sink

    async def flush(self) -> bool:
        """Forward all complete events.

        Returns
        -------
        bool
            Whether the stream has made progress: comments and parts of an
            event are none, since a stalled engine may still send them.
        """
        events = self._pending_events
        if self.pending_chunks:
            events += self._event_buffer.feed(b''.join(self.pending_chunks))
            self.pending_chunks.clear()
        if not events or self.complete:
            return False
        self._pending_events = b''
        events = sse.until_done(events)
        self._on_tokens(self._sink.append(events))
        self.complete = events.endswith(sse.DONE)
        await self._sink.send(events)
        return sse.has_content(events)
