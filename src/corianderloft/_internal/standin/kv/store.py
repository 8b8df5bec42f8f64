"""In-memory key-value store with revisions, leases and change history."""

import bisect
import collections
import collections.abc
import dataclasses
import itertools

import trio


@dataclasses.dataclass(frozen=True)
class Record:
    """Value and metadata of a key after one write."""

    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease_id: int = 0


@dataclasses.dataclass(frozen=True)
class Change:
    """One change of one key.

    ``changed_at`` is in trio's clock time; ``before`` is None if the key is
    new, ``after`` is None if it was removed.
    """

    revision: int
    changed_at: float
    key: bytes
    before: Record | None
    after: Record | None


@dataclasses.dataclass(frozen=True)
class Put:
    """Write of one key."""

    key: bytes
    value: bytes
    lease_id: int = 0


@dataclasses.dataclass(frozen=True)
class Delete:
    """Removal of the keys from ``key`` up to ``end``, exclusive."""

    key: bytes
    end: bytes = b''


Operation = Put | Delete


@dataclasses.dataclass
class Lease:
    """A lease; ``ttl`` in seconds, ``expires_at`` in trio's clock time."""

    lease_id: int
    ttl: int
    expires_at: float
    keys: set[bytes] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True)
class Copy:
    """State of a store at one moment."""

    revision: int
    records: dict[bytes, Record]
    leases: dict[int, Lease]
    next_lease_id: int


class Store:
    """Keys and values with a bounded history of changes.

    Parameters
    ----------
    history_limit : int
        Number of changes kept; older ones are compacted.

    Attributes
    ----------
    era : int
        Number of times that the store was restored from a copy.
    """

    def __init__(self, history_limit: int) -> None:
        self.revision = 1
        self.changed = trio.Event()
        self.leases: dict[int, Lease] = {}
        self._records: dict[bytes, Record] = {}
        self._keys: list[bytes] = []
        self._history: collections.deque[Change] = collections.deque(
            maxlen=history_limit
        )
        self._next_lease_id = 1000
        self.era = 0

    def copy(self) -> Copy:
        """Return a copy that the store can be restored from."""
        return Copy(
            self.revision,
            dict(self._records),
            {
                lease.lease_id: dataclasses.replace(
                    lease, keys=set(lease.keys)
                )
                for lease in self.leases.values()
            },
            self._next_lease_id,
        )

    def restore(self, source: Copy) -> None:
        """Go back to a copy; later writes, leases and revisions are lost."""
        self.era += 1
        self.revision = source.revision
        self._records = dict(source.records)
        self._keys = sorted(self._records)
        self.leases = {
            lease.lease_id: dataclasses.replace(lease, keys=set(lease.keys))
            for lease in source.leases.values()
        }
        self._next_lease_id = source.next_lease_id
        kept = [c for c in self._history if c.revision <= self.revision]
        self._history.clear()
        self._history.extend(kept)
        self.changed.set()
        self.changed = trio.Event()

    def select(self, key: bytes, end: bytes) -> list[tuple[bytes, Record]]:
        """Return the keys from ``key`` up to ``end``, exclusive, in order.

        An empty ``end`` selects the single key; ``b'\\0'`` means no upper
        bound.
        """
        return [
            (name, self._records[name])
            for name in self._keys_in_range(key, end)
        ]

    def _keys_in_range(self, key: bytes, end: bytes) -> list[bytes]:
        if not end:
            return [key] if key in self._records else []
        first = bisect.bisect_left(self._keys, key)
        if end == b'\0':
            return self._keys[first:]
        return self._keys[first : bisect.bisect_left(self._keys, end)]

    def select_at(
        self, key: bytes, end: bytes, revision: int
    ) -> list[tuple[bytes, Record]] | None:
        """Return keys as of a revision; None if it has been compacted."""
        if revision + 1 < self.oldest_watch_revision():
            return None
        if revision >= self.revision:
            return self.select(key, end)
        found = dict(self.select(key, end))
        for change in reversed(self._history):
            if change.revision <= revision:
                break
            if not in_range(key, end, change.key):
                continue
            if change.before is None:
                found.pop(change.key, None)
            else:
                found[change.key] = change.before
        return sorted(found.items())

    def revision_at_age(self, age: float) -> int:
        """Return the revision that was current ``age`` seconds ago."""
        cutoff = trio.current_time() - age
        revision = self.revision
        for change in reversed(self._history):
            if change.changed_at <= cutoff:
                break
            revision = change.revision - 1
        return max(revision, self.oldest_watch_revision() - 1)

    def mod_revision(self, key: bytes) -> int:
        """Return the revision of the last write; 0 if the key is absent."""
        record = self._records.get(key)
        return record.mod_revision if record else 0

    def apply(self, operations: collections.abc.Iterable[Operation]) -> int:
        """Apply operations atomically and return the resulting revision."""
        revision = self.revision + 1
        changes = [
            change
            for operation in operations
            for change in self._apply_operation(operation, revision)
        ]
        if changes:
            self.revision = revision
            self._history.extend(changes)
            self.changed.set()
            self.changed = trio.Event()
        return self.revision

    def _apply_operation(
        self, operation: Operation, revision: int
    ) -> collections.abc.Iterator[Change]:
        if isinstance(operation, Put):
            yield self._put(operation, revision)
            return
        for name in self._keys_in_range(operation.key, operation.end):
            yield self._remove(name, revision)

    def _put(self, put: Put, revision: int) -> Change:
        before = self._records.get(put.key)
        if before is None:
            bisect.insort(self._keys, put.key)
        else:
            self._detach_from_lease(put.key, before)
        after = Record(
            put.value,
            before.create_revision if before else revision,
            revision,
            before.version + 1 if before else 1,
            put.lease_id,
        )
        self._records[put.key] = after
        if put.lease_id in self.leases:
            self.leases[put.lease_id].keys.add(put.key)
        return Change(revision, trio.current_time(), put.key, before, after)

    def _remove(self, key: bytes, revision: int) -> Change:
        before = self._records.pop(key)
        del self._keys[bisect.bisect_left(self._keys, key)]
        self._detach_from_lease(key, before)
        return Change(revision, trio.current_time(), key, before, None)

    def _detach_from_lease(self, key: bytes, record: Record) -> None:
        if record.lease_id in self.leases:
            self.leases[record.lease_id].keys.discard(key)

    def oldest_watch_revision(self) -> int:
        """Return the oldest revision from which a watch may start."""
        limit = self._history.maxlen or 0
        if len(self._history) < limit:
            return 0
        # Some changes of the oldest kept revision may have been dropped.
        return self._history[0].revision + 1

    def changes_from(self, revision: int) -> list[Change]:
        """Return the kept changes from ``revision`` on, oldest first."""
        newer = itertools.takewhile(
            lambda change: change.revision >= revision,
            reversed(self._history),
        )
        return list(newer)[::-1]

    def grant(self, ttl: int) -> Lease:
        """Create a lease of ``ttl`` seconds."""
        lease = Lease(self._next_lease_id, ttl, trio.current_time() + ttl)
        self._next_lease_id += 1
        self.leases[lease.lease_id] = lease
        return lease

    def renew(self, lease_id: int) -> Lease | None:
        """Renew a lease for its full TTL; None if it has ended."""
        self.expire()
        lease = self.leases.get(lease_id)
        if lease is not None:
            lease.expires_at = trio.current_time() + lease.ttl
        return lease

    def revoke(self, lease_id: int) -> bool:
        """Revoke a lease and remove its keys; False if it does not exist."""
        lease = self.leases.get(lease_id)
        if lease is None:
            return False
        self.apply([Delete(key) for key in sorted(lease.keys)])
        del self.leases[lease_id]
        return True

    def expire(self) -> None:
        """Revoke all expired leases."""
        now = trio.current_time()
        expired = [
            lease.lease_id
            for lease in self.leases.values()
            if lease.expires_at <= now
        ]
        for lease_id in expired:
            self.revoke(lease_id)


def in_range(key: bytes, end: bytes, name: bytes) -> bool:
    """Return whether ``name`` is in the range from ``key`` to ``end``."""
    if not end:
        return name == key
    return name >= key and (end == b'\0' or name < end)
