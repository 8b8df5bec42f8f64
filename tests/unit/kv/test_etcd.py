"""Tests of the etcd client against the stand-in of the service."""

import collections.abc
import contextlib
import socket

import pytest
import trio

from corianderloft._internal.kv import connections
from corianderloft._internal.kv import etcd
from corianderloft._internal.kv import interface
from corianderloft._internal.models import ids
from corianderloft._internal.settings import kv as kv_settings
from corianderloft._internal import standin

NO_REVISION = ids.Revision(0)


@contextlib.asynccontextmanager
async def client(
    **options: float,
) -> collections.abc.AsyncGenerator[etcd.EtcdClient]:
    """Run a stand-in service and yield a client of it."""
    async with trio.open_nursery() as nursery:
        port = await nursery.start(
            standin.serve_kv, standin.KvSettings(**options)
        )
        endpoint = f'http://127.0.0.1:{port}'
        etcd_client = etcd.EtcdClient(
            kv_settings.KvSettings(endpoint=endpoint)
        )
        yield etcd_client
        await etcd_client.aclose()
        nursery.cancel_scope.cancel()


async def test_compare_and_swap_conflict_returns_the_current_value() -> None:
    async with client() as kv:
        first = await kv.transact(
            [interface.Compare('a', NO_REVISION)], [interface.Put('a', b'1')]
        )
        second = await kv.transact(
            [interface.Compare('a', NO_REVISION)], [interface.Put('a', b'2')]
        )
        assert isinstance(first, interface.Written)
        assert isinstance(second, interface.Conflict)
        assert second.items[0].value == b'1'
        assert second.items[0].mod_revision == first.revision


async def test_prefix_read_is_ordered_and_supports_1_mb_values() -> None:
    large = bytes(1 << 20)
    async with client() as kv:
        for key in ('p/b', 'p/a', 'q/c'):
            await kv.transact([], [interface.Put(key, large)])
        found = await kv.get_prefix('p/')
        assert isinstance(found, interface.Found)
        assert [item.key for item in found.items] == ['p/a', 'p/b']
        assert found.items[0].value == large


async def test_watch_delivers_changes_before_and_after_its_start() -> None:
    async with client() as kv:
        first = await kv.transact([], [interface.Put('p/a', b'1')])
        assert isinstance(first, interface.Written)
        after = ids.Revision(first.revision - 1)
        async with kv.watch('p/', after) as changes:
            put_event = await anext(changes)
            await kv.transact(
                [], [interface.Put('q/x', b''), interface.Delete('p/a')]
            )
            delete_event = await anext(changes)
        assert isinstance(put_event, interface.WatchEvent)
        assert isinstance(delete_event, interface.WatchEvent)
        assert put_event.item is not None and put_event.item.value == b'1'
        assert delete_event.item is None and delete_event.key == 'p/a'


async def test_revoked_lease_removes_its_keys() -> None:
    async with client() as kv:
        lease = await kv.grant_lease(5)
        assert isinstance(lease, interface.LeaseGranted)
        put = interface.Put('a', b'1', lease.lease_id)
        await kv.transact([], [put])
        renewed = await kv.renew_lease(lease.lease_id)
        assert renewed == lease
        await kv.revoke_lease(lease.lease_id)
        found = await kv.get('a')
        assert isinstance(found, interface.Found) and not found.items
        lost = await kv.renew_lease(lease.lease_id)
        assert lost == interface.LeaseLost(lease.lease_id)


async def test_closed_port_is_unavailable_and_not_unknown() -> None:
    with socket.socket() as closed:
        closed.bind(('127.0.0.1', 0))
        endpoint = f'http://127.0.0.1:{closed.getsockname()[1]}'
        kv = etcd.EtcdClient(kv_settings.KvSettings(endpoint=endpoint))
        written = await kv.transact([], [interface.Put('a', b'1')])
    assert isinstance(written, interface.Unavailable)


async def test_pages_are_read_at_one_revision(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(etcd, 'PAGE_ITEMS', 2)
    async with client() as kv:
        puts = [interface.Put(f'p/{n}', b'') for n in range(5)]
        written = await kv.transact([], puts)
        found = await kv.get_prefix('p/')
    assert isinstance(written, interface.Written)
    assert isinstance(found, interface.Found)
    assert found.revision == written.revision
    assert [item.key for item in found.items] == [put.key for put in puts]


async def control(kv: etcd.EtcdClient, path: str) -> None:
    """Call the control interface of the stand-in."""
    result = await kv._connections.call('POST', f'/control/{path}', b'{}')
    assert isinstance(result, connections.Reply)
    assert result.status == 200


async def test_revisions_rise_over_a_restore_of_the_service() -> None:
    async with client() as kv:
        await control(kv, 'copy')
        before = await kv.transact([], [interface.Put('a', b'1')])
        await control(kv, 'restore')
        after = await kv.transact([], [interface.Put('b', b'2')])
        found = await kv.get_prefix('')
    assert isinstance(after, interface.Written)
    assert isinstance(before, interface.Written)
    assert after.revision > before.revision
    assert [item.key for item in found.items] == ['b']
    assert found.items[0].mod_revision == after.revision


async def test_comparison_with_a_revision_before_a_restore_fails() -> None:
    async with client() as kv:
        await control(kv, 'copy')
        known = await kv.transact([], [interface.Put('a', b'1')])
        await control(kv, 'restore')
        await kv.transact([], [interface.Put('a', b'2')])
        outcome = await kv.transact(
            [interface.Compare('a', known.revision)],
            [interface.Put('a', b'3')],
        )
    assert isinstance(outcome, interface.Conflict)
    assert outcome.items[0].value == b'2'


async def test_lease_from_before_a_restore_is_lost() -> None:
    async with client() as kv:
        await control(kv, 'copy')
        old = await kv.grant_lease(60)
        await control(kv, 'restore')
        other = etcd.EtcdClient(kv._settings)
        new = await other.grant_lease(60)
        assert new.lease_id == old.lease_id
        lost = await kv.renew_lease(old.lease_id)
        await kv.revoke_lease(old.lease_id)
        kept = await other.renew_lease(new.lease_id)
        await other.aclose()
    assert isinstance(lost, interface.LeaseLost)
    assert isinstance(kept, interface.LeaseGranted)


async def test_watch_from_before_a_restore_ends() -> None:
    async with client() as kv:
        await control(kv, 'copy')
        known = await kv.transact([], [interface.Put('a', b'1')])
        await control(kv, 'restore')
        await kv.transact([], [interface.Put('b', b'2')])
        await kv.transact([], [interface.Put('c', b'3')])
        async with kv.watch('', known.revision) as items:
            with trio.fail_after(5):
                first = await anext(items)
    assert isinstance(first, interface.WatchEnded)
