"""Writes one response to its caller."""

import trio

from corianderloft._internal.gateway import refusals
from corianderloft._internal.gateway import sending
from corianderloft._internal.network import exchange


class ResponseWriter:
    """Writes heads, events and ends, each of them whole.

    Writes are shielded from cancellation: a partial write would leave the
    connection in an undefined state. A caller that does not read is
    disconnected by the server's stall timeout.

    Parameters
    ----------
    caller : Exchange
        Receives the response.
    closes_connection : bool
        Whether the caller's connection is closed after the response.

    Attributes
    ----------
    first_byte_at : float or None
        When the response started, on trio's clock, in seconds.
    status : int or None
        Status of the response of a server that was passed on.
    longest_gap : float
        Longest time between two writes of stream events, in seconds.
    ended_by : ResponseEnd
        What ended the complete response of a server.
    """

    def __init__(
        self, caller: exchange.Exchange, closes_connection: bool
    ) -> None:
        self._caller = caller
        self._closes_connection = closes_connection
        self._last_event_at = 0.0
        self.first_byte_at: float | None = None
        self.status: int | None = None
        self.longest_gap = 0.0
        self.ended_by = sending.ResponseEnd.NONE

    def caller_has_left(self) -> bool:
        """Return whether the caller has closed the connection by now."""
        return self._caller.caller_has_left()

    async def deliver(
        self, received: sending.ReceivedHead, body: bytes
    ) -> None:
        """Write a whole response of a server."""
        self.first_byte_at = trio.current_time()
        self.status = received.status
        self.ended_by = received.end
        headers = self._headers(received)
        with trio.CancelScope(shield=True):
            await self._caller.respond_raw(received.status, headers, body)

    async def refuse(self, refusal: refusals.Refusal) -> None:
        """Write a response of this host."""
        headers = refusal.headers()
        if self._closes_connection and not refusal.closes_connection:
            headers.append((b'connection', b'close'))
        with trio.CancelScope(shield=True):
            await self._caller.respond_raw(
                refusal.status, headers, refusal.body()
            )

    async def send_events(
        self, received: sending.ReceivedHead, events: bytes
    ) -> None:
        """Write events, and before the first ones the head."""
        with trio.CancelScope(shield=True):
            await self._start(received)
            now = trio.current_time()
            if self._last_event_at:
                gap = now - self._last_event_at
                self.longest_gap = max(self.longest_gap, gap)
            self._last_event_at = now
            await self._caller.send_events(events)

    async def end(self, received: sending.ReceivedHead) -> None:
        """Write the end of a stream."""
        self.ended_by = received.end
        with trio.CancelScope(shield=True):
            await self._start(received)
            await self._caller.end_stream()

    def abort(self) -> None:
        """Close the connection, which shows that the response is cut."""
        self._caller.abort()

    async def _start(self, received: sending.ReceivedHead) -> None:
        if self._caller.started:
            return
        self.first_byte_at = trio.current_time()
        self.status = received.status
        await self._caller.start(received.status, self._headers(received))

    def _headers(self, received: sending.ReceivedHead) -> exchange.Headers:
        headers = [
            (name, value)
            for name, value in received.head.forwarded_headers
            if name.lower() != b'content-length'
        ]
        if self._closes_connection:
            headers.append((b'connection', b'close'))
        return headers
