"""Choice of the source of store changes in a large fleet.

Guards against followers that stop receiving changes when their delegate or
the store fails, and against fleets that overload the store with reads.
"""

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
FOLLOWER = next(own for own in FLEET if PLACES[own].delegate)
DELEGATE = PLACES[FOLLOWER].delegate


class _FakeView:
    """Records the calls that it receives."""

    revision = 0
    confirmed_at = 0.0
    declaration_bytes = 0
    apply_s = 0.0

    def __init__(self):
        self.confirmed_or_applied = []
        self.failures = []
        self.load_count = 0

    def confirm(self, as_of, source='store', heard_at=None):
        self.confirmed_or_applied.append(as_of)

    def changes_to(self, found):
        return []

    def load(self, found):
        self.load_count += 1
        self.loaded_at = trio.current_time()
        self.revision = found.revision

    def advance(self, revision):
        self.revision = max(self.revision, revision)

    def apply(self, events):
        self.confirmed_or_applied += [event.revision for event in events]

    def note_store_failure(self, detail):
        self.failures.append(detail)

    def age(self):
        return 0.0

    def heard_age(self):
        return 0.0

    def log_fields(self):
        return {}


class _FakeStore:
    """Serves reads; its watches report progress without changes."""

    def __init__(self):
        self.reads = 0
        self.watches = 0
        self.unavailable = False

    async def get_prefix(self, prefix):
        await trio.sleep(0)
        self.reads += 1
        return (
            kv.Unavailable('refused') if self.unavailable else kv.Found(10, ())
        )

    @contextlib.asynccontextmanager
    async def watch(self, prefix, after, wait):
        self.watches += 1
        async with contextlib.aclosing(self._items(after, wait)) as items:
            yield items

    async def _items(self, after, wait):
        while True:
            await trio.sleep(wait())
            yield kv.WatchProgress(after, clock.now())


class _FakePeers:
    """Fake of the hosts that may be followed."""

    def __init__(self):
        self.polls = []
        self.items = ()
        self.silent = False
        self.gaps = 0

    async def watch(self, host, after, on_receive=None):
        self.polls.append((host.host_id, after))
        if self.gaps:
            self.gaps -= 1
            yield peer_changes.Gap('status 410', after)
            return
        for item in self.items:
            yield item
        if self.silent:
            yield kv.WatchEnded('no reply', after)
            return
        while True:
            await trio.sleep(peer_changes.LONG_POLL_S)
            yield kv.WatchProgress(after, clock.now())


@dataclasses.dataclass
class _Scene:
    store: _FakeStore
    local_view: _FakeView
    peers: _FakePeers
    follower: following.Follower


@pytest.fixture
def scene(monkeypatch):
    peers = _FakePeers()
    monkeypatch.setattr(peer_changes, 'watch', peers.watch)
    return _scene(peers, FOLLOWER)


def _scene(peers, own):
    store, local_view = _FakeStore(), _FakeView()
    follower = following.Follower(
        store, local_view, lambda: gateway.BOUNDS, own
    )
    return _Scene(store, local_view, peers, follower)


async def _run(scene, seconds, fleet=FLEET):
    scene.follower.use_members(fleet)
    with trio.move_on_after(seconds):
        await scene.follower.run()


async def test_a_host_of_a_large_fleet_follows_its_delegate(
    scene, autojump_clock
):
    scene.peers.items = (
        kv.WatchEvent('k', None, 12),
        kv.WatchProgress(12, 3.5),
    )
    await _run(scene, 10)
    assert scene.store.reads == 1
    assert scene.store.watches == 0
    assert scene.peers.polls == [(DELEGATE.host_id, 10)]
    assert scene.local_view.confirmed_or_applied[1:3] == [12, 3.5]
    assert scene.local_view.revision == 12
    assert not scene.follower.log.watches_store


async def test_the_delegate_watches_the_store(scene, autojump_clock):
    delegate_scene = _scene(scene.peers, DELEGATE)
    await _run(delegate_scene, 10)
    assert delegate_scene.peers.polls == []
    assert delegate_scene.store.watches == 1
    assert delegate_scene.follower.log.watches_store


async def test_a_small_fleet_watches_the_store(scene, autojump_clock):
    small = _scene(scene.peers, FLEET[0])
    await _run(small, 10, FLEET[: groups.MAX_SINGLE_GROUP_HOSTS])
    assert small.peers.polls == []
    assert small.store.watches == 1


async def test_the_store_is_watched_from_there_on_without_the_delegate(
    scene, autojump_clock
):
    scene.peers.silent = True
    await _run(scene, following.PEER_COOLDOWN_S / 2)
    assert scene.store.reads == 1
    assert scene.store.watches == 1
    assert scene.follower.log.watches_store
    assert scene.local_view.failures == []


async def test_the_delegate_is_followed_again_after_the_cooldown(
    scene, autojump_clock
):
    scene.peers.silent = True
    await _run(scene, 4 * following.PEER_COOLDOWN_S)
    assert 2 <= len(scene.peers.polls) <= 5


async def test_an_older_revision_of_the_delegate_is_ignored(
    scene, autojump_clock
):
    scene.peers.items = (kv.WatchProgress(4, 3.5),)
    await _run(scene, 10)
    assert scene.local_view.revision == 10


async def test_a_change_of_delegate_needs_no_read(
    scene, monkeypatch, autojump_clock
):
    monkeypatch.setattr(peer_changes, 'watch', _ticking(scene.peers))
    rest = tuple(m for m in FLEET if m != DELEGATE)
    successor = groups.assign(FOLLOWER, rest)

    async def leave_later():
        await trio.sleep(1)
        scene.follower.use_members(rest)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(leave_later)
        await _run(scene, 5)
    assert successor.delegate is not None
    assert [host for host, _ in scene.peers.polls] == [
        DELEGATE.host_id,
        successor.delegate.host_id,
    ]
    assert scene.store.reads == 1


def _ticking(peers):
    async def watch(host, after, on_receive=None):
        peers.polls.append((host.host_id, after))
        while True:
            await trio.sleep(0.7)
            yield kv.WatchProgress(after, clock.now())

    return watch


async def test_a_failed_renewal_is_ignored_while_following(
    scene, autojump_clock
):
    await _run(scene, 1)
    scene.follower.note_store_failure('refused')
    assert scene.local_view.failures == []


async def test_a_failed_renewal_is_recorded_while_watching_the_store(
    scene, autojump_clock
):
    delegate_scene = _scene(scene.peers, DELEGATE)
    await _run(delegate_scene, 1)
    delegate_scene.follower.note_store_failure('refused')
    assert delegate_scene.local_view.failures == ['refused']


async def _run_with_store_outage(scene, fleet, seconds=30):
    """Run a host for a second, then refuse all its reads."""
    scene.peers.silent = True

    async def refuse_later():
        await trio.sleep(1)
        scene.store.unavailable = True
        scene.store.reads = 0

    async with trio.open_nursery() as nursery:
        nursery.start_soon(refuse_later)
        scene.store.watch = _failing_watch(scene.store)
        await _run(scene, seconds, fleet)


def _failing_watch(store):
    @contextlib.asynccontextmanager
    async def watch(prefix, after, wait):
        yield _ended(after)

    async def _ended(after):
        await trio.sleep(1)
        yield kv.WatchEnded('refused', after)

    return watch


async def test_hosts_of_a_small_fleet_back_off_in_an_outage(
    scene, autojump_clock
):
    small = _scene(scene.peers, FLEET[0])
    await _run_with_store_outage(small, FLEET[: groups.MAX_SINGLE_GROUP_HOSTS])
    assert 20 <= small.store.reads <= 90


async def test_followers_back_off_further_in_an_outage(scene, autojump_clock):
    await _run_with_store_outage(scene, FLEET)
    assert 10 <= scene.store.reads <= 35


async def test_a_host_that_the_store_refuses_follows_its_delegate(
    scene, autojump_clock
):
    async def answer_later():
        await trio.sleep(8)
        scene.peers.items = (kv.WatchProgress(14, 3.5),)
        scene.peers.silent = False

    async with trio.open_nursery() as nursery:
        nursery.start_soon(answer_later)
        await _run_with_store_outage(scene, FLEET)
    assert scene.local_view.revision == 14
    assert scene.store.reads <= 20


async def test_a_delegate_that_replies_again_is_followed_at_once(
    scene, monkeypatch, autojump_clock
):
    # It was polled once for each failed call to the store.
    async def watch(host, after, on_receive=None):
        scene.peers.polls.append((host.host_id, after))
        if len(scene.peers.polls) < 3:
            yield kv.WatchEnded('no reply', after)
            return
        while True:
            await trio.sleep(peer_changes.LONG_POLL_S)
            yield kv.WatchProgress(after, clock.now())

    monkeypatch.setattr(peer_changes, 'watch', watch)
    monkeypatch.setattr(following, 'PEER_COOLDOWN_S', 60.0)

    async def refuse_later():
        await trio.sleep(0.5)
        scene.store.unavailable = True

    async with trio.open_nursery() as nursery:
        nursery.start_soon(refuse_later)
        scene.store.watch = _failing_watch(scene.store)
        await _run(scene, 30)
    assert len(scene.peers.polls) == 3


async def test_a_gap_causes_one_read_and_the_host_keeps_following(
    scene, autojump_clock
):
    scene.peers.gaps = 1
    await _run(scene, 10)
    assert scene.store.reads == 2
    assert scene.store.watches == 0
    assert len(scene.peers.polls) == 2


async def test_the_store_is_read_as_soon_as_the_delegate_reaches_it(
    scene, autojump_clock
):
    scene.follower.use_members(FLEET)
    scene.follower._backoff = _FakeBackoff(60.0)
    scene.store.unavailable = True
    restored_at = []

    async def restore_store():
        await trio.sleep(20)
        scene.store.unavailable = False
        scene.peers.silent = False
        scene.peers.gaps = 1
        restored_at.append(trio.current_time())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(restore_store)
        scene.peers.silent = True
        await _run(scene, 40)
    assert scene.local_view.load_count == 1
    assert scene.local_view.loaded_at < restored_at[0] + 1.0


class _FakeBackoff:
    """No delay at first, then a long fixed delay."""

    def __init__(self, seconds):
        self._seconds = seconds
        self._next = 0.0

    def next_delay(self):
        pause, self._next = self._next, self._seconds
        return pause

    def reset(self):
        self._next = 0.0


async def test_a_host_that_the_store_refuses_gets_whole_polls_of_its_delegate(
    scene, monkeypatch, autojump_clock
):
    # A poll without changes was given up before the delegate replied to it.
    scene.store.unavailable = True
    scene.local_view.heard_age = lambda: 60.0 - trio.current_time()
    replies = []

    async def watch(host, after, on_receive=None):
        await trio.sleep(peer_changes.LONG_POLL_S)
        replies.append(host.host_id)
        yield kv.WatchProgress(after, clock.now())

    monkeypatch.setattr(peer_changes, 'watch', watch)
    await _run(scene, 10)
    assert replies


async def test_a_host_with_a_narrow_link_follows_another_delegate(
    scene, monkeypatch, autojump_clock
):
    async def watch(host, after, on_receive=None):
        scene.peers.polls.append((host.host_id, after))
        if host == DELEGATE:
            yield kv.WatchEnded('no reply', after)
            return
        async with contextlib.aclosing(_ticking(scene.peers)(host, after)) as (
            items
        ):
            async for item in items:
                yield item

    monkeypatch.setattr(peer_changes, 'watch', watch)
    scene.local_view.declaration_bytes = 10**6
    own = dataclasses.replace(FOLLOWER, link_kbps=10_000)
    follower = following.Follower(
        scene.store, scene.local_view, lambda: gateway.BOUNDS, own
    )
    narrow = dataclasses.replace(scene, follower=follower)
    await _run(narrow, following.PEER_COOLDOWN_S / 2)
    successor, *_ = PLACES[FOLLOWER].successors
    assert scene.peers.polls[1][0] == successor.host_id
    assert scene.store.watches == 0
