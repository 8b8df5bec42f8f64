"""Answers of streams, kept for callers that lose their connection."""

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
class _Block:
    """Events that went out together.

    Attributes
    ----------
    before, after : int
        Tokens delivered before and with these events.
    """

    before: int
    after: int
    events: bytes


class Answer:
    """The answer to one chat completion, as far as it went.

    Parameters
    ----------
    call : ChatCall
        The request.
    record : Record
        What happens to it.
    kept_bytes : int
        Bytes of the end of the answer that are kept.

    Attributes
    ----------
    tokens : int
        Tokens delivered so far.
    complete : bool
        Whether the last event was delivered.
    model : ModelVersion or None
        Model version that began the answer; only it can go on.
    viewer : Exchange or None
        Connection that receives the events.
    running : Running or None
        The work that produces them; None while nobody does.
    """

    def __init__(
        self, call: calls.ChatCall, record: records.Record, kept_bytes: int
    ) -> None:
        self.call = call
        self.record = record
        self.tokens = call.have
        self.complete = False
        self.model = call.model
        self.viewer: exchange.Exchange | None = None
        self.running: inflight.Running | None = None
        self.idle_since = trio.current_time()
        self._kept_bytes = kept_bytes
        self._blocks: collections.deque[_Block] = collections.deque()
        self._bytes = 0
        self._delivered = 0

    @property
    def size(self) -> int:
        """Bytes of events that are kept."""
        return self._bytes

    def take(self, events: bytes) -> int:
        """Keep new events.

        Returns
        -------
        int
            New tokens in them.

        Raises
        ------
        ValueError
            If the events do not follow those before.
        """
        number = sse.last_id(events)
        before = self.tokens
        after = before if number is None else number
        if after < before:
            raise ValueError(f'token {after} came after token {before}')
        self._keep(_Block(before, after, events))
        self.tokens = after
        self.record.tokens += after - before
        if self.viewer is None:
            self.record.wasted_tokens += after - before
        self.complete = events.endswith(sse.DONE)
        return after - before

    async def send(self, events: bytes) -> None:
        """Pass events that were taken on to the caller."""
        viewer = self.viewer
        if viewer is None:
            return
        if not viewer.started:
            await viewer.start_stream(self.headers())
        await viewer.send_events(events)
        if self.complete:
            await viewer.end_stream()

    def headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers that every answer carries."""
        caller_id = self.call.origin.caller_id
        headers = [(b'x-request-id', caller_id.encode('ascii'))]
        if self.model is not None:
            headers.append((b'x-model-version', self.model.encode('latin-1')))
        return headers

    def covers(self, count: int) -> bool:
        """Return whether all events behind token ``count`` are kept."""
        if not self._blocks:
            return count == self.tokens
        return self._blocks[0].before <= count

    async def attach(self, http: exchange.Exchange, count: int) -> bool:
        """Send the events behind token ``count`` to a new connection.

        The connection that had the answer so far is closed.

        Returns
        -------
        bool
            False when the new connection is too slow to catch up.
        """
        previous, self.viewer = self.viewer, None
        if previous is not None:
            previous.abort()
        missing = b''.join(
            sse.events_after(block.events, count)
            for block in self._blocks
            if block.after >= count
        )
        position = self._delivered
        while missing:
            await http.send_events(missing)
            dropped = self._delivered - len(self._blocks)
            if position < dropped:
                return False
            missing = b''.join(
                block.events
                for block in list(self._blocks)[position - dropped :]
            )
            position = self._delivered
        self.viewer = http
        if self.complete:
            await http.end_stream()
        return True

    def rewind(self, count: int) -> None:
        """Forget what is kept; the answer goes on behind token ``count``."""
        self._blocks.clear()
        self._bytes = 0
        self.tokens = count
        self.complete = False

    def _keep(self, block: _Block) -> None:
        self._blocks.append(block)
        self._delivered += 1
        self._bytes += len(block.events)
        while self._bytes > self._kept_bytes and len(self._blocks) > 1:
            self._bytes -= len(self._blocks.popleft().events)


class Answers:
    """Answers of this host, by request.

    Parameters
    ----------
    kept_time : float
        Time that an answer is kept once nobody works on it, in seconds.
    kept_bytes : int
        Bound on all answers that nobody works on, in bytes.
    """

    def __init__(self, kept_time: float, kept_bytes: int) -> None:
        self._kept_time = kept_time
        self._kept_bytes = kept_bytes
        self._answers: dict[ids.RequestId, Answer] = {}

    def __len__(self) -> int:
        return len(self._answers)

    def add(self, answer: Answer) -> bool:
        """Keep a new answer; False if its request id is running."""
        request_id = answer.call.origin.request_id
        known = self._answers.get(request_id)
        if known is not None and known.running is not None:
            return False
        self._answers.pop(request_id, None)
        self._answers[request_id] = answer
        return True

    def find(
        self, workspace: ids.WorkspaceId, caller_id: str
    ) -> Answer | None:
        """Return the workspace's own answer, or None."""
        return self._answers.get(calls.qualified(workspace, caller_id))

    def forget(self, answer: Answer) -> None:
        """Keep an answer no longer."""
        request_id = answer.call.origin.request_id
        if self._answers.get(request_id) is answer:
            del self._answers[request_id]

    def drop_old(self) -> None:
        """Forget what nobody came back for, and what is too much."""
        oldest = trio.current_time() - self._kept_time
        idle = [a for a in self._answers.values() if a.running is None]
        idle.sort(key=lambda answer: answer.idle_since, reverse=True)
        kept = 0
        for answer in idle:
            kept += answer.size
            if answer.idle_since < oldest or kept > self._kept_bytes:
                self.forget(answer)
