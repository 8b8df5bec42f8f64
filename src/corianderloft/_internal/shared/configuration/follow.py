"""Following one prefix of the key-value service by reads and a watch."""

import collections.abc
import logging
import random

import trio

from corianderloft._internal.kv import interface as kv_interface
from corianderloft._internal.models import ids
from corianderloft._internal.shared.configuration import layout
from corianderloft._internal.shared import mirror

logger = logging.getLogger(__name__)

REOPEN_S = 3.0
FIRST_PAUSE_S = 0.2
LONGEST_PAUSE_S = 5.0
WATCH_ERRORS = 3

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
        self._loaded = False

    async def read(self) -> bool:
        """Read the whole prefix once; False when the service is down."""
        found = await self._kv.get_prefix(self._copy.prefix)
        if isinstance(found, kv_interface.Unavailable):
            return False
        self._publish(self._copy.load(found, self._removed_at(found)))
        self._loaded = True
        return True

    async def run(self) -> None:
        """Follow until cancelled."""
        pause = FIRST_PAUSE_S
        while True:
            done = self._loaded or await self.read()
            if done:
                done = await self._watch_once()
            if done:
                pause = FIRST_PAUSE_S
                continue
            await trio.sleep(self._rng.uniform(0, pause))
            pause = min(LONGEST_PAUSE_S, pause * 2)

    async def _watch_once(self) -> bool:
        """Watch for a while; False when the watch could not be kept."""
        after = ids.Revision(max(0, self._copy.revision - 1))
        with trio.move_on_after(self._rng.uniform(0.7, 1.3) * REOPEN_S):
            async with self._kv.watch(self._copy.prefix, after) as events:
                async for event in events:
                    if isinstance(event, kv_interface.WatchEnded):
                        self._loaded = False
                        return False
                    if not self._take(event):
                        self._loaded = False
                        return True
        return True

    def _take(self, event: kv_interface.WatchEvent) -> bool:
        """Apply one event; False when the prefix must be read again."""
        self._publish(self._copy.apply(_delta(event)))
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
    """

    _pending: tuple[mirror.Entry, ...] = ()

    def _take(self, event: kv_interface.WatchEvent) -> bool:
        if event.revision <= self._copy.revision:
            return True
        entry = _delta(event).entries[0]
        self._pending = (
            *(e for e in self._pending if e.revision == event.revision),
            entry,
        )
        if event.key != layout.HEAD_KEY or event.item is None:
            return True
        head = layout.HEAD.validate_json(event.item.value)
        named = {e.key for e in self._pending}
        if head.previous != self._copy.revision or not named.issuperset(
            head.keys
        ):
            return False
        self._publish(
            self._copy.apply(mirror.Delta(event.revision, self._pending))
        )
        return True

    def _removed_at(self, found: kv_interface.Found) -> ids.Revision:
        return mirror.newest_revision(found.items)


def _delta(event: kv_interface.WatchEvent) -> mirror.Delta:
    value = event.item.value if event.item else None
    entry = mirror.Entry(event.key, value, event.revision)
    return mirror.Delta(event.revision, (entry,))
