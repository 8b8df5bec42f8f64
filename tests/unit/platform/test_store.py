"""Tests of the platform store's client against a stand-in."""

import contextlib

import pytest
import trio

from corianderloft._internal.kv import interface as kv
from corianderloft._internal.platform import store
from corianderloft._internal.standin import http
from tests.lib import platform_store
from tests.lib import raw_server


@contextlib.asynccontextmanager
async def running_store():
    async with trio.open_nursery() as nursery:
        platform = platform_store.PlatformStore()
        port = await nursery.start(http.serve, platform.app(), 0)
        client = store.PlatformStore('127.0.0.1', port)
        yield platform, client
        await client.aclose()
        nursery.cancel_scope.cancel()


async def test_prefix_read_returns_all_pages():
    async with running_store() as (platform, client):
        for number in range(12):
            platform.put(f'servers/{number:02}', b'x')
        found = await client.get_prefix('servers/')
    assert len(found.items) == 12
    assert found.revision == 12


async def test_get_returns_existing_and_missing_keys():
    async with running_store() as (platform, client):
        platform.put('a', b'1')
        found = await client.get('a')
        missing = await client.get('b')
    assert [item.value for item in found.items] == [b'1']
    assert missing == kv.Found(1, ())


async def test_transaction_checks_its_conditions():
    async with running_store() as (platform, client):
        platform.put('a', b'1')
        put = kv.Put('a', b'2')
        wrong = await client.transact([kv.Compare('a', 0)], [put])
        right = await client.transact([kv.Compare('a', 1)], [put])
    assert isinstance(wrong, kv.Conflict)
    assert [item.value for item in wrong.items] == [b'1']
    assert right == kv.Written(2)


async def test_lost_reply_is_unknown_and_refusal_is_unavailable():
    async with running_store() as (platform, client):
        platform.lose_replies = 1
        lost = await client.transact([], [kv.Put('a', b'1')])
        platform.down = True
        refused = await client.transact([], [kv.Put('a', b'2')])
        read = await client.get('a')
    assert isinstance(lost, kv.Unknown)
    assert isinstance(refused, kv.Unavailable)
    assert isinstance(read, kv.Unavailable)
    assert platform.store.items['a'].value == b'1'


async def test_revoked_lease_removes_its_keys():
    async with running_store() as (platform, client):
        granted = await client.grant_lease(5.0)
        await client.transact([], [kv.Put('a', b'1', granted.lease_id)])
        renewed = await client.renew_lease(granted.lease_id)
        await client.revoke_lease(granted.lease_id)
        lost = await client.renew_lease(granted.lease_id)
        found = await client.get('a')
    assert renewed.ttl == 5.0
    assert isinstance(lost, kv.LeaseLost)
    assert found.items == ()


async def test_watch_yields_changes_and_progress():
    async with running_store() as (platform, client):
        platform.put('a', b'1')
        async with client.watch('', 0) as items:
            event = await anext(items)
            progress = await anext(items)
            platform.remove('a')
            removed = await anext(items)
    assert (event.key, event.item.value) == ('a', b'1')
    assert isinstance(progress, kv.WatchProgress)
    assert progress.revision == 1
    assert removed.item is None


async def test_watch_of_compacted_history_ends():
    async with running_store() as (platform, client):
        platform.compacted = 10
        async with client.watch('', 0) as items:
            ended = await anext(items)
    assert isinstance(ended, kv.WatchEnded)


async def test_watch_from_an_earlier_era_ends_without_its_changes():
    async with running_store() as (platform, client):
        platform.era = 1
        copied = platform.store.copy()
        platform.put('a', b'1')
        known = await client.get('a')
        platform.restore(copied)
        platform.put('b', b'2')
        platform.put('b', b'3')
        async with client.watch('', known.revision) as items:
            seen = [item async for item in items]
    assert [type(item) for item in seen] == [kv.WatchEnded]


async def test_comparison_with_an_earlier_era_fails():
    async with running_store() as (platform, client):
        platform.era = 1
        copied = platform.store.copy()
        platform.put('a', b'1')
        known = (await client.get('a')).items[0].mod_revision
        platform.restore(copied)
        platform.put('a', b'2')
        unaware = await client.transact(
            [kv.Compare('a', known)], [kv.Put('b', b'3')]
        )
        aware = await client.transact(
            [kv.Compare('a', known)], [kv.Put('b', b'4')]
        )
        now = (await client.get('a')).items[0].mod_revision
        right = await client.transact(
            [kv.Compare('a', now)], [kv.Put('a', b'5')]
        )
    assert isinstance(unaware, kv.Unknown)
    assert isinstance(aware, kv.Conflict)
    assert [item.value for item in aware.items] == [b'2']
    assert isinstance(right, kv.Written)


async def test_lease_of_an_earlier_era_is_lost_although_its_id_is_in_use():
    async with running_store() as (platform, client):
        platform.era = 1
        copied = platform.store.copy()
        old = (await client.grant_lease(60.0)).lease_id
        platform.restore(copied)
        new = platform.store.new_lease(60.0)
        platform.put('b', b'2', new)
        assert new == old
        assert isinstance(await client.renew_lease(old), kv.LeaseLost)
        written = await client.transact([], [kv.Put('a', b'1', old)])
        revoked = await client.revoke_lease(old)
        found = await client.get('b')
    assert isinstance(written, kv.Unavailable)
    assert isinstance(revoked, kv.Unavailable)
    assert [item.value for item in found.items] == [b'2']


@pytest.mark.parametrize(
    ('status', 'expected'),
    [
        (429, kv.Unavailable),
        (503, kv.Unavailable),
        (202, kv.Unknown),
        (302, kv.Unknown),
        (500, kv.Unknown),
        (502, kv.Unknown),
        (504, kv.Unknown),
        (999, kv.Unknown),
    ],
)
async def test_only_some_statuses_tell_that_nothing_was_written(
    nursery, status, expected
):
    # A write that took effect counted as refused.
    raw = b'HTTP/1.1 %d -\r\nContent-Length: 2\r\n\r\n{}' % status
    server = raw_server.RawServer(raw, reads_body=True)
    client = store.PlatformStore(
        '127.0.0.1', await nursery.start(server.serve)
    )
    written = await client.transact([], [kv.Put('a', b'1')])
    read = await client.get('a')
    await client.aclose()
    assert type(written) is expected
    assert isinstance(read, kv.Unavailable)
