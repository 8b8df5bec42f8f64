"""Batches writes of independent keys into few transactions."""

import collections
import collections.abc
import dataclasses
import typing

import trio

from corianderloft._internal.kv import interface as kv_interface
from corianderloft._internal.models import ids

MAX_BATCH_WRITES = 32
MAX_BATCH_BYTES = 524288
MAX_QUEUED_WRITES = 4096


@dataclasses.dataclass(eq=False)
class PendingWrite:
    """A queued or running write.

    Attributes
    ----------
    compare : Compare
        Condition on the revision of the key.
    operation : Put or Delete
        The write.
    outcome : Write
        Result of the write, valid once `done` is set.
    done : trio.Event
        Set when the outcome is known.
    abandoned : bool
        No task waits for the outcome; the write need not be sent.
    """

    compare: kv_interface.Compare
    operation: kv_interface.Put | kv_interface.Delete
    outcome: kv_interface.Write = kv_interface.Unavailable('not sent')
    done: trio.Event = dataclasses.field(default_factory=trio.Event)
    abandoned: bool = False

    def set_outcome(self, outcome: kv_interface.Write) -> None:
        """Set the outcome and wake the waiting task."""
        self.outcome = outcome
        self.done.set()


class WriteBatcher:
    """Sends queued writes in batches, one transaction at a time.

    Parameters
    ----------
    kv : KeyValueClient
        Client of the key-value service.
    min_interval : callable
        Returns the minimum time between the starts of two batches, in
        seconds.
    """

    def __init__(
        self,
        kv: kv_interface.KeyValueClient,
        min_interval: collections.abc.Callable[[], float],
    ) -> None:
        self._kv = kv
        self._min_interval = min_interval
        self._queue: collections.deque[PendingWrite] = collections.deque()
        self._wake = trio.Event()

    def submit(
        self,
        compare: kv_interface.Compare,
        operation: kv_interface.Put | kv_interface.Delete,
    ) -> PendingWrite:
        """Queue a write and return it without waiting for its outcome."""
        pending = PendingWrite(compare, operation)
        if len(self._queue) >= MAX_QUEUED_WRITES:
            pending.set_outcome(
                kv_interface.Unavailable('too many claims wait')
            )
            return pending
        self._queue.append(pending)
        self._wake.set()
        return pending

    async def run(self) -> typing.NoReturn:
        """Send batches until cancelled."""
        while True:
            await self._wake.wait()
            started = trio.current_time()
            batch = self._next_batch()
            if batch:
                await self._send(batch)
                await trio.sleep_until(started + self._min_interval())
            elif not self._queue:
                self._wake = trio.Event()

    def _next_batch(self) -> list[PendingWrite]:
        batch: list[PendingWrite] = []
        keys: set[str] = set()
        size = 0
        while self._queue and len(batch) < MAX_BATCH_WRITES:
            pending = self._queue[0]
            size += len(getattr(pending.operation, 'value', b''))
            key_in_batch = pending.operation.key in keys
            if batch and (key_in_batch or size > MAX_BATCH_BYTES):
                break
            self._queue.popleft()
            if pending.abandoned:
                pending.set_outcome(kv_interface.Unavailable('not sent'))
                continue
            keys.add(pending.operation.key)
            batch.append(pending)
        return batch

    async def _send(self, batch: list[PendingWrite]) -> None:
        while batch:
            outcome = await self._kv.transact(
                [pending.compare for pending in batch],
                [pending.operation for pending in batch],
            )
            if not isinstance(outcome, kv_interface.Conflict):
                for pending in batch:
                    pending.set_outcome(outcome)
                return
            conflicting = _conflicting(batch, outcome)
            if not conflicting:
                # The reply does not show which key conflicts.
                conflicting = batch
            for pending in conflicting:
                pending.set_outcome(_conflict_for(pending, outcome))
            batch = [p for p in batch if not p.done.is_set()]


def _conflicting(
    batch: list[PendingWrite], conflict: kv_interface.Conflict
) -> list[PendingWrite]:
    revisions = {item.key: item.mod_revision for item in conflict.items}
    return [
        pending
        for pending in batch
        if revisions.get(pending.compare.key, ids.Revision(0))
        != pending.compare.mod_revision
    ]


def _conflict_for(
    pending: PendingWrite, conflict: kv_interface.Conflict
) -> kv_interface.Conflict:
    current = (i for i in conflict.items if i.key == pending.compare.key)
    return kv_interface.Conflict(conflict.revision, tuple(current))
