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

QUICK = {'call_timeout': 1.5, 'watch_silence': 1.5, 'reconnect_base': 0.01}
START = ids.Revision(1)
PUT = [interface.Put('a', b'1')]


@dataclasses.dataclass
class Path:
    """A client whose calls pass a relay to a service of its own."""

    kv: etcd.EtcdClient
    service_port: int
    relay: relay.TcpRelay

    async def counts(self) -> dict[str, int]:
        """Return the counts of the service."""
        counts = await calls.get(self.service_port, '/control/counts')
        assert isinstance(counts, dict)
        return counts


@contextlib.asynccontextmanager
async def path(
    service: dict[str, float] | None = None, **client: float
) -> collections.abc.AsyncGenerator[Path]:
    """Give a client, a relay and a service."""
    async with trio.open_nursery() as nursery:
        port = await nursery.start(
            standin.serve_kv,
            standin.KvSettings(progress_interval=0.1, **service or {}),
        )
        between = relay.TcpRelay(port)
        await nursery.start(between.run)
        endpoint = f'http://127.0.0.1:{between.port}'
        kv = etcd.EtcdClient(
            kv_settings.KvSettings(endpoint=endpoint, **QUICK | client)
        )
        yield Path(kv, port, between)
        await kv.aclose()
        nursery.cancel_scope.cancel()


async def test_a_write_that_lost_its_reply_is_unknown_and_took_effect() -> (
    None
):
    async with path() as way:
        await calls.set_faults(way.service_port, lose_replies=1)
        assert isinstance(await way.kv.transact([], PUT), interface.Unknown)
        found = await way.kv.get('a')
        assert isinstance(found, interface.Found)
        assert found.items[0].version == 1


async def test_a_read_survives_a_connection_gone_silent() -> None:
    async with path() as way:
        await way.kv.transact([], PUT)
        way.relay.silence_open()
        assert isinstance(await way.kv.get('a'), interface.Found)
        assert way.relay.accepted == 2


async def test_a_write_on_a_connection_gone_silent_is_not_repeated() -> None:
    async with path() as way:
        await way.kv.transact([], PUT)
        way.relay.silence_open()
        assert isinstance(await way.kv.transact([], PUT), interface.Unknown)
        assert (await way.counts())['writes'] == 1
        assert isinstance(await way.kv.transact([], PUT), interface.Written)


async def test_a_cut_refuses_and_heals() -> None:
    async with path() as way:
        way.relay.cut()
        await trio.testing.wait_all_tasks_blocked(0.05)
        written = await way.kv.transact([], PUT)
        assert isinstance(written, interface.Unavailable)
        way.relay.restore()
        await trio.testing.wait_all_tasks_blocked(0.05)
        assert isinstance(await way.kv.transact([], PUT), interface.Written)


async def test_a_watch_ends_when_its_connection_goes_silent() -> None:
    async with path() as way:
        async with way.kv.watch('', START) as changes:
            await way.kv.transact([], PUT)
            event = await anext(changes)
            assert isinstance(event, interface.WatchEvent)
            way.relay.silence_open()
            ended = await anext(changes)
            rest = [item async for item in changes]
        assert isinstance(ended, interface.WatchEnded) and not rest
        assert ended.revision == event.revision


async def test_a_quiet_watch_is_kept_open_by_progress() -> None:
    async with path(watch_silence=2.0) as way:
        async with way.kv.watch('other/', START) as changes:
            with trio.move_on_after(3.0) as scope:
                await anext(changes)
        assert scope.cancelled_caught


async def test_a_watch_of_compacted_history_ends() -> None:
    async with path(service={'history_limit': 2}) as way:
        for _ in range(4):
            await way.kv.transact([], PUT)
        async with way.kv.watch('', START) as changes:
            ended = await anext(changes)
        assert isinstance(ended, interface.WatchEnded)
        assert 'history begins' in ended.detail


async def test_calls_over_the_budget_are_not_made() -> None:
    async with path(writes_per_second=3) as way:
        writes = [await way.kv.transact([], PUT) for _ in range(40)]
        refused = [x for x in writes if isinstance(x, interface.Unavailable)]
        assert refused and 'budget' in refused[0].detail
        counts = await way.counts()
        assert counts['writes'] == len(writes) - len(refused)


async def test_calls_over_the_limit_of_the_service_are_unavailable() -> None:
    async with path(service={'writes_per_second': 3}) as way:
        writes = [await way.kv.transact([], PUT) for _ in range(30)]
        made = [x for x in writes if isinstance(x, interface.Written)]
        counts = await way.counts()
        assert counts['refused'] == len(writes) - len(made) > 0


async def test_old_reads_and_the_lagging_list() -> None:
    async with path() as way:
        await way.kv.transact([], PUT)
        await calls.set_faults(way.service_port, read_age=60)
        old = await way.kv.get('a')
        assert isinstance(old, interface.Found) and not old.items
        await calls.set_faults(way.service_port, read_age=0, platform_lag=0.2)
        async with way.kv.watch('platform/', START) as changes:
            await way.kv.transact([], [interface.Put('platform/x', b'1')])
            early = await way.kv.get('platform/x')
            assert isinstance(early, interface.Found) and not early.items
            event = await anext(changes)
        assert isinstance(event, interface.WatchEvent)


async def test_leases_can_be_made_to_expire() -> None:
    async with path() as way:
        lease = await way.kv.grant_lease(100)
        assert isinstance(lease, interface.LeaseGranted)
        await way.kv.transact([], [interface.Put('a', b'1', lease.lease_id)])
        await calls.post(way.service_port, '/control/expire-leases', {})
        assert isinstance(
            await way.kv.renew_lease(lease.lease_id), interface.LeaseLost
        )
        found = await way.kv.get('a')
        assert isinstance(found, interface.Found) and not found.items
