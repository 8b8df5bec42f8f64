"""Following one prefix of the key-value service by reads and a watch."""

import collections.abc
import random
import typing

import trio

from corianderloft._internal.kv import interface as kv_interface
from corianderloft._internal.models import ids
from corianderloft._internal.shared.configuration import freshness
from corianderloft._internal.shared.configuration import layout
from corianderloft._internal.shared import mirror

REOPEN_S = 3.0
FIRST_PAUSE_S = 0.2
LONGEST_PAUSE_S = 5.0

Changed = collections.abc.Callable[
    [collections.abc.Sequence[mirror.Entry]], None
]


class Follower:
    """Keeps a mirror in step with the key-value service.

    A watch is opened again every `REOPEN_S`, so a connection that went
    silent delays a change by no more than that.

    Parameters
    ----------
    kv : KeyValueClient
        The service.
    copy : Mirror
        The copy to keep.
    changed : callable
        Called with the entries that changed.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        kv: kv_interface.KeyValueClient,
        copy: mirror.Mirror,
        changed: Changed,
        rng: random.Random,
    ) -> None:
        self._kv = kv
        self._copy = copy
        self._changed = changed
        self._rng = rng

    async def read(self) -> bool:
        """Read the whole prefix once; False when the service is down."""
        found = await self._kv.get_prefix(self._copy.prefix)
        if isinstance(found, kv_interface.Unavailable):
            return False
        self._publish(self._copy.load(found, self._removed_at(found)))
        return True

    async def run(self) -> typing.NoReturn:
        """Follow until cancelled."""
        pause = FIRST_PAUSE_S
        read = False
        while True:
            read = read or await self.read()
            if read:
                read = await self._watch_once()
            if read:
                pause = FIRST_PAUSE_S
                continue
            await trio.sleep(self._rng.uniform(0, pause))
            pause = min(LONGEST_PAUSE_S, pause * 2)

    async def _watch_once(self) -> bool:
        """Watch for a while; False when the prefix must be read again."""
        after = ids.Revision(max(0, self._copy.revision - 1))
        with trio.move_on_after(self._rng.uniform(0.7, 1.3) * REOPEN_S):
            async with self._kv.watch(self._copy.prefix, after) as events:
                async for event in events:
                    if isinstance(event, kv_interface.WatchEnded):
                        return False
                    if isinstance(event, kv_interface.WatchProgress):
                        continue
                    if not self._take(event):
                        return False
        return True

    def _take(self, event: kv_interface.WatchEvent) -> bool:
        """Apply one event; False when the prefix must be read again."""
        entry = _entry(event)
        self._publish(self._copy.apply(mirror.Delta(event.revision, (entry,))))
        return True

    def _removed_at(self, found: kv_interface.Found) -> ids.Revision:
        return found.revision

    def _publish(
        self, entries: collections.abc.Sequence[mirror.Entry]
    ) -> None:
        if entries:
            self._changed(entries)


class ConfigurationFollower(Follower):
    """Follows the configuration, whose changes apply whole or not at all.

    The events of one change are collected until its head arrives. A change
    that does not follow the one in force leads to a new read.

    Parameters
    ----------
    kv, copy, changed, rng
        As for `Follower`.
    evidence : Currency
        Takes note of what reads prove.
    """

    def __init__(
        self,
        kv: kv_interface.KeyValueClient,
        copy: mirror.Mirror,
        changed: Changed,
        rng: random.Random,
        evidence: freshness.Currency,
    ) -> None:
        super().__init__(kv, copy, changed, rng)
        self._evidence = evidence
        self._pending: tuple[mirror.Entry, ...] = ()

    async def read(self) -> bool:
        """Read the whole configuration once, and whether it is the newest."""
        if not await super().read():
            return False
        asked_at = trio.current_time()
        if isinstance(await self._compare(), kv_interface.Written):
            self._evidence.verify(asked_at)
        return True

    async def verify(self) -> bool:
        """Ask the service whether there is a newer change, and catch up.

        Returns
        -------
        bool
            False when the service is down.
        """
        asked_at = trio.current_time()
        outcome = await self._compare()
        if isinstance(outcome, kv_interface.Written):
            self._evidence.verify(asked_at)
            return True
        if not isinstance(outcome, kv_interface.Conflict):
            return False
        if outcome.items:
            await self._catch_up(outcome.items[0])
            if self._copy.revision >= outcome.items[0].mod_revision:
                self._evidence.verify(asked_at)
        return True

    async def _compare(self) -> kv_interface.Write:
        """Compare the head with the own revision, without a write.

        Unlike that of a read, the answer is never old.
        """
        return await self._kv.transact(
            [kv_interface.Compare(layout.HEAD_KEY, self._copy.revision)], []
        )

    async def _catch_up(self, item: kv_interface.KeyValue) -> None:
        """Read what the head ``item`` names, or everything."""
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
        """Read the keys of one change; nothing when a newer one came."""
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

    def _take(self, event: kv_interface.WatchEvent) -> bool:
        if event.revision <= self._copy.revision:
            return True
        self._pending = (
            *(e for e in self._pending if e.revision == event.revision),
            _entry(event),
        )
        if event.key != layout.HEAD_KEY or event.item is None:
            return True
        head = layout.HEAD.validate_json(event.item.value)
        named = {entry.key for entry in self._pending}
        follows = head.previous == self._copy.revision
        if not follows or not named.issuperset(head.keys):
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
