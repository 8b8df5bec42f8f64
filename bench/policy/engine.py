"""A small fake of a model engine, in virtual time."""

import collections.abc
import heapq
import itertools
import typing

import trio

from bench.policy import workload
from corianderloft._internal.decisions import interface

_CHUNK = 8
"""Tokens between two looks at the engine's state."""

_CACHE_ENTRIES = 40
_CACHED_PART = 0.7
"""Part of a prompt that a cached prefix covers."""


class Sink(typing.Protocol):
    """Where a stream goes: a grant."""

    priority: int

    def first_token(self) -> None:
        """Note the first token."""

    def progress(self, tokens: int) -> None:
        """Note more tokens."""


class _Stream:
    """One request inside the engine."""

    def __init__(self, sink: Sink) -> None:
        self.sink = sink
        self.give_way = trio.Event()


class FakeEngine:
    """Batches continuously, queues by priority, slows down and crashes.

    Attributes
    ----------
    running : int
        Requests in slots.
    slow_factor : float
        How many times slower than healthy it is.
    up : bool
        Whether it answers at all.
    generated : int
        Tokens generated so far.
    """

    def __init__(self, preempts: bool = False) -> None:
        self.running = 0
        self.slow_factor = 1.0
        self.up = True
        self.generated = 0
        self._preempts = preempts
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
        """Requests in slots or queued."""
        return self.running + self.waiting

    def crash(self) -> None:
        """Lose all requests and answer no more."""
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
        """Stream the answer after token ``skip``."""
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
        await self._take_slot(stream)
        try:
            await self._read_prompt(stream, arrival, skip)
            sent = skip
            while sent < arrival.answer:
                most = 1 if sent == skip else _CHUNK
                tokens = await self._generate(
                    stream, min(most, arrival.answer - sent)
                )
                if tokens and sent == skip:
                    sink.first_token()
                sent += tokens
                self.generated += tokens
                sink.progress(tokens)
                deliver(tokens)
                if stream.give_way.is_set() and sent < arrival.answer:
                    await self._pause(stream)
                    await self._read_prompt(stream, arrival, sent)
        finally:
            if stream in self._streams:
                self._leave_slot(stream)

    async def _read_prompt(
        self, stream: _Stream, arrival: workload.Arrival, sent: int
    ) -> None:
        """Read a prompt; begin again after giving way."""
        while True:
            seconds = self._prefill(arrival, sent) * self.slow_factor
            with trio.move_on_after(seconds) as reading:
                await stream.give_way.wait()
            if reading.cancelled_caught:
                return
            await self._pause(stream)

    async def _generate(self, stream: _Stream, tokens: int) -> int:
        """Return tokens generated until done or told to give way."""
        gap = self._gap()
        began = trio.current_time()
        with trio.move_on_after(tokens * gap):
            await stream.give_way.wait()
            return int((trio.current_time() - began) / gap)
        return tokens

    async def _pause(self, stream: _Stream) -> None:
        self._leave_slot(stream)
        stream.give_way = trio.Event()
        await self._take_slot(stream)

    def _gap(self) -> float:
        batch = 0.8 + 0.2 * self.running / workload.SLOTS
        return workload.TOKEN_GAP * batch * self.slow_factor

    def _prefill(self, arrival: workload.Arrival, skip: int) -> float:
        tokens = float(arrival.prompt + skip)
        if arrival.prefix in self._cache:
            del self._cache[arrival.prefix]
            tokens *= 1 - _CACHED_PART
        self._cache[arrival.prefix] = None
        if len(self._cache) > _CACHE_ENTRIES:
            del self._cache[next(iter(self._cache))]
        return tokens / workload.PREFILL_RATE

    async def _take_slot(self, stream: _Stream) -> None:
        if self.running < workload.SLOTS:
            self.running += 1
        else:
            await self._queue(stream.sink.priority)
        self._streams[stream] = None

    async def _queue(self, priority: int) -> None:
        event = trio.Event()
        entry = (priority, next(self._sequence), event)
        heapq.heappush(self._waiting, entry)
        if self._preempts:
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
        """Tell the worst running stream to give way to ``priority``."""
        worst = max(
            (s for s in reversed(self._streams) if not s.give_way.is_set()),
            key=lambda stream: stream.sink.priority,
            default=None,
        )
        if worst is not None and worst.sink.priority > priority:
            worst.give_way.set()

    def _leave_slot(self, stream: _Stream) -> None:
        del self._streams[stream]
        self._free_slot()

    def _free_slot(self) -> None:
        """Hand the slot to the next in the queue, or leave it empty."""
        if self._waiting:
            heapq.heappop(self._waiting)[2].set()
        else:
            self.running -= 1
