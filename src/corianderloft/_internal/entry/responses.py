"""Buffered chat responses, so that callers can resume a lost stream."""

import collections
import dataclasses

import trio

from corianderloft._internal.entry import calls
from corianderloft._internal.entry import inflight
from corianderloft._internal.entry import records
from corianderloft._internal.entry import sse
from corianderloft._internal.models import ids
from corianderloft._internal.network import exchange


@dataclasses.dataclass(frozen=True)
class _EventBlock:
    """Events that were sent in one write.

    Attributes
    ----------
    tokens_before, tokens_after : int
        Total tokens delivered before and after these events.
    """

    tokens_before: int
    tokens_after: int
    events: bytes


class ChatResponse:
    """The response to one chat completion, as far as it is generated.

    Parameters
    ----------
    call : ChatCall
        The request.
    record : Record
        Record of the request's progress.
    max_bytes : int
        Bytes of the most recent events that stay buffered.

    Attributes
    ----------
    tokens : int
        Tokens delivered so far.
    complete : bool
        Whether the final event was delivered.
    model : ModelVersion or None
        Model version that started the response; no other can resume it.
    receiver : Exchange or None
        Client connection that receives the events.
    task : RequestTask or None
        Task that generates the events; None while no task is active.
    idle_since : float
        When the last task ended, on Trio's clock, in seconds.
    """

    def __init__(
        self,
        call: calls.ChatCall,
        record: records.RequestRecord,
        max_bytes: int,
    ) -> None:
        self.call = call
        self.record = record
        self.tokens = call.resume_after
        self.complete = False
        self.model = call.model
        self.receiver: exchange.Exchange | None = None
        self.task: inflight.RequestTask | None = None
        self.idle_since = trio.current_time()
        self._max_bytes = max_bytes
        self._blocks: collections.deque[_EventBlock] = collections.deque()
        self._buffered_bytes = 0
        self._blocks_appended = 0

    @property
    def size(self) -> int:
        """Size of the buffered events, in bytes."""
        return self._buffered_bytes

    def append(self, events: bytes) -> int:
        """Append new events to the buffer.

        Returns
        -------
        int
            Number of new tokens.

        Raises
        ------
        ValueError
            If a token came before, or is out of order.
        """
        tokens_before = self.tokens
        tokens_after = sse.last_token(events, tokens_before)
        self._append_block(_EventBlock(tokens_before, tokens_after, events))
        self.tokens = tokens_after
        self.record.tokens += tokens_after - tokens_before
        if self.receiver is None:
            self.record.wasted_tokens += tokens_after - tokens_before
        self.complete = events.endswith(sse.DONE)
        return tokens_after - tokens_before

    async def send(self, events: bytes) -> None:
        """Send appended events to the caller, if one is connected."""
        receiver = self.receiver
        if receiver is None:
            return
        if not receiver.started:
            await receiver.start_stream(self.headers())
        await receiver.send_events(events)
        if self.complete:
            await receiver.end_stream()

    def headers(self) -> list[tuple[bytes, bytes]]:
        """Return the response headers."""
        caller_request_id = self.call.origin.caller_request_id
        headers = [(b'x-request-id', caller_request_id.encode('ascii'))]
        if self.model is not None:
            headers.append((b'x-model-version', self.model.encode('latin-1')))
        return headers

    def can_resume_after(self, last_token: int) -> bool:
        """Return whether all events after ``last_token`` are buffered."""
        if not self._blocks:
            return last_token == self.tokens
        return self._blocks[0].tokens_before <= last_token

    async def attach(self, http: exchange.Exchange, last_token: int) -> bool:
        """Move the response to a new connection.

        Closes the previous connection and sends the buffered events after
        ``last_token``.

        Returns
        -------
        bool
            False if events were evicted before the new connection could
            catch up.
        """
        previous, self.receiver = self.receiver, None
        if previous is not None:
            previous.abort()
        pending = b''.join(
            sse.events_after(block.events, last_token)
            for block in self._blocks
            if block.tokens_after >= last_token
        )
        sent_blocks = self._blocks_appended
        while pending:
            await http.send_events(pending)
            evicted_blocks = self._blocks_appended - len(self._blocks)
            if sent_blocks < evicted_blocks:
                return False
            pending = b''.join(
                block.events
                for block in list(self._blocks)[sent_blocks - evicted_blocks :]
            )
            sent_blocks = self._blocks_appended
        self.receiver = http
        if self.complete:
            await http.end_stream()
        return True

    def rewind(self, last_token: int) -> None:
        """Clear the buffer, to generate again after ``last_token``."""
        self._blocks.clear()
        self._buffered_bytes = 0
        self.tokens = last_token
        self.complete = False

    def _append_block(self, block: _EventBlock) -> None:
        self._blocks.append(block)
        self._blocks_appended += 1
        self._buffered_bytes += len(block.events)
        while self._buffered_bytes > self._max_bytes and len(self._blocks) > 1:
            self._buffered_bytes -= len(self._blocks.popleft().events)


class ResponseStore:
    """Chat responses of this host, by request id.

    Parameters
    ----------
    retention_s : float
        How long an idle response is kept, in seconds.
    max_idle_bytes : int
        Limit on the total size of all idle responses, in bytes.
    """

    def __init__(self, retention_s: float, max_idle_bytes: int) -> None:
        self._retention_s = retention_s
        self._max_idle_bytes = max_idle_bytes
        self._responses: dict[ids.RequestId, ChatResponse] = {}

    def __len__(self) -> int:
        return len(self._responses)

    def add(self, response: ChatResponse) -> bool:
        """Add a response; return False if its request id is in flight."""
        request_id = response.call.origin.request_id
        existing = self._responses.get(request_id)
        if existing is not None and existing.task is not None:
            return False
        self._responses.pop(request_id, None)
        self._responses[request_id] = response
        return True

    def find(
        self, workspace: ids.WorkspaceId, caller_request_id: str
    ) -> ChatResponse | None:
        """Return the response to a request of this workspace, or None."""
        return self._responses.get(
            calls.qualified_request_id(workspace, caller_request_id)
        )

    def remove(self, response: ChatResponse) -> None:
        """Remove a response."""
        request_id = response.call.origin.request_id
        if self._responses.get(request_id) is response:
            del self._responses[request_id]

    def evict_expired(self) -> None:
        """Evict idle responses by age and, newest kept, by total size."""
        oldest = trio.current_time() - self._retention_s
        idle = [r for r in self._responses.values() if r.task is None]
        idle.sort(key=lambda response: response.idle_since, reverse=True)
        total_bytes = 0
        for response in idle:
            total_bytes += response.size
            if (
                response.idle_since < oldest
                or total_bytes > self._max_idle_bytes
            ):
                self.remove(response)
