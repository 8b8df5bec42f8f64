"""Writes of independent keys, gathered into few transactions."""

import collections
import collections.abc
import dataclasses
import typing

import trio

from corianderloft._internal.kv import interface as kv_interface
from corianderloft._internal.models import ids

MAX_BATCH = 32
MAX_BATCH_BYTES = 524288
MAX_WAITING = 4096


@dataclasses.dataclass(eq=False)
class PendingWrite:
    """A write on its way.

    Attributes
    ----------
    compare : Compare
        Condition on the key.
    operation : Put or Delete
        The write.
    outcome : Write
        How it ended, once `done` is set.
    done : trio.Event
        Set when the outcome is known.
    abandoned : bool
        Nobody waits any more; the write need not be sent.
    """

    compare: kv_interface.Compare
    operation: kv_interface.Put | kv_interface.Delete
    outcome: kv_interface.Write = kv_interface.Unavailable('not sent')
    done: trio.Event = dataclasses.field(default_factory=trio.Event)
    abandoned: bool = False

    def finish(self, outcome: kv_interface.Write) -> None:
        """Set the outcome and wake who waits."""
        self.outcome = outcome
        self.done.set()


class WriteBatcher:
    """Sends waiting writes together, one transaction at a time.

    Parameters
    ----------
    kv : KeyValueClient
        The service.
    interval : callable
        Returns the least time between transactions in seconds.
    """

    def __init__(
        self,
        kv: kv_interface.KeyValueClient,
        interval: collections.abc.Callable[[], float],
    ) -> None:
        self._kv = kv
        self._interval = interval
        self._waiting: collections.deque[PendingWrite] = collections.deque()
        self._wake = trio.Event()

    def submit(
        self,
        compare: kv_interface.Compare,
        operation: kv_interface.Put | kv_interface.Delete,
    ) -> PendingWrite:
        """Queue a write and return it without waiting."""
        pending = PendingWrite(compare, operation)
        if len(self._waiting) >= MAX_WAITING:
            pending.finish(kv_interface.Unavailable('too many claims wait'))
            return pending
        self._waiting.append(pending)
        self._wake.set()
        return pending

    async def run(self) -> typing.NoReturn:
        """Send batches until cancelled."""
        while True:
            await self._wake.wait()
            started = trio.current_time()
            batch = self._take()
            if batch:
                await self._send(batch)
                await trio.sleep_until(started + self._interval())
            elif not self._waiting:
                self._wake = trio.Event()

    def _take(self) -> list[PendingWrite]:
        batch: list[PendingWrite] = []
        keys: set[str] = set()
        size = 0
        while self._waiting and len(batch) < MAX_BATCH:
            pending = self._waiting[0]
            size += len(getattr(pending.operation, 'value', b''))
            taken = pending.operation.key in keys
            if batch and (taken or size > MAX_BATCH_BYTES):
                break
            self._waiting.popleft()
            if pending.abandoned:
                pending.finish(kv_interface.Unavailable('not sent'))
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
                    pending.finish(outcome)
                return
            lost = _conflicting(batch, outcome)
            if not lost:
                # The reply does not show which key is in the way.
                lost = batch
            for pending in lost:
                pending.finish(_own_conflict(pending, outcome))
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


def _own_conflict(
    pending: PendingWrite, conflict: kv_interface.Conflict
) -> kv_interface.Conflict:
    own = (i for i in conflict.items if i.key == pending.compare.key)
    return kv_interface.Conflict(conflict.revision, tuple(own))
