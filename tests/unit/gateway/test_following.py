"""Whom a host of a large fleet hears from, and what it does without."""

import contextlib
import dataclasses

import pytest
import trio

from corianderloft._internal.gateway import following
from corianderloft._internal.gateway import peer_changes
from corianderloft._internal.kv import interface as kv
from corianderloft._internal.models import members
from corianderloft._internal.placement import groups
from corianderloft._internal.utils import clock
from tests.lib import gateway

FLEET = tuple(
    members.Member(f'h-{n}', '127.0.0.1', 80, 90, 'cairo-a', 's')
    for n in range(groups.MAX_SINGLE_GROUP_HOSTS + 4)
)
PLACES = {own: groups.assign(own, FLEET) for own in FLEET}
FOLLOWING = next(own for own in FLEET if PLACES[own].delegate)
DELEGATE = PLACES[FOLLOWING].delegate


class _Beliefs:
    """Notes what it is told."""

    revision = 0

    def __init__(self):
        self.told = []
        self.troubles = []
        self.loads = 0

    def confirm(self, as_of):
        self.told.append(as_of)

    def load(self, found):
        self.loads += 1
        self.loaded_at = trio.current_time()
        self.revision = found.revision

    def apply(self, events):
        self.told += [event.revision for event in events]

    def trouble(self, detail):
        self.troubles.append(detail)

    def age(self):
        return 0.0


class _Store:
    """Answers reads; its watches tell that nothing changed."""

    def __init__(self):
        self.reads = 0
        self.watches = 0
        self.down = False

    async def get_prefix(self, prefix):
        await trio.sleep(0)
        self.reads += 1
        return kv.Unavailable('refused') if self.down else kv.Found(10, ())

    @contextlib.asynccontextmanager
    async def watch(self, prefix, after, wait):
        self.watches += 1
        async with contextlib.aclosing(self._items(after, wait)) as items:
            yield items

    async def _items(self, after, wait):
        while True:
            await trio.sleep(wait())
            yield kv.WatchProgress(after, clock.now())


class _Peers:
    """Stands in for the hosts that may be followed."""

    def __init__(self):
        self.asked = []
        self.items = ()
        self.silent = False
        self.gaps = 0

    async def watch(self, host, after):
        self.asked.append((host.host_id, after))
        if self.gaps:
            self.gaps -= 1
            yield peer_changes.Gap('status 410', after)
            return
        for item in self.items:
            yield item
        if self.silent:
            yield kv.WatchEnded('no reply', after)
            return
        await trio.sleep_forever()


@dataclasses.dataclass
class _Scene:
    store: _Store
    beliefs: _Beliefs
    peers: _Peers
    follower: following.Follower


@pytest.fixture
def scene(monkeypatch):
    peers = _Peers()
    monkeypatch.setattr(peer_changes, 'watch', peers.watch)
    return _scene(peers, FOLLOWING)


def _scene(peers, own):
    store, beliefs = _Store(), _Beliefs()
    follower = following.Follower(store, beliefs, lambda: gateway.BOUNDS, own)
    return _Scene(store, beliefs, peers, follower)


async def _run(scene, seconds, fleet=FLEET):
    scene.follower.use_members(fleet)
    with trio.move_on_after(seconds):
        await scene.follower.run()


async def test_a_host_of_a_large_fleet_follows_the_one_of_its_group(
    scene, autojump_clock
):
    scene.peers.items = (
        kv.WatchEvent('k', None, 12),
        kv.WatchProgress(12, 3.5),
    )
    await _run(scene, 10)
    assert scene.store.reads == 1
    assert scene.store.watches == 0
    assert scene.peers.asked == [(DELEGATE.host_id, 10)]
    assert scene.beliefs.told[-2:] == [12, 3.5]
    assert scene.beliefs.revision == 12
    assert not scene.follower.log.direct


async def test_the_host_that_is_followed_watches_the_store(
    scene, autojump_clock
):
    followed = _scene(scene.peers, DELEGATE)
    await _run(followed, 10)
    assert followed.peers.asked == []
    assert followed.store.watches == 1
    assert followed.follower.log.direct


async def test_a_small_fleet_watches_the_store(scene, autojump_clock):
    small = _scene(scene.peers, FLEET[0])
    await _run(small, 10, FLEET[: groups.MAX_SINGLE_GROUP_HOSTS])
    assert small.peers.asked == []
    assert small.store.watches == 1


async def test_without_the_followed_host_the_store_is_read_and_watched(
    scene, autojump_clock
):
    scene.peers.silent = True
    await _run(scene, following.AVOID_TIME / 2)
    assert scene.store.reads == 2
    assert scene.store.watches == 1
    assert scene.follower.log.direct
    assert scene.beliefs.troubles == []


async def test_after_a_while_the_host_is_followed_again(scene, autojump_clock):
    scene.peers.silent = True
    await _run(scene, 4 * following.AVOID_TIME)
    assert 2 <= len(scene.peers.asked) <= 5


async def test_an_older_host_takes_back_no_revision(scene, autojump_clock):
    scene.peers.items = (kv.WatchProgress(4, 3.5),)
    await _run(scene, 10)
    assert scene.beliefs.revision == 10


async def test_another_followed_host_needs_no_read(
    scene, monkeypatch, autojump_clock
):
    monkeypatch.setattr(peer_changes, 'watch', _ticking(scene.peers))
    rest = tuple(m for m in FLEET if m != DELEGATE)
    successor = groups.assign(FOLLOWING, rest)

    async def leave_later():
        await trio.sleep(1)
        scene.follower.use_members(rest)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(leave_later)
        await _run(scene, 5)
    assert successor.delegate is not None
    assert [host for host, _ in scene.peers.asked] == [
        DELEGATE.host_id,
        successor.delegate.host_id,
    ]
    assert scene.store.reads == 1


def _ticking(peers):
    async def watch(host, after):
        peers.asked.append((host.host_id, after))
        while True:
            await trio.sleep(0.7)
            yield kv.WatchProgress(after, clock.now())

    return watch


async def test_a_failed_renewal_says_nothing_of_what_another_host_tells(
    scene, autojump_clock
):
    await _run(scene, 1)
    scene.follower.note_store_failure('refused')
    assert scene.beliefs.troubles == []


async def test_a_failed_renewal_counts_for_a_host_that_asks_the_store(
    scene, autojump_clock
):
    followed = _scene(scene.peers, DELEGATE)
    await _run(followed, 1)
    followed.follower.note_store_failure('refused')
    assert followed.beliefs.troubles == ['refused']


async def _lose_the_store(scene, fleet, seconds=30):
    """Let a host hear for a second, then refuse all its reads."""
    scene.peers.silent = True

    async def refuse_later():
        await trio.sleep(1)
        scene.store.down = True
        scene.store.reads = 0

    async with trio.open_nursery() as nursery:
        nursery.start_soon(refuse_later)
        scene.store.watch = _lost_watch(scene.store)
        await _run(scene, seconds, fleet)


def _lost_watch(store):
    @contextlib.asynccontextmanager
    async def watch(prefix, after, wait):
        yield _ended(after)

    async def _ended(after):
        await trio.sleep(1)
        yield kv.WatchEnded('refused', after)

    return watch


async def test_hosts_of_a_small_fleet_ask_a_lost_store_seldom(
    scene, autojump_clock
):
    small = _scene(scene.peers, FLEET[0])
    await _lose_the_store(small, FLEET[: groups.MAX_SINGLE_GROUP_HOSTS])
    assert 20 <= small.store.reads <= 90


async def test_hosts_that_follow_ask_a_lost_store_more_seldom(
    scene, autojump_clock
):
    await _lose_the_store(scene, FLEET)
    assert 10 <= scene.store.reads <= 35


async def test_a_host_that_the_store_refuses_hears_from_its_group(
    scene, autojump_clock
):
    async def answer_later():
        await trio.sleep(8)
        scene.peers.items = (kv.WatchProgress(14, 3.5),)
        scene.peers.silent = False

    async with trio.open_nursery() as nursery:
        nursery.start_soon(answer_later)
        await _lose_the_store(scene, FLEET)
    assert scene.beliefs.revision == 14
    assert scene.store.reads <= 20


async def test_a_host_that_missed_changes_reads_once_and_follows_on(
    scene, autojump_clock
):
    scene.peers.gaps = 1
    await _run(scene, 10)
    assert scene.store.reads == 2
    assert scene.store.watches == 0
    assert len(scene.peers.asked) == 2


async def test_the_store_is_read_as_soon_as_the_followed_host_has_it(
    scene, autojump_clock
):
    scene.follower.use_members(FLEET)
    scene.follower._backoff = _Pauses(60.0)
    scene.store.down = True
    regained = []

    async def regain():
        await trio.sleep(20)
        scene.store.down = False
        scene.peers.silent = False
        scene.peers.gaps = 1
        regained.append(trio.current_time())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(regain)
        scene.peers.silent = True
        await _run(scene, 40)
    assert scene.beliefs.loads == 1
    assert scene.beliefs.loaded_at < regained[0] + 1.0


class _Pauses:
    """Long pauses after the first one."""

    def __init__(self, seconds):
        self._seconds = seconds
        self._next = 0.0

    def next_delay(self):
        pause, self._next = self._next, self._seconds
        return pause

    def reset(self):
        self._next = 0.0
