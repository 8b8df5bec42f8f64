"""Replicates one prefix of the key-value service by reads and a watch."""

import collections.abc
import random
import typing

import trio

from corianderloft._internal.kv import interface as kv_interface
from corianderloft._internal.models import ids
from corianderloft._internal.shared.configuration import freshness
from corianderloft._internal.shared.configuration import layout
from corianderloft._internal.shared.configuration import restoring
from corianderloft._internal.shared import mirror

WATCH_REOPEN_S = 3.0
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0

ChangeCallback = collections.abc.Callable[
    [collections.abc.Sequence[mirror.Entry]], None
]


class Follower:
    """Keeps a mirror up to date with the key-value service.

    The watch is reopened about every `WATCH_REOPEN_S`, which bounds the
    delay of a change when a connection hangs without an error.

    Parameters
    ----------
    kv : KeyValueClient
        Client of the key-value service.
    copy : Mirror
        The local copy to update.
    on_change : callable
        Called with the entries that changed.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        kv: kv_interface.KeyValueClient,
        copy: mirror.Mirror,
        on_change: ChangeCallback,
        rng: random.Random,
    ) -> None:
        self._kv = kv
        self._copy = copy
        self._on_change = on_change
        self._rng = rng

    async def read(self) -> bool:
        """Read the whole prefix once; False if the service is unavailable."""
        found = await self._kv.get_prefix(self._copy.prefix)
        if isinstance(found, kv_interface.Unavailable):
            return False
        if not await self._write_back(found):
            return False
        self._publish(self._copy.load(found, self._removed_at(found)))
        return True

    async def _write_back(self, found: kv_interface.Found) -> bool:
        """Write what a restored service has lost.

        False if the prefix must be read again.
        """
        return True

    async def run(self) -> typing.NoReturn:
        """Keep the mirror up to date until cancelled."""
        backoff = INITIAL_BACKOFF_S
        in_sync = False
        while True:
            in_sync = in_sync or await self.read()
            if in_sync:
                in_sync = await self._watch_once()
            if in_sync:
                backoff = INITIAL_BACKOFF_S
                continue
            await trio.sleep(self._rng.uniform(0, backoff))
            backoff = min(MAX_BACKOFF_S, backoff * 2)

    async def _watch_once(self) -> bool:
        """Watch for about `WATCH_REOPEN_S`; False if a new read is needed."""
        after = ids.Revision(max(0, self._copy.revision - 1))
        with trio.move_on_after(self._rng.uniform(0.7, 1.3) * WATCH_REOPEN_S):
            async with self._kv.watch(self._copy.prefix, after) as events:
                async for event in events:
                    if isinstance(event, kv_interface.WatchEnded):
                        return False
                    if isinstance(event, kv_interface.WatchProgress):
                        continue
                    if not self._apply_event(event):
                        return False
        return True

    def _apply_event(self, event: kv_interface.WatchEvent) -> bool:
        """Apply one event; False if the prefix must be read again."""
        entry = _entry(event)
        self._publish(self._copy.apply(mirror.Delta(event.revision, (entry,))))
        return True

    def _removed_at(self, found: kv_interface.Found) -> ids.Revision:
        return found.revision

    def _publish(
        self, entries: collections.abc.Sequence[mirror.Entry]
    ) -> None:
        if entries:
            self._on_change(entries)


class ConfigurationFollower(Follower):
    """Follows the configuration and applies each change atomically.

    The events of one change are collected until its head arrives. If the
    change is not the direct successor of the applied one, the configuration
    is read again.

    Parameters
    ----------
    kv, copy, on_change, rng
        As for `Follower`.
    freshness_tracker : FreshnessTracker
        Records when the configuration was verified to be current.
    """

    def __init__(
        self,
        kv: kv_interface.KeyValueClient,
        copy: mirror.Mirror,
        on_change: ChangeCallback,
        rng: random.Random,
        freshness_tracker: freshness.FreshnessTracker,
    ) -> None:
        super().__init__(kv, copy, on_change, rng)
        self._freshness = freshness_tracker
        self._pending: tuple[mirror.Entry, ...] = ()

    async def read(self) -> bool:
        """Read the whole configuration once and check if it is current."""
        if not await super().read():
            return False
        requested_at = trio.current_time()
        if isinstance(await self._compare_head(), kv_interface.Written):
            self._freshness.verify(requested_at)
        return True

    async def _write_back(self, found: kv_interface.Found) -> bool:
        transactions = restoring.find_lost_changes(self._copy, found)
        for transaction in transactions:
            # If another host was faster, the next read finds it.
            await self._kv.transact(
                transaction.compares, transaction.operations
            )
        return not transactions

    async def verify(self) -> bool:
        """Check the service for a newer change and catch up if there is one.

        Returns
        -------
        bool
            False if the service is unavailable.
        """
        requested_at = trio.current_time()
        outcome = await self._compare_head()
        if isinstance(outcome, kv_interface.Written):
            self._freshness.verify(requested_at)
            return True
        if not isinstance(outcome, kv_interface.Conflict):
            return False
        if outcome.items:
            await self._catch_up(outcome.items[0])
            if self._copy.revision >= outcome.items[0].mod_revision:
                self._freshness.verify(requested_at)
        return True

    async def _compare_head(self) -> kv_interface.Write:
        """Compare the head key with the local revision, without a write.

        Unlike a read, the comparison never returns stale data.
        """
        return await self._kv.transact(
            [kv_interface.Compare(layout.HEAD_KEY, self._copy.revision)], []
        )

    async def _catch_up(self, item: kv_interface.KeyValue) -> None:
        """Read the keys listed in the head ``item``, or all keys."""
        head = layout.HEAD.validate_json(item.value)
        entries: tuple[mirror.Entry, ...] = ()
        if head.previous == self._copy.revision:
            entries = await self._read_keys(head, item)
        if entries and head.previous == self._copy.revision:
            delta = mirror.Delta(item.mod_revision, entries)
            self._publish(self._copy.apply(delta))
        elif item.mod_revision > self._copy.revision:
            await self.read()

    async def _read_keys(
        self, head: layout.Head, head_item: kv_interface.KeyValue
    ) -> tuple[mirror.Entry, ...]:
        """Read the keys of one change.

        Empty if a read fails or is stale, or if a newer change was written.
        """
        newest = head_item.mod_revision
        entries = [mirror.Entry(layout.HEAD_KEY, head_item.value, newest)]
        for key in head.keys:
            found = await self._kv.get(key)
            if isinstance(found, kv_interface.Unavailable):
                return ()
            if found.revision < newest:
                return ()
            if mirror.newest_revision(found.items) > newest:
                return ()
            value = found.items[0].value if found.items else None
            entries.append(mirror.Entry(key, value, newest))
        return tuple(entries)

    def _apply_event(self, event: kv_interface.WatchEvent) -> bool:
        if event.revision <= self._copy.revision:
            return True
        self._pending = (
            *(e for e in self._pending if e.revision == event.revision),
            _entry(event),
        )
        if event.key != layout.HEAD_KEY or event.item is None:
            return True
        head = layout.HEAD.validate_json(event.item.value)
        received_keys = {entry.key for entry in self._pending}
        follows = head.previous == self._copy.revision
        if not follows or not received_keys.issuperset(head.keys):
            return False
        self._publish(
            self._copy.apply(mirror.Delta(event.revision, self._pending))
        )
        return True

    def _removed_at(self, found: kv_interface.Found) -> ids.Revision:
        return mirror.newest_revision(found.items)


def _entry(event: kv_interface.WatchEvent) -> mirror.Entry:
    value = event.item.value if event.item else None
    return mirror.Entry(event.key, value, event.revision)
