"""Hosts that act together: membership and configuration under failures."""

import pytest
import trio

from corianderloft._internal.models import states
from tests.lib import fleet as fleets

DEAD_HOST_S = 5.0
IN_FORCE_S = 2.0
RECOVERY_S = 8.0


@pytest.fixture
async def fleet(nursery, autojump_clock):
    made = fleets.Fleet(nursery)
    await made.start_many(9)
    return made


def addresses(fleet):
    return [h.address for h in fleet.hosts.values()]


async def test_killed_host_leaves_all_answers(fleet, autojump_clock):
    fleet.kill('h4')
    took = await fleet.until(
        lambda: all('h4' not in fleet.live(h) for h in fleet.hosts)
    )
    assert took <= DEAD_HOST_S


async def test_every_host_learns_what_is_in_force_on_the_others(
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


async def test_a_host_that_takes_its_leave_back_is_told_of(
    fleet, autojump_clock
):
    shared = fleet.hosts['h4'].shared
    await shared.leave()
    others = [h for h in fleet.hosts if h != 'h4']
    await fleet.until(lambda: all('h4' not in fleet.live(h) for h in others))
    await shared.stay()
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


async def test_restarted_host_is_its_new_incarnation(fleet, autojump_clock):
    old = fleet.kill('h4')
    new = await fleet.start('h4', 'fd-1', ip=old.host.address)
    await fleet.until(
        lambda: all(
            new.host.incarnation
            in (m.incarnation for m in fleet.hosts[h].shared.live_hosts())
            for h in fleet.hosts
        )
    )


async def test_host_with_one_way_cut_to_some_stays(fleet, autojump_clock):
    everyone = addresses(fleet)
    fleet.network.cut([everyone[0]], everyone[1:4])
    for _ in range(60):
        await trio.sleep(1)
        assert all(
            len(fleet.live(h)) == len(everyone) for h in ('h5', 'h6', 'h7')
        )


async def test_deaf_host_leaves_answers_and_returns(fleet, autojump_clock):
    everyone = addresses(fleet)
    fleet.network.cut(everyone[1:], [everyone[0]])
    others = [h for h in fleet.hosts if h != 'h0']
    await fleet.until(lambda: all('h0' not in fleet.live(h) for h in others))
    fleet.network.cuts.clear()
    await fleet.until(
        lambda: all(len(fleet.live(h)) == 9 for h in fleet.hosts)
    )


async def test_paused_host_leaves_answers_and_returns(fleet, autojump_clock):
    address = fleet.hosts['h3'].address
    fleet.network.pause(address)
    others = [h for h in fleet.hosts if h != 'h3']
    await fleet.until(lambda: all('h3' not in fleet.live(h) for h in others))
    await trio.sleep(30)
    fleet.network.resume(address)
    await fleet.until(
        lambda: all(len(fleet.live(h)) == 9 for h in fleet.hosts)
    )


async def test_both_sides_of_a_cut_serve_and_heal(fleet, autojump_clock):
    await fleet.until_in_force(await fleet.edit())
    near = [
        h for h, f in fleet.hosts.items() if f.host.failure_domain == 'fd-0'
    ]
    far = [h for h in fleet.hosts if h not in near]
    ips = {h: f.address for h, f in fleet.hosts.items()}
    fleet.network.cut([ips[h] for h in near], [ips[h] for h in far])
    fleet.network.cut([ips[h] for h in far], [ips[h] for h in near])
    await fleet.until(
        lambda: all(fleet.live(h) == set(near) for h in near)
        and all(fleet.live(h) == set(far) for h in far)
    )
    await trio.sleep(60)
    assert all(f.shared.configuration_fresh() for f in fleet.hosts.values())
    fleet.network.cuts.clear()
    await fleet.until(
        lambda: all(len(fleet.live(h)) == 9 for h in fleet.hosts)
    )


async def test_leaving_host_serves_until_answers_ran_out(
    fleet, autojump_clock
):
    leaving = fleet.hosts['h2'].shared
    began = trio.current_time()
    rest = await leaving.leave()
    await fleet.until(
        lambda: all('h2' not in fleet.live(h) for h in fleet.hosts)
    )
    answer = fleet.hosts['h1'].shared.addresses(None)
    assert rest >= trio.current_time() - began + answer.ttl


async def test_answers_prefer_the_domain_and_spread(fleet, autojump_clock):
    first = [
        fleet.hosts['h0'].shared.addresses('fd-1').hosts[0] for _ in range(200)
    ]
    assert {host.failure_domain for host in first} == {'fd-1'}
    assert {host.host_id for host in first} == {'h1', 'h4', 'h7'}


async def test_change_is_in_force_everywhere(fleet, autojump_clock):
    for _ in range(5):
        took = await fleet.until_in_force(await fleet.edit())
        assert took <= IN_FORCE_S


async def test_change_reaches_hosts_through_silent_watches(
    fleet, autojump_clock
):
    await fleet.until_in_force(await fleet.edit())
    await trio.sleep(10)
    for host in fleet.hosts.values():
        host.kv.silent = True
    took = await fleet.until_in_force(await fleet.edit())
    assert took <= 8


async def test_change_reaches_a_host_whose_peers_are_cut(
    fleet, autojump_clock
):
    await fleet.settle(await fleet.edit())
    everyone = addresses(fleet)
    fleet.network.cut([everyone[0]], everyone)
    fleet.network.cut(everyone, [everyone[0]])
    await fleet.until_in_force(await fleet.edit())
    assert fleet.hosts['h0'].shared.configuration_fresh()


async def test_restart_without_the_service_learns_from_peers(
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


async def test_outage_of_the_service_stops_nothing(fleet, autojump_clock):
    revision = await fleet.edit()
    await fleet.settle(revision)
    fleet.outage(True)
    for _ in range(100):
        await trio.sleep(6)
        assert all(
            f.shared.configuration_fresh() for f in fleet.hosts.values()
        )
    fleet.outage(False)
    before = fleet.store.calls.total()
    await trio.sleep(1)
    herd = fleet.store.calls.total() - before
    assert herd <= 3 * len(fleet.hosts)
    await fleet.until_in_force(await fleet.edit())


async def test_host_cut_off_from_all_refuses_and_never_reverts(
    fleet, autojump_clock
):
    await fleet.settle(await fleet.edit())
    lonely = fleet.hosts['h0']
    everyone = addresses(fleet)
    fleet.network.cut([everyone[0]], everyone)
    fleet.network.cut(everyone, [everyone[0]])
    lonely.kv.down = True
    newer = await fleet.edit('newer')
    await fleet.until_in_force(newer, *(h for h in fleet.hosts if h != 'h0'))
    await fleet.until(lambda: not lonely.shared.configuration_fresh())
    lonely.kv.down = False
    lonely.kv.silent = True
    lonely.kv.stale_reads = 10
    await fleet.until(lonely.shared.configuration_fresh)
    assert lonely.shared.current_catalog().revision == newer
    assert not lonely.reverted()


async def test_late_messages_and_old_reads_revert_nothing(
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


async def test_calls_on_the_service_stay_flat(nursery, autojump_clock):
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
        before = fleet.store.calls.total()
        await trio.sleep(60)
        rates[size] = (fleet.store.calls.total() - before) / 60
    assert rates[32] <= 1.25 * rates[16]


async def test_all_hosts_restart_at_once(nursery, autojump_clock):
    reads = {}
    for size in (8, 32):
        fleet = fleets.Fleet(nursery)
        await fleet.start_many(size, domains=2)
        revision = await fleet.edit()
        await fleet.settle(revision)
        ended = [fleet.kill(host_id) for host_id in list(fleet.hosts)]
        before = fleet.store.calls['get_prefix']
        for old in ended:
            host = old.host
            await fleet.start(
                host.host_id, host.failure_domain, host.address, listed=False
            )
        began = trio.current_time()
        await fleet.settle(revision)
        assert trio.current_time() - began <= RECOVERY_S
        reads[size] = fleet.store.calls['get_prefix'] - before - size
        for host_id in list(fleet.hosts):
            fleet.kill(host_id)
    # Each host reads the list of hosts; few but the two watchers of both
    # domains read the two other prefixes.
    assert max(reads.values()) <= 12
