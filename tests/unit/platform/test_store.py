"""The client of the platform's store against its stand-in."""

import contextlib

import trio

from corianderloft._internal.kv import interface as kv
from corianderloft._internal.platform import store
from corianderloft._internal.standin import http
from tests.lib import platform_store


@contextlib.asynccontextmanager
async def running():
    async with trio.open_nursery() as nursery:
        platform = platform_store.PlatformStore()
        port = await nursery.start(http.serve, platform.app(), 0)
        client = store.PlatformStore('127.0.0.1', port)
        yield platform, client
        await client.aclose()
        nursery.cancel_scope.cancel()


async def test_pages_are_read_to_the_end():
    async with running() as (platform, client):
        for number in range(12):
            platform.put(f'servers/{number:02}', b'x')
        found = await client.get_prefix('servers/')
    assert len(found.items) == 12
    assert found.revision == 12


async def test_a_key_is_read_or_missing():
    async with running() as (platform, client):
        platform.put('a', b'1')
        found = await client.get('a')
        missing = await client.get('b')
    assert [item.value for item in found.items] == [b'1']
    assert missing == kv.Found(1, ())


async def test_a_transaction_compares():
    async with running() as (platform, client):
        platform.put('a', b'1')
        put = kv.Put('a', b'2')
        wrong = await client.transact([kv.Compare('a', 0)], [put])
        right = await client.transact([kv.Compare('a', 1)], [put])
    assert isinstance(wrong, kv.Conflict)
    assert [item.value for item in wrong.items] == [b'1']
    assert right == kv.Written(2)


async def test_a_lost_reply_is_unknown_and_a_refusal_is_not():
    async with running() as (platform, client):
        platform.lose_replies = 1
        lost = await client.transact([], [kv.Put('a', b'1')])
        platform.down = True
        refused = await client.transact([], [kv.Put('a', b'2')])
        read = await client.get('a')
    assert isinstance(lost, kv.Unknown)
    assert isinstance(refused, kv.Unavailable)
    assert isinstance(read, kv.Unavailable)
    assert platform.store.items['a'].value == b'1'


async def test_a_lease_ends_with_its_keys():
    async with running() as (platform, client):
        granted = await client.grant_lease(5.0)
        await client.transact([], [kv.Put('a', b'1', granted.lease_id)])
        renewed = await client.renew_lease(granted.lease_id)
        await client.revoke_lease(granted.lease_id)
        lost = await client.renew_lease(granted.lease_id)
        found = await client.get('a')
    assert renewed.ttl == 5.0
    assert isinstance(lost, kv.LeaseLost)
    assert found.items == ()


async def test_a_watch_says_what_changed_and_how_far_it_is():
    async with running() as (platform, client):
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


async def test_a_watch_ends_when_its_history_is_gone():
    async with running() as (platform, client):
        platform.compacted = 10
        async with client.watch('', 0) as items:
            ended = await anext(items)
    assert isinstance(ended, kv.WatchEnded)
