"""A simulated model engine that runs in virtual time."""

import collections.abc
import heapq
import itertools
import typing

import trio

from bench.policy import workload
from corianderloft._internal.decisions import interface

_TOKENS_PER_STEP = 8
"""Tokens generated before the engine state is read again."""

_MAX_CACHED_PREFIXES = 40
_CACHED_PROMPT_FRACTION = 0.7
"""Fraction of the prompt tokens that a cached prefix covers."""


class Sink(typing.Protocol):
    """Receiver of the progress of a stream, such as a grant."""

    priority: int

    def first_token(self) -> None:
        """Record the first token."""

    def progress(self, tokens: int) -> None:
        """Record further tokens."""


class _Stream:
    """A request that runs or is queued in the engine."""

    def __init__(self, sink: Sink) -> None:
        self.sink = sink
        self.preempted = trio.Event()


class FakeEngine:
    """Engine with continuous batching and a priority queue.

    It can be slowed down and crashed. With preemption, a running request is
    paused when one of a higher priority is queued.

    Attributes
    ----------
    running : int
        Requests that occupy a slot.
    slow_factor : float
        Factor on all processing times; 1 for a healthy engine.
    up : bool
        Whether the engine accepts connections.
    generated : int
        Tokens generated so far.
    """

    def __init__(self, preemption: bool = False) -> None:
        self.running = 0
        self.slow_factor = 1.0
        self.up = True
        self.generated = 0
        self._preemption = preemption
        self._waiting: list[tuple[int, int, trio.Event]] = []
        self._sequence = itertools.count()
        self._scopes: set[trio.CancelScope] = set()
        self._cache: dict[int, None] = {}
        self._streams: dict[_Stream, None] = {}

    @property
    def waiting(self) -> int:
        """Requests queued in the engine."""
        return len(self._waiting)

    @property
    def load(self) -> int:
        """Requests that occupy a slot or are queued."""
        return self.running + self.waiting

    def crash(self) -> None:
        """Drop all requests and the cache, and refuse new connections."""
        self.up = False
        self._cache.clear()
        for scope in list(self._scopes):
            scope.cancel()

    async def run(
        self,
        arrival: workload.Arrival,
        skip: int,
        sink: Sink,
        deliver: collections.abc.Callable[[int], None],
    ) -> interface.AttemptEnd:
        """Stream the answer, starting after its first ``skip`` tokens.

        Returns
        -------
        AttemptEnd
            How the attempt ended.
        """
        if not self.up:
            return interface.AttemptEnd.CONNECT_FAILED
        scope = trio.CancelScope()
        self._scopes.add(scope)
        try:
            with scope:
                await self._stream(arrival, skip, sink, deliver)
        finally:
            self._scopes.discard(scope)
        if scope.cancelled_caught:
            return interface.AttemptEnd.CONNECTION_LOST
        return interface.AttemptEnd.COMPLETE

    async def _stream(
        self,
        arrival: workload.Arrival,
        skip: int,
        sink: Sink,
        deliver: collections.abc.Callable[[int], None],
    ) -> None:
        stream = _Stream(sink)
        await self._acquire_slot(stream)
        try:
            await self._run_prefill(stream, arrival, skip)
            sent = skip
            while sent < arrival.answer_tokens:
                step_tokens = 1 if sent == skip else _TOKENS_PER_STEP
                tokens = await self._generate(
                    stream, min(step_tokens, arrival.answer_tokens - sent)
                )
                if tokens and sent == skip:
                    sink.first_token()
                sent += tokens
                self.generated += tokens
                sink.progress(tokens)
                deliver(tokens)
                if stream.preempted.is_set() and sent < arrival.answer_tokens:
                    await self._pause(stream)
                    await self._run_prefill(stream, arrival, sent)
        finally:
            if stream in self._streams:
                self._release_slot(stream)

    async def _run_prefill(
        self, stream: _Stream, arrival: workload.Arrival, sent: int
    ) -> None:
        """Prefill the prompt; start over after each preemption."""
        while True:
            seconds = self._prefill_s(arrival, sent) * self.slow_factor
            with trio.move_on_after(seconds) as prefill:
                await stream.preempted.wait()
            if prefill.cancelled_caught:
                return
            await self._pause(stream)

    async def _generate(self, stream: _Stream, tokens: int) -> int:
        """Generate up to ``tokens``; return fewer if preempted."""
        interval = self._token_interval_s()
        start = trio.current_time()
        with trio.move_on_after(tokens * interval):
            await stream.preempted.wait()
            return int((trio.current_time() - start) / interval)
        return tokens

    async def _pause(self, stream: _Stream) -> None:
        self._release_slot(stream)
        stream.preempted = trio.Event()
        await self._acquire_slot(stream)

    def _token_interval_s(self) -> float:
        batch_factor = 0.8 + 0.2 * self.running / workload.SLOTS_PER_ENGINE
        return workload.TOKEN_INTERVAL_S * batch_factor * self.slow_factor

    def _prefill_s(self, arrival: workload.Arrival, skip: int) -> float:
        tokens = float(arrival.prompt_tokens + skip)
        if arrival.prefix in self._cache:
            del self._cache[arrival.prefix]
            tokens *= 1 - _CACHED_PROMPT_FRACTION
        self._cache[arrival.prefix] = None
        if len(self._cache) > _MAX_CACHED_PREFIXES:
            del self._cache[next(iter(self._cache))]
        return tokens / workload.PREFILL_TOKENS_PER_S

    async def _acquire_slot(self, stream: _Stream) -> None:
        if self.running < workload.SLOTS_PER_ENGINE:
            self.running += 1
        else:
            await self._wait_for_slot(stream.sink.priority)
        self._streams[stream] = None

    async def _wait_for_slot(self, priority: int) -> None:
        event = trio.Event()
        entry = (priority, next(self._sequence), event)
        heapq.heappush(self._waiting, entry)
        if self._preemption:
            self._preempt(priority)
        try:
            await event.wait()
        except trio.Cancelled:
            if event.is_set():
                self._free_slot()
            else:
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)
            raise

    def _preempt(self, priority: int) -> None:
        """Preempt the running stream that ranks lowest.

        Does nothing if no running stream ranks below ``priority``. A lower
        number ranks higher; of equal ones the latest to start is taken.
        """
        victim = max(
            (s for s in reversed(self._streams) if not s.preempted.is_set()),
            key=lambda stream: stream.sink.priority,
            default=None,
        )
        if victim is not None and victim.sink.priority > priority:
            victim.preempted.set()

    def _release_slot(self, stream: _Stream) -> None:
        del self._streams[stream]
        self._free_slot()

    def _free_slot(self) -> None:
        """Assign the slot to the first queued request, if any."""
        if self._waiting:
            heapq.heappop(self._waiting)[2].set()
        else:
            self.running -= 1
