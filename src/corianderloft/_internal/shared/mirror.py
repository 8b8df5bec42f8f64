"""A local copy of the keys under one prefix; its revision only grows."""

import collections.abc
import dataclasses
import operator

from corianderloft._internal.kv import interface as kv_interface
from corianderloft._internal.models import ids

MAX_TOMBSTONES = 4096


@dataclasses.dataclass(frozen=True)
class Entry:
    """State of one key at its last write or removal.

    Attributes
    ----------
    key : str
        The key.
    value : bytes or None
        Value of the key; None if it was removed.
    revision : Revision
        Revision of the write or removal.
    """

    key: str
    value: bytes | None
    revision: ids.Revision


@dataclasses.dataclass(frozen=True)
class Delta:
    """Entries newer than the revision of the receiver.

    Attributes
    ----------
    revision : Revision
        Revision of the receiver after it applies the delta.
    entries : tuple of Entry
        The entries.
    is_snapshot : bool
        Whether the entries are a full snapshot, so that keys without an
        entry do not exist.
    """

    revision: ids.Revision
    entries: tuple[Entry, ...]
    is_snapshot: bool = False


class Mirror:
    """Copy of the keys under ``prefix`` as of `revision`.

    Stale reads and deltas that arrive late are ignored, so the copy never
    goes back to an older revision.

    Parameters
    ----------
    prefix : str
        Prefix of the keys.
    """

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix
        self.revision = ids.Revision(0)
        self._entries: dict[str, Entry] = {}
        self._pruned_revision = ids.Revision(0)

    def values(self) -> dict[str, bytes]:
        """Return the existing keys with their values."""
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
        """Apply the result of reading the whole prefix.

        Parameters
        ----------
        found : Found
            Result of the read; ignored if it is older than the copy.
        removed_at : Revision
            Removal revision to record for keys that no longer exist.

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
        """Apply the entries of a delta that are newer than the copy.

        The caller must ensure that the delta starts at or before the
        copy's revision.

        Returns
        -------
        tuple of Entry
            Entries that changed.
        """
        if delta.is_snapshot and delta.revision < self.revision:
            return ()
        entries = delta.entries
        if delta.is_snapshot:
            listed_keys = {entry.key for entry in entries}
            entries += tuple(
                Entry(key, None, delta.revision)
                for key, entry in self._entries.items()
                if entry.value is not None and key not in listed_keys
            )
        changed = tuple(e for e in entries if self._is_newer(e))
        self._entries.update({entry.key: entry for entry in changed})
        self.revision = max(self.revision, delta.revision)
        self._prune()
        return changed

    def since(self, revision: ids.Revision) -> Delta:
        """Return the delta that brings a copy at ``revision`` up to date.

        The delta is a full snapshot if tombstones newer than ``revision``
        have been pruned.
        """
        is_snapshot = revision < self._pruned_revision
        entries = (
            entry
            for entry in self._entries.values()
            if entry.revision > revision
            or (is_snapshot and entry.value is not None)
        )
        return Delta(self.revision, tuple(entries), is_snapshot)

    def _is_newer(self, entry: Entry) -> bool:
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
            self._pruned_revision = max(self._pruned_revision, entry.revision)


def newest_revision(
    items: collections.abc.Iterable[kv_interface.KeyValue],
) -> ids.Revision:
    """Return the revision of the last write to any of ``items``."""
    return max((i.mod_revision for i in items), default=ids.Revision(0))
