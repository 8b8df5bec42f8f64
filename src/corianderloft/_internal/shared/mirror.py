"""A copy of the keys below one prefix that only ever moves forward."""

import collections.abc
import dataclasses
import operator

from corianderloft._internal.kv import interface as kv_interface
from corianderloft._internal.models import ids

MAX_TOMBSTONES = 4096


@dataclasses.dataclass(frozen=True)
class Entry:
    """State of one key; ``value`` is None when it was removed.

    Attributes
    ----------
    key : str
        The key.
    value : bytes or None
        Its value.
    revision : Revision
        Revision of the write or removal.
    """

    key: str
    value: bytes | None
    revision: ids.Revision


@dataclasses.dataclass(frozen=True)
class Delta:
    """All entries later than a revision.

    Attributes
    ----------
    revision : Revision
        Revision that the receiver reaches.
    entries : tuple of Entry
        The entries.
    whole : bool
        Whether keys that are not named do not exist.
    """

    revision: ids.Revision
    entries: tuple[Entry, ...]
    whole: bool = False


class Mirror:
    """Copy of the keys below ``prefix`` as of `revision`.

    Reads that are older than what is known and deltas that arrive late are
    ignored, so the copy never reverts.

    Parameters
    ----------
    prefix : str
        Prefix of the keys.
    """

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix
        self.revision = ids.Revision(0)
        self._entries: dict[str, Entry] = {}
        self._floor = ids.Revision(0)

    def values(self) -> dict[str, bytes]:
        """Return the keys that exist, with their values."""
        return {
            key: entry.value
            for key, entry in self._entries.items()
            if entry.value is not None
        }

    def value(self, key: str) -> bytes | None:
        """Return the value of one key, or None."""
        entry = self._entries.get(key)
        return entry.value if entry else None

    def load(
        self, found: kv_interface.Found, removed_at: ids.Revision
    ) -> tuple[Entry, ...]:
        """Take over a read of the whole prefix.

        Parameters
        ----------
        found : Found
            The read; one older than the copy is ignored.
        removed_at : Revision
            Revision to record for keys that no longer exist.

        Returns
        -------
        tuple of Entry
            Entries that changed.
        """
        if found.revision < self.revision:
            return ()
        present = {item.key for item in found.items}
        removed = (
            Entry(key, None, removed_at)
            for key, entry in self._entries.items()
            if entry.value is not None and key not in present
        )
        entries = [
            *(Entry(i.key, i.value, i.mod_revision) for i in found.items),
            *removed,
        ]
        newest = max((e.revision for e in entries), default=self.revision)
        return self.apply(Delta(newest, tuple(entries)))

    def apply(self, delta: Delta) -> tuple[Entry, ...]:
        """Take over the entries of a delta that are newer.

        The caller makes sure that the delta begins no later than the
        copy's own revision.

        Returns
        -------
        tuple of Entry
            Entries that changed.
        """
        if delta.whole and delta.revision < self.revision:
            return ()
        entries = delta.entries
        if delta.whole:
            named = {entry.key for entry in entries}
            entries += tuple(
                Entry(key, None, delta.revision)
                for key, entry in self._entries.items()
                if entry.value is not None and key not in named
            )
        changed = tuple(e for e in entries if self._is_news(e))
        self._entries.update({entry.key: entry for entry in changed})
        self.revision = max(self.revision, delta.revision)
        self._prune()
        return changed

    def since(self, revision: ids.Revision) -> Delta:
        """Return what a copy at ``revision`` lacks."""
        whole = revision < self._floor
        entries = (
            entry
            for entry in self._entries.values()
            if entry.revision > revision or (whole and entry.value is not None)
        )
        return Delta(self.revision, tuple(entries), whole)

    def _is_news(self, entry: Entry) -> bool:
        known = self._entries.get(entry.key)
        return known is None or known.revision < entry.revision

    def _prune(self) -> None:
        tombstones = [e for e in self._entries.values() if e.value is None]
        excess = len(tombstones) - MAX_TOMBSTONES
        if excess <= 0:
            return
        tombstones.sort(key=operator.attrgetter('revision'))
        for entry in tombstones[:excess]:
            del self._entries[entry.key]
            self._floor = max(self._floor, entry.revision)


def newest_revision(
    items: collections.abc.Iterable[kv_interface.KeyValue],
) -> ids.Revision:
    """Return the revision of the last write to any of the items."""
    return max((i.mod_revision for i in items), default=ids.Revision(0))
