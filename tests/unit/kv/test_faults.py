"""Tests of the etcd client under faults of the service and the network."""

import collections.abc
import contextlib
import dataclasses

import trio
import trio.testing

from corianderloft._internal.kv import etcd
from corianderloft._internal.kv import interface
from corianderloft._internal.models import ids
from corianderloft._internal.settings import kv as kv_settings
from corianderloft._internal import standin
from tests.lib import calls
from tests.lib import relay

SHORT_TIMEOUTS = {
    'call_timeout': 1.5,
    'watch_silence': 1.5,
    'reconnect_base': 0.01,
}
START = ids.Revision(1)
PUT = [interface.Put('a', b'1')]


@dataclasses.dataclass
class RelayedClient:
    """A client that is connected to its own service through a relay."""

    kv: etcd.EtcdClient
    service_port: int
    relay: relay.TcpRelay

    async def counts(self) -> dict[str, int]:
        """Return the call counts of the service."""
        counts = await calls.get(self.service_port, '/control/counts')
        assert isinstance(counts, dict)
        return counts


@contextlib.asynccontextmanager
async def relayed_client(
    service: dict[str, float] | None = None, **client: float
) -> collections.abc.AsyncGenerator[RelayedClient]:
    """Run a service and a relay, and yield a client of them."""
    async with trio.open_nursery() as nursery:
        port = await nursery.start(
            standin.serve_kv,
            standin.KvSettings(progress_interval=0.1, **service or {}),
        )
        tcp_relay = relay.TcpRelay(port)
        await nursery.start(tcp_relay.run)
        endpoint = f'http://127.0.0.1:{tcp_relay.port}'
        kv = etcd.EtcdClient(
            kv_settings.KvSettings(
                endpoint=endpoint, **SHORT_TIMEOUTS | client
            )
        )
        yield RelayedClient(kv, port, tcp_relay)
        await kv.aclose()
        nursery.cancel_scope.cancel()


async def test_write_with_a_lost_reply_is_unknown_and_took_effect() -> None:
    async with relayed_client() as relayed:
        await calls.set_faults(relayed.service_port, lose_replies=1)
        assert isinstance(
            await relayed.kv.transact([], PUT), interface.Unknown
        )
        found = await relayed.kv.get('a')
        assert isinstance(found, interface.Found)
        assert found.items[0].version == 1


async def test_read_is_retried_after_a_silent_connection() -> None:
    async with relayed_client() as relayed:
        await relayed.kv.transact([], PUT)
        relayed.relay.silence_open()
        assert isinstance(await relayed.kv.get('a'), interface.Found)
        assert relayed.relay.accepted == 2


async def test_write_is_not_retried_after_a_silent_connection() -> None:
    async with relayed_client() as relayed:
        await relayed.kv.transact([], PUT)
        relayed.relay.silence_open()
        assert isinstance(
            await relayed.kv.transact([], PUT), interface.Unknown
        )
        assert (await relayed.counts())['writes'] == 1
        assert isinstance(
            await relayed.kv.transact([], PUT), interface.Written
        )


async def test_writes_fail_during_an_outage_and_work_after_it() -> None:
    async with relayed_client() as relayed:
        relayed.relay.cut()
        await trio.testing.wait_all_tasks_blocked(0.05)
        written = await relayed.kv.transact([], PUT)
        assert isinstance(written, interface.Unavailable)
        relayed.relay.restore()
        await trio.testing.wait_all_tasks_blocked(0.05)
        assert isinstance(
            await relayed.kv.transact([], PUT), interface.Written
        )


async def test_watch_ends_on_a_silent_connection() -> None:
    async with relayed_client() as relayed:
        async with relayed.kv.watch('', START) as changes:
            await relayed.kv.transact([], PUT)
            event = await anext(changes)
            assert isinstance(event, interface.WatchEvent)
            relayed.relay.silence_open()
            ended = await anext(changes)
            rest = [item async for item in changes]
        assert isinstance(ended, interface.WatchEnded) and not rest
        assert ended.revision == event.revision


async def test_progress_messages_keep_an_idle_watch_open() -> None:
    async with relayed_client(watch_silence=2.0) as relayed:
        async with relayed.kv.watch('other/', START) as changes:
            with trio.move_on_after(3.0) as scope:
                await anext(changes)
        assert scope.cancelled_caught


async def test_watch_of_compacted_history_ends() -> None:
    async with relayed_client(service={'history_limit': 2}) as relayed:
        for _ in range(4):
            await relayed.kv.transact([], PUT)
        async with relayed.kv.watch('', START) as changes:
            ended = await anext(changes)
        assert isinstance(ended, interface.WatchEnded)
        assert 'history begins' in ended.detail


async def test_calls_over_the_budget_are_not_sent() -> None:
    async with relayed_client(writes_per_second=3) as relayed:
        writes = [await relayed.kv.transact([], PUT) for _ in range(40)]
        refused = [x for x in writes if isinstance(x, interface.Unavailable)]
        assert refused and 'budget' in refused[0].detail
        counts = await relayed.counts()
        assert counts['writes'] == len(writes) - len(refused)


async def test_calls_over_the_limit_of_the_service_are_unavailable() -> None:
    async with relayed_client(service={'writes_per_second': 3}) as relayed:
        writes = [await relayed.kv.transact([], PUT) for _ in range(30)]
        written = [x for x in writes if isinstance(x, interface.Written)]
        counts = await relayed.counts()
        assert counts['refused'] == len(writes) - len(written) > 0


async def test_stale_reads_and_lagging_platform_keys() -> None:
    async with relayed_client() as relayed:
        await relayed.kv.transact([], PUT)
        await calls.set_faults(relayed.service_port, read_age=60)
        stale = await relayed.kv.get('a')
        assert isinstance(stale, interface.Found) and not stale.items
        await calls.set_faults(
            relayed.service_port, read_age=0, platform_lag=0.2
        )
        async with relayed.kv.watch('platform/', START) as changes:
            await relayed.kv.transact([], [interface.Put('platform/x', b'1')])
            early = await relayed.kv.get('platform/x')
            assert isinstance(early, interface.Found) and not early.items
            event = await anext(changes)
        assert isinstance(event, interface.WatchEvent)


async def test_expired_lease_removes_its_keys() -> None:
    async with relayed_client() as relayed:
        lease = await relayed.kv.grant_lease(100)
        assert isinstance(lease, interface.LeaseGranted)
        await relayed.kv.transact(
            [], [interface.Put('a', b'1', lease.lease_id)]
        )
        await calls.post(relayed.service_port, '/control/expire-leases', {})
        assert isinstance(
            await relayed.kv.renew_lease(lease.lease_id), interface.LeaseLost
        )
        found = await relayed.kv.get('a')
        assert isinstance(found, interface.Found) and not found.items
