"""Tests for the registration of a host in the store."""

import trio

from corianderloft._internal.gateway import membership
from corianderloft._internal.kv import interface as kv
from corianderloft._internal.models import ids
from tests.lib import gateway
from tests.lib import processes

LEASE = ids.LeaseId(7)


class Store:
    """Store whose writes are not answered until they are released."""

    era = ids.Era(0)

    def __init__(self):
        self.writing = trio.Event()
        self.released = trio.Event()
        self.revoked = []

    async def wait_newer_era(self, era):
        await trio.sleep_forever()

    async def grant_lease(self, ttl):
        return kv.LeaseGranted(LEASE, ttl)

    async def transact(self, compares, operations):
        self.writing.set()
        await self.released.wait()
        return kv.Written(ids.Revision(1))

    async def get(self, key):
        return kv.Found(ids.Revision(1), ())

    async def renew_lease(self, lease_id):
        return kv.LeaseGranted(lease_id, 3.0)

    async def revoke_lease(self, lease_id):
        self.revoked.append(lease_id)
        return kv.Written(ids.Revision(2))


def _membership(store):
    return membership.Membership(
        store, 'hosts/a', lambda: b'{}', lambda cause: None
    )


async def _stop_while(store, registration, ready):
    """Cancel the registration once ``ready`` is set, and deregister."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(registration.run)
        await ready.wait()
        await trio.testing.wait_all_tasks_blocked()
        nursery.cancel_scope.cancel()
    await registration.deregister()


async def test_host_that_stops_while_it_registers_removes_its_entry():
    # The write may be on its way to the store: only the lease ends it.
    store = Store()
    await _stop_while(store, _membership(store), store.writing)
    assert store.revoked == [LEASE]


async def test_registered_host_removes_its_entry_once():
    store = Store()
    registration = _membership(store)
    store.released.set()
    await _stop_while(store, registration, store.writing)
    await registration.deregister()
    assert store.revoked == [LEASE]


async def test_write_executed_late_does_not_replace_the_entry():
    """A late write took the host off the list until it restarted.

    It came with the lease of the first attempt, which nobody renews.
    """
    key = 'hosts/edge-1'
    async with gateway.running(start=False) as system:
        system.store.hold_writes = 1
        await system.start_host(wait=False)
        items = system.store.store.items
        await processes.wait_for(lambda: key in items, 'it registers')
        lease = items[key].lease_id
        system.store.execute_held()
        assert items[key].lease_id == lease
        leases = system.store.store.leases
        for other in [held for held in leases if held != lease]:
            system.store.store.drop_lease(other)
        assert key in items


async def test_restarted_host_replaces_its_entry_of_before():
    key = 'hosts/edge-1'
    async with gateway.running() as system:
        items = system.store.store.items
        await processes.wait_for(lambda: key in items, 'it registers')
        before = items[key].lease_id
        system.kill_host()
        await system.start_host()
        await processes.wait_for(
            lambda: key in items and items[key].lease_id != before,
            'it registers again',
        )
