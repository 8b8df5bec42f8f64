"""Tests for membership and configuration of several hosts under failures."""

import pytest
import trio

from corianderloft._internal.models import states
from tests.lib import fleet as fleets

MAX_DETECTION_S = 5.0
MAX_APPLY_S = 2.0
MAX_RECOVERY_S = 8.0


@pytest.fixture
async def fleet(nursery, autojump_clock):
    running = fleets.Fleet(nursery)
    await running.start_many(9)
    return running


def addresses(fleet):
    return [h.address for h in fleet.hosts.values()]


async def test_killed_host_is_removed_from_all_views(fleet, autojump_clock):
    fleet.kill('h4')
    elapsed = await fleet.until(
        lambda: all('h4' not in fleet.live(h) for h in fleet.hosts)
    )
    assert elapsed <= MAX_DETECTION_S


async def test_every_host_knows_the_applied_revision_of_the_others(
    fleet, autojump_clock
):
    revision = await fleet.edit()
    await fleet.until_in_force(revision)
    await fleet.until(
        lambda: all(
            host.revision >= revision
            for running in fleet.hosts.values()
            for host in running.shared.live_hosts()
        )
    )


async def test_cancelled_leave_reaches_all_hosts(fleet, autojump_clock):
    shared = fleet.hosts['h4'].shared
    await shared.leave()
    others = [h for h in fleet.hosts if h != 'h4']
    await fleet.until(lambda: all('h4' not in fleet.live(h) for h in others))
    await shared.cancel_leave()
    await fleet.until(
        lambda: all(len(fleet.live(h)) == 9 for h in fleet.hosts)
    )


async def test_host_replaced_on_the_same_address(fleet, autojump_clock):
    old = fleet.kill('h4')
    await fleet.start('h99', 'fd-1', ip=old.host.address)
    expected = set(fleet.hosts)
    await fleet.until(
        lambda: all(fleet.live(h) == expected for h in fleet.hosts)
    )


async def test_restarted_host_is_known_by_its_new_incarnation(
    fleet, autojump_clock
):
    old = fleet.kill('h4')
    new = await fleet.start('h4', 'fd-1', ip=old.host.address)
    await fleet.until(
        lambda: all(
            new.host.incarnation
            in (m.incarnation for m in fleet.hosts[h].shared.live_hosts())
            for h in fleet.hosts
        )
    )


async def test_host_with_partial_one_way_partition_stays_live(
    fleet, autojump_clock
):
    all_addresses = addresses(fleet)
    fleet.network.cut([all_addresses[0]], all_addresses[1:4])
    for _ in range(60):
        await trio.sleep(1)
        assert all(
            len(fleet.live(h)) == len(all_addresses)
            for h in ('h5', 'h6', 'h7')
        )


async def test_host_that_receives_nothing_is_removed_and_rejoins(
    fleet, autojump_clock
):
    all_addresses = addresses(fleet)
    fleet.network.cut(all_addresses[1:], [all_addresses[0]])
    others = [h for h in fleet.hosts if h != 'h0']
    await fleet.until(lambda: all('h0' not in fleet.live(h) for h in others))
    fleet.network.cuts.clear()
    await fleet.until(
        lambda: all(len(fleet.live(h)) == 9 for h in fleet.hosts)
    )


async def test_paused_host_is_removed_and_rejoins(fleet, autojump_clock):
    address = fleet.hosts['h3'].address
    fleet.network.pause(address)
    others = [h for h in fleet.hosts if h != 'h3']
    await fleet.until(lambda: all('h3' not in fleet.live(h) for h in others))
    await trio.sleep(30)
    fleet.network.resume(address)
    await fleet.until(
        lambda: all(len(fleet.live(h)) == 9 for h in fleet.hosts)
    )


async def test_both_sides_of_a_partition_serve_and_merge(
    fleet, autojump_clock
):
    await fleet.until_in_force(await fleet.edit())
    one_side = [
        h for h, f in fleet.hosts.items() if f.host.failure_domain == 'fd-0'
    ]
    other_side = [h for h in fleet.hosts if h not in one_side]
    ips = {h: f.address for h, f in fleet.hosts.items()}
    fleet.network.cut([ips[h] for h in one_side], [ips[h] for h in other_side])
    fleet.network.cut([ips[h] for h in other_side], [ips[h] for h in one_side])
    await fleet.until(
        lambda: all(fleet.live(h) == set(one_side) for h in one_side)
        and all(fleet.live(h) == set(other_side) for h in other_side)
    )
    await trio.sleep(60)
    assert all(f.shared.configuration_fresh() for f in fleet.hosts.values())
    fleet.network.cuts.clear()
    await fleet.until(
        lambda: all(len(fleet.live(h)) == 9 for h in fleet.hosts)
    )


async def test_leaving_host_serves_until_address_lists_expire(
    fleet, autojump_clock
):
    leaving = fleet.hosts['h2'].shared
    started_at = trio.current_time()
    drain_s = await leaving.leave()
    await fleet.until(
        lambda: all('h2' not in fleet.live(h) for h in fleet.hosts)
    )
    address_list = fleet.hosts['h1'].shared.addresses(None)
    assert drain_s >= trio.current_time() - started_at + address_list.ttl


async def test_address_lists_prefer_the_failure_domain(fleet, autojump_clock):
    first = [
        fleet.hosts['h0'].shared.addresses('fd-1').hosts[0] for _ in range(200)
    ]
    assert {host.failure_domain for host in first} == {'fd-1'}
    assert {host.host_id for host in first} == {'h1', 'h4', 'h7'}


async def test_change_is_applied_on_all_hosts(fleet, autojump_clock):
    for _ in range(5):
        elapsed = await fleet.until_in_force(await fleet.edit())
        assert elapsed <= MAX_APPLY_S


async def test_change_reaches_hosts_with_hanging_watches(
    fleet, autojump_clock
):
    await fleet.until_in_force(await fleet.edit())
    await trio.sleep(10)
    for host in fleet.hosts.values():
        host.kv.silent = True
    elapsed = await fleet.until_in_force(await fleet.edit())
    assert elapsed <= 8


async def test_change_reaches_a_host_without_reachable_peers(
    fleet, autojump_clock
):
    await fleet.settle(await fleet.edit())
    all_addresses = addresses(fleet)
    fleet.network.cut([all_addresses[0]], all_addresses)
    fleet.network.cut(all_addresses, [all_addresses[0]])
    await fleet.until_in_force(await fleet.edit())
    assert fleet.hosts['h0'].shared.configuration_fresh()


async def test_host_restarted_in_an_outage_learns_from_peers(
    nursery, autojump_clock
):
    fleet = fleets.Fleet(nursery, peers={'seeds': ['10.0.0.1:7000']})
    await fleet.start_many(4)
    revision = await fleet.edit()
    await fleet.until_in_force(revision)
    fleet.outage(True)
    fleet.kill('h2')
    await fleet.start('h2', 'fd-2')
    await fleet.settle(revision)


async def test_outage_of_the_kv_service_stops_no_host(fleet, autojump_clock):
    revision = await fleet.edit()
    await fleet.settle(revision)
    fleet.outage(True)
    for _ in range(100):
        await trio.sleep(6)
        assert all(
            f.shared.configuration_fresh() for f in fleet.hosts.values()
        )
    fleet.outage(False)
    calls_before = fleet.store.calls.total()
    await trio.sleep(1)
    calls = fleet.store.calls.total() - calls_before
    assert calls <= 3 * len(fleet.hosts)
    await fleet.until_in_force(await fleet.edit())


async def test_isolated_host_refuses_work_and_never_reverts(
    fleet, autojump_clock
):
    await fleet.settle(await fleet.edit())
    isolated = fleet.hosts['h0']
    all_addresses = addresses(fleet)
    fleet.network.cut([all_addresses[0]], all_addresses)
    fleet.network.cut(all_addresses, [all_addresses[0]])
    isolated.kv.down = True
    newer = await fleet.edit('newer')
    await fleet.until_in_force(newer, *(h for h in fleet.hosts if h != 'h0'))
    await fleet.until(lambda: not isolated.shared.configuration_fresh())
    isolated.kv.down = False
    isolated.kv.silent = True
    isolated.kv.stale_reads = 10
    await fleet.until(isolated.shared.configuration_fresh)
    assert isolated.shared.current_catalog().revision == newer
    assert not isolated.reverted()


async def test_late_messages_and_stale_reads_revert_nothing(
    fleet, autojump_clock
):
    await fleet.until_in_force(await fleet.edit())
    old = list(fleet.network.sent)
    newer = await fleet.edit('newer')
    await fleet.until_in_force(newer)
    fleet.outage(True)
    await trio.sleep(5)
    for host in fleet.hosts.values():
        host.kv.stale_reads = 20
    fleet.outage(False)
    for source, to, message in old[-300:]:
        await fleet.network.deliver(source, to, message, 0)
    for _ in range(40):
        await trio.sleep(0.5)
        assert all(fleet.revision(h) == newer for h in fleet.hosts)
    assert not any(host.reverted() for host in fleet.hosts.values())


async def test_leaving_backend_is_known_within_three_seconds(
    fleet, autojump_clock
):
    await fleet.put_backend('e1')
    await fleet.put_backend('e2')

    def known_as(engine_id, wanted):
        return all(
            wanted
            in (
                b.state
                for b in f.shared.current_backends()
                if b.engine_id == engine_id
            )
            for f in fleet.hosts.values()
        )

    live = states.BackendState.LIVE
    leaving = states.BackendState.LEAVING
    await fleet.until(lambda: known_as('e1', live) and known_as('e2', live))
    await fleet.put_backend('e1', 'leaving')
    assert await fleet.until(lambda: known_as('e1', leaving)) <= 3
    fleet.outage(True)
    fleet.hosts['h7'].shared.note_backend_leaving('e2')
    assert await fleet.until(lambda: known_as('e2', leaving)) <= 3


async def test_kv_call_rate_does_not_grow_with_the_fleet(
    nursery, autojump_clock
):
    rates = {}
    fleet = fleets.Fleet(nursery)
    for size in (16, 32):
        for n in range(len(fleet.hosts), size):
            await fleet.start(f'h{n}', f'fd-{n % 4}')
        await fleet.until(
            lambda: all(len(fleet.live(h)) == size for h in fleet.hosts)
        )
        await fleet.until_in_force(await fleet.edit())
        await trio.sleep(20)
        calls_before = fleet.store.calls.total()
        await trio.sleep(60)
        rates[size] = (fleet.store.calls.total() - calls_before) / 60
    assert rates[32] <= 1.25 * rates[16]


async def test_all_hosts_restart_at_once(nursery, autojump_clock):
    reads = {}
    for size in (8, 32):
        fleet = fleets.Fleet(nursery)
        await fleet.start_many(size, domains=2)
        revision = await fleet.edit()
        await fleet.settle(revision)
        killed = [fleet.kill(host_id) for host_id in list(fleet.hosts)]
        calls_before = fleet.store.calls['get_prefix']
        for old in killed:
            host = old.host
            await fleet.start(
                host.host_id, host.failure_domain, host.address, listed=False
            )
        started_at = trio.current_time()
        await fleet.settle(revision)
        assert trio.current_time() - started_at <= MAX_RECOVERY_S
        reads[size] = fleet.store.calls['get_prefix'] - calls_before - size
        for host_id in list(fleet.hosts):
            fleet.kill(host_id)
    # Each host reads the list of hosts. The two other prefixes are read by
    # the two watchers of each of the two domains and by few other hosts.
    assert max(reads.values()) <= 12
