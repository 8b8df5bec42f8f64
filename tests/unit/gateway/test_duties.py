"""Hosts that report usage, with faults of hosts, links, store and API."""

import pytest
import trio

from corianderloft._internal.gateway.duties import duty
from corianderloft._internal.models import members
from corianderloft._internal.utils import clock
from tests.lib import duty_fleet

SEEDS = 6

SETTLED_S = 12.0
"""Time until the last windows of a test are reported."""


@pytest.fixture(autouse=True)
def _mocked_clock(monkeypatch):
    monkeypatch.setattr(clock, 'now', trio.current_time)


@pytest.fixture
def fleet(nursery):
    return duty_fleet.DutyFleet(nursery)


async def finish(fleet, serve_s=5.0):
    await fleet.serve(serve_s)
    await trio.sleep(SETTLED_S)
    return fleet.check()


def test_candidates_are_in_different_domains():
    fleet = [
        members.Member(f'h{n}', '', 1, 1, f'fd-{n % 4}', 's')
        for n in range(12)
    ]
    elected = duty.elect(fleet)
    assert len({m.failure_domain for m in elected}) == 3
    assert duty.elect(reversed(fleet)) == elected
    assert len(duty.elect(fleet[::4])) == 3


async def test_every_window_is_reported_once_and_on_time(
    fleet, autojump_clock
):
    await fleet.serve(40)
    correct = await finish(fleet)
    assert correct >= set(fleet.windows(0, 45))
    assert all(len(r) == 1 for r in fleet.api.reports().values())
    assert fleet.on_time() >= set(fleet.windows(5, 45))


async def test_load_of_the_store_does_not_grow_with_the_fleet(
    nursery, autojump_clock
):
    """Guards against hosts that compete without being candidates."""
    calls = []
    for size in (3, 30):
        fleet = duty_fleet.DutyFleet(nursery, size)
        await trio.sleep(60)
        calls.append(sum(fleet.store.calls.values()))
    assert calls[1] <= calls[0] * 1.3


async def test_holder_killed(fleet, autojump_clock):
    """The next holder continues with the windows not yet recorded."""
    await fleet.serve(20)
    fleet.kill(await fleet.holder())
    await fleet.serve(20)
    correct = await finish(fleet)
    # What ran on the killed host since its last datagram is not known.
    assert correct >= set(fleet.windows(5, 15)) | set(fleet.windows(25, 45))
    assert fleet.api.reports().keys() >= set(fleet.windows(5, 45))


async def test_holder_frozen_and_thawed(fleet, autojump_clock):
    """Guards against calls of a former holder that trusts its lease."""
    await fleet.serve(20)
    for frozen_s in (0.5, 2.5, 3.2, 9.0):
        holder = await fleet.holder()
        token = holder.duties.duty.current().token
        holder.freeze()
        await fleet.serve(frozen_s)
        holder.thaw()
        await fleet.serve(15)
        fleet.check()
    assert (await fleet.holder()).duties.duty.current().token > token


@pytest.mark.parametrize('direction', ['store_cut', 'replies_cut'])
async def test_holder_cut_off_from_the_store(fleet, autojump_clock, direction):
    await fleet.serve(20)
    holder = await fleet.holder()
    setattr(holder, direction, True)
    await fleet.serve(20)
    assert not holder.holds
    assert (await fleet.holder()) is not holder
    setattr(holder, direction, False)
    correct = await finish(fleet)
    assert correct >= set(fleet.windows(5, 45))


async def test_store_down(fleet, autojump_clock):
    """Windows whose counts are still known are reported afterwards."""
    await fleet.serve(20)
    fleet.store.down = True
    await fleet.serve(4)
    calls = len(fleet.api.calls)
    await fleet.serve(5)
    # No host can prove that it holds the lease.
    assert len(fleet.api.calls) == calls
    fleet.store.down = False
    await fleet.serve(10)
    assert await finish(fleet) >= set(fleet.windows(5, 44))


@pytest.mark.parametrize('lost_s', [1.0, 4.0, 12.0])
async def test_store_restored_from_an_older_copy(
    fleet, autojump_clock, lost_s
):
    """Guards against another report of a window whose record was lost."""
    await fleet.serve(21)
    copied = fleet.store.store.copy()
    await fleet.serve(lost_s)
    token = (await fleet.holder()).duties.duty.current().token
    reported = set(fleet.api.reports())
    fleet.restore(copied)
    await fleet.serve(20)
    assert await finish(fleet) > reported
    assert fleet.api.calls[-1].token > token
    later = fleet.windows(21 + lost_s + 5, 45 + lost_s)
    assert fleet.api.reports().keys() >= set(later)


async def test_lease_lost_with_the_store_before_its_holder_knows(
    fleet, autojump_clock
):
    """The former holder still trusts the lease when another acquires it."""
    copied = fleet.store.store.copy()
    await fleet.serve(22)
    former = await fleet.holder()
    former.store_cut = True
    fleet.restore(copied)
    await fleet.serve(2.0)
    former.store_cut = False
    await fleet.serve(15)
    await finish(fleet)


async def test_lease_ends_with_the_first_reply_of_a_later_era(
    fleet, autojump_clock
):
    """Guards against calls until the next renewal, for up to a second."""
    holder = await fleet.holder()
    fleet.restore(fleet.store.store.copy())
    assert holder.holds
    await holder.store.get('duties/usage')
    assert not holder.holds


async def test_reply_to_the_record_lost_and_write_executed_later(
    fleet, autojump_clock
):
    """Guards against a record that appears after the next holder has read."""
    await fleet.serve(20)
    for delay in (0.2, 1.5, 6.0):
        holder = await fleet.holder()
        fleet.store.hold_writes = 1
        await fleet.serve(5.5)
        holder.store_cut = True
        await fleet.serve(delay)
        fleet.store.execute_held()
        await fleet.serve(12)
        holder.store_cut = False
        fleet.check()
    assert await finish(fleet) >= set(fleet.windows(5, 20))


async def test_all_hosts_restarted(fleet, autojump_clock):
    """Counts of before are gone: no window is reported with a part of them."""
    await fleet.serve(22)
    reported = set(fleet.api.reports())
    for host in list(fleet.hosts.values()):
        fleet.kill(host, listed=False)
    for number in range(5):
        fleet.start(number)
    await fleet.serve(20)
    await finish(fleet)
    added = set(fleet.api.reports()) - reported
    assert not added & set(fleet.windows(0, 20))
    assert added >= set(fleet.windows(25, 45))
    assert fleet.check() >= set(fleet.windows(25, 45))


@pytest.mark.parametrize('error', [-7.0, -2.0, 3.0, 9.0])
async def test_wall_clock_wrong_by_seconds(fleet, autojump_clock, error):
    """A host with a wrong clock counts in the windows of the others."""
    await fleet.serve(8)
    (await fleet.holder()).wall_error = error
    await fleet.serve(7)
    fleet.start(5, wall_error=error)
    await fleet.serve(20)
    correct = await finish(fleet)
    # The new host may have counted for a second before it was corrected.
    assert correct >= set(fleet.windows(5, 15)) | set(fleet.windows(25, 40))
    assert fleet.on_time() >= set(fleet.windows(5, 40))


async def test_host_dies_in_a_window_and_comes_back(fleet, autojump_clock):
    """Counts of both runs of a host are added."""
    await fleet.serve(21)
    holder = await fleet.holder()
    number, host = next(
        (n, h)
        for n, h in enumerate(fleet.hosts.values())
        if not h.duties.duty.is_candidate
    )
    for _ in range(7):
        host.duties.usage.run('aswan').began()
        fleet.truth[int(fleet.true_time() // 5)]['aswan'] += 1
    await trio.sleep(1.1)
    fleet.kill(host)
    await fleet.serve(1)
    fleet.start(number)
    assert (await finish(fleet)) >= set(fleet.windows(5, 25))
    assert await fleet.holder() is holder


@pytest.mark.parametrize('status', [429, 503, None])
async def test_api_refuses_or_is_silent(fleet, autojump_clock, status):
    """Reports are repeated with the same counts until they are accepted."""
    await fleet.serve(20)
    fleet.api.status = status
    await fleet.serve(8)
    fleet.api.status = 200
    assert await finish(fleet) >= set(fleet.windows(5, 33))
    assert max(len(r) for r in fleet.api.reports().values()) > 1


async def test_shutdown_releases_the_lease_after_the_last_call(
    fleet, autojump_clock
):
    await fleet.serve(15)
    holder = await fleet.holder()
    holder.stopping.set()
    await trio.sleep(0.1)
    assert not holder.holds
    lease = fleet.store.store.items.get('duties/lease')
    assert lease is None or holder.member.host_id not in str(lease.value)
    await holder.duties.send_last()
    fleet.kill(holder)
    await fleet.serve(10)
    correct = await finish(fleet)
    assert correct >= set(fleet.windows(5, 25))


@pytest.mark.parametrize('seed', range(SEEDS))
async def test_random_faults(nursery, autojump_clock, seed):
    """Invariants of the API's calls hold over a history of faults."""
    fleet = duty_fleet.DutyFleet(nursery, 4, seed)
    rng = fleet.rng
    copies = [fleet.store.store.copy()]

    def fault():
        host = rng.choice(list(fleet.hosts.values()))
        number = int(host.member.host_id[1:])
        match rng.randrange(9):
            case 0:
                fleet.kill(host)
                fleet.start(number, rng.choice([0.0, -3.0, 3.0]))
            case 1:
                host.freeze()
            case 2:
                host.store_cut = not host.store_cut
            case 3:
                host.replies_cut = not host.replies_cut
            case 4:
                fleet.store.down = not fleet.store.down
            case 5:
                fleet.restore(rng.choice(copies[-3:]))
            case 6:
                fleet.store.hold_writes = 2
            case 7:
                fleet.api.status = rng.choice([200, 200, 429, None])
            case 8:
                host.loss = rng.choice([0.0, 0.3])
                host.wall_error = rng.choice([0.0, -4.0, 4.0])
        for other in fleet.hosts.values():
            if other is not host and rng.random() < 0.5:
                other.thaw()
                other.store_cut = other.replies_cut = False
        if rng.random() < 0.5:
            fleet.store.down = False

    for _ in range(40):
        await fleet.serve(rng.uniform(0.2, 8.0), rate=2.0)
        copies.append(fleet.store.store.copy())
        fault()
        fleet.store.execute_held()
        fleet.check()
    assert fleet.api.calls
