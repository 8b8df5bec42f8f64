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
        await self._take_slot(sink.priority)
        in_slot = True
        try:
            await trio.sleep(self._prefill(arrival, skip) * self.slow_factor)
            sent = skip
            while sent < arrival.answer:
                chunk = min(_CHUNK, arrival.answer - sent)
                if sent == skip:
                    chunk = 1
                elif self._gives_way(sink.priority):
                    self._free_slot()
                    in_slot = False
                    await self._take_slot(sink.priority)
                    in_slot = True
                await trio.sleep(chunk * self._gap())
                if sent == skip:
                    sink.first_token()
                sent += chunk
                self.generated += chunk
                sink.progress(chunk)
                deliver(chunk)
        finally:
            if in_slot:
                self._free_slot()

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

    def _gives_way(self, priority: int) -> bool:
        if not self._preempts:
            return False
        return any(wanted < priority for wanted, _, _ in self._waiting)

    async def _take_slot(self, priority: int) -> None:
        if self.running < workload.SLOTS:
            self.running += 1
            return
        event = trio.Event()
        entry = (priority, next(self._sequence), event)
        heapq.heappush(self._waiting, entry)
        try:
            await event.wait()
        except trio.Cancelled:
            if event.is_set():
                self._free_slot()
            else:
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)
            raise

    def _free_slot(self) -> None:
        """Hand the slot to the next in the queue, or leave it empty."""
        if self._waiting:
            heapq.heappop(self._waiting)[2].set()
        else:
            self.running -= 1
