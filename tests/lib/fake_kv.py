"""In-memory key-value service with outages, lost replies and stale reads."""

import collections
import contextlib
import math

import trio

from corianderloft._internal.kv import interface as kv
from corianderloft._internal.models import ids


class FakeStore:
    """The store shared by all `FakeKv` clients of a test.

    Attributes
    ----------
    calls : Counter
        Number of calls by operation.
    """

    def __init__(self, keep_snapshots=64):
        self.revision = 0
        self.items = {}
        self.snapshots = collections.deque(maxlen=keep_snapshots)
        self.events = []
        self.leases = {}
        self.calls = collections.Counter()
        self.changed = trio.Condition()
        self._next_lease = 1

    def copy(self):
        """Return a copy of the store for `restore`."""
        return (
            self.revision,
            dict(self.items),
            dict(self.leases),
            self._next_lease,
        )

    def restore(self, copied):
        """Go back to a copy: later writes, leases and revisions are lost."""
        self.revision, items, leases, self._next_lease = copied
        self.items, self.leases = dict(items), dict(leases)
        self.events = [e for e in self.events if e.revision <= self.revision]
        self.snapshots.clear()

    def expire(self):
        now = trio.current_time()
        for lease_id, (_, deadline) in list(self.leases.items()):
            if deadline <= now:
                self.drop_lease(lease_id)

    def drop_lease(self, lease_id):
        self.leases.pop(lease_id, None)
        bound = [k for k, i in self.items.items() if i.lease_id == lease_id]
        if bound:
            self.write([kv.Delete(key) for key in bound])

    def new_lease(self, ttl):
        lease_id = ids.LeaseId(self._next_lease)
        self._next_lease += 1
        self.leases[lease_id] = (ttl, trio.current_time() + ttl)
        return lease_id

    def write(self, operations):
        self.snapshots.append((self.revision, dict(self.items)))
        self.revision += 1
        for op in operations:
            old = self.items.get(op.key)
            if isinstance(op, kv.Put):
                self.items[op.key] = kv.KeyValue(
                    op.key,
                    op.value,
                    ids.Revision(self.revision),
                    old.version + 1 if old else 1,
                    op.lease_id,
                )
            elif old:
                del self.items[op.key]
            if isinstance(op, kv.Put) or old:
                self.events.append(
                    kv.WatchEvent(
                        op.key,
                        self.items.get(op.key),
                        ids.Revision(self.revision),
                    )
                )


class FakeKv:
    """One client of the store, with its own faults.

    Attributes
    ----------
    down : bool
        Whether every call fails with `Unavailable`.
    lose_replies : int
        Number of next writes that are applied but return `Unknown`.
    lose_requests : int
        Number of next writes that are dropped and return `Unknown`.
    late_writes : int
        Number of next writes that return `Unknown` and are applied
        ``late_by`` seconds later.
    stale_reads : int
        Number of next reads that see the state ``stale_by`` writes ago.
    silent : bool
        Whether watches deliver nothing and never end.
    """

    def __init__(self, store=None, latency=0.0):
        self.store = store or FakeStore()
        self.latency = latency
        self.down = False
        self.lose_replies = 0
        self.lose_requests = 0
        self.late_writes = 0
        self.late_by = 5.0
        self.stale_reads = 0
        self.stale_by = 1
        self.silent = False

    @property
    def era(self):
        return ids.Era(0)

    async def wait_newer_era(self, era):
        await trio.sleep_forever()

    async def _call(self, kind):
        await trio.sleep(self.latency)
        self.store.expire()
        self.store.calls[kind] += 1
        return kv.Unavailable('the fake is down') if self.down else None

    def _view(self):
        store = self.store
        if self.stale_reads and store.snapshots:
            self.stale_reads -= 1
            return store.snapshots[-min(self.stale_by, len(store.snapshots))]
        return store.revision, store.items

    async def get(self, key):
        refused = await self._call('get')
        if refused:
            return refused
        revision, items = self._view()
        return kv.Found(revision, (items[key],) if key in items else ())

    async def get_prefix(self, prefix):
        refused = await self._call('get_prefix')
        if refused:
            return refused
        revision, items = self._view()
        found = (i for k, i in sorted(items.items()) if k.startswith(prefix))
        return kv.Found(revision, tuple(found))

    async def transact(self, compares, operations):
        refused = await self._call('transact')
        if refused:
            return refused
        if self.lose_requests:
            self.lose_requests -= 1
            return kv.Unknown('the request was lost')
        if self.late_writes:
            self.late_writes -= 1
            trio.lowlevel.spawn_system_task(
                self._apply_late, compares, operations
            )
            return kv.Unknown('the request is late')
        result = await self._apply(compares, operations)
        if self.lose_replies:
            self.lose_replies -= 1
            return kv.Unknown('the reply was lost')
        return result

    async def _apply_late(self, compares, operations):
        await trio.sleep(self.late_by)
        self.store.expire()
        await self._apply(compares, operations)

    async def _apply(self, compares, operations):
        items = self.store.items
        holds = all(
            (items[c.key].mod_revision if c.key in items else 0)
            == c.mod_revision
            for c in compares
        )
        if holds:
            if operations:
                self.store.write(operations)
            written = kv.Written(ids.Revision(self.store.revision))
            await self._notify()
            return written
        present = (items[c.key] for c in compares if c.key in items)
        return kv.Conflict(self.store.revision, tuple(present))

    async def _notify(self):
        with trio.CancelScope(shield=True):
            async with self.store.changed:
                self.store.changed.notify_all()

    async def grant_lease(self, ttl):
        refused = await self._call('grant_lease')
        if refused:
            return refused
        return kv.LeaseGranted(self.store.new_lease(ttl), ttl)

    async def renew_lease(self, lease_id):
        refused = await self._call('renew_lease')
        if refused:
            return refused
        if lease_id not in self.store.leases:
            return kv.LeaseLost(lease_id)
        ttl, _ = self.store.leases[lease_id]
        self.store.leases[lease_id] = (ttl, trio.current_time() + ttl)
        return kv.LeaseGranted(lease_id, ttl)

    async def revoke_lease(self, lease_id):
        refused = await self._call('revoke_lease')
        if refused:
            return refused
        self.store.drop_lease(lease_id)
        await self._notify()
        return kv.Written(ids.Revision(self.store.revision))

    @contextlib.asynccontextmanager
    async def watch(self, prefix, after, wait=None):
        self.store.calls['watch'] += 1
        yield self._events(prefix, after)

    async def _events(self, prefix, after):
        seen = next(
            (i for i, e in enumerate(self.store.events) if e.revision > after),
            len(self.store.events),
        )
        while True:
            if self.down:
                yield kv.WatchEnded('the fake is down', after)
                return
            if self.silent:
                await trio.sleep(math.inf)
            fresh = self.store.events[seen:]
            seen += len(fresh)
            for event in fresh:
                if event.key.startswith(prefix):
                    yield event
            if seen == len(self.store.events):
                async with self.store.changed:
                    with trio.move_on_after(0.2):
                        await self.store.changed.wait()
