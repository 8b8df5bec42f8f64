"""Time from the acknowledgement of a change until it is in force everywhere.

Guards against steps that fill the bound without a reserve, and against hosts
that go on serving on old evidence while their source is cut, silent or slow.
"""

import contextlib
import dataclasses
import itertools
import math
import random

import hypothesis
from hypothesis import strategies as st
import pytest
import trio
import trio.testing

from corianderloft._internal.gateway import change_budget
from corianderloft._internal.gateway import following
from corianderloft._internal.gateway import load_exchange
from corianderloft._internal.gateway import outages
from corianderloft._internal.gateway import peer_changes
from corianderloft._internal.gateway import view
from corianderloft._internal.kv import interface as kv
from corianderloft._internal.models import ids
from corianderloft._internal.models import listener
from corianderloft._internal.models import members
from corianderloft._internal.placement import groups
from corianderloft._internal.platform import daemon
from corianderloft._internal.platform import store
from corianderloft._internal.utils import clock
from tests.lib import gateway

FLEET = tuple(
    members.Member(f'h-{n}', '127.0.0.1', 80, 90, 'cairo-a', 's')
    for n in range(groups.MAX_SINGLE_GROUP_HOSTS + 4)
)
FOLLOWER = next(own for own in FLEET if groups.assign(own, FLEET).delegate)
DELEGATE = groups.assign(FOLLOWER, FLEET).delegate

CALL_TIMEOUT_S = 1.0

bounds = st.builds(
    lambda change, other, recovery, min_outage: dataclasses.replace(
        gateway.BOUNDS,
        drain_time=change,
        apply_time=change + other,
        recovery_time=recovery,
        min_outage=min_outage,
    ),
    st.floats(2.0, 8.0),
    st.floats(0.0, 4.0),
    st.floats(2.0, 8.0),
    st.sampled_from([0.0, 2.0, 2.4, 4.0]),
)
heard_ages = st.floats(0.0, 2.0)


@hypothesis.given(bounds, st.booleans(), heard_ages)
def test_a_change_made_in_a_pause_is_in_force_in_time(cfg, followed, age):
    pause = change_budget.max_pause(cfg, followed, age)
    hypothesis.assume(pause > 0)
    steps = [
        pause,
        change_budget.STORE_DELAY_S,
        change_budget.RELAY_S if followed else 0.0,
        change_budget.APPLY_S,
        change_budget.SEND_S,
    ]
    reserve = change_budget.RESERVE_RATIO * cfg.drain_time
    assert sum(steps) + reserve <= cfg.drain_time + 1e-6


@hypothesis.given(bounds)
def test_a_host_that_leaves_its_source_has_changes_in_force_in_time(cfg):
    steps = [
        change_budget.max_evidence_age(cfg),
        change_budget.READ_S,
        change_budget.APPLY_S,
        change_budget.SEND_S,
    ]
    reserve = change_budget.RESERVE_RATIO * cfg.drain_time
    assert sum(steps) + reserve <= cfg.drain_time + 1e-6


@hypothesis.given(bounds, st.booleans(), heard_ages)
def test_a_lost_watch_is_replaced_within_the_recovery_time(cfg, followed, age):
    wait = change_budget.max_wait(cfg, followed, age)
    hypothesis.assume(wait > change_budget.MIN_WAIT_S)
    steps = [
        wait,
        change_budget.LATE_REPLY_S,
        change_budget.READ_S,
        change_budget.APPLY_S,
        change_budget.SEND_S,
    ]
    reserve = change_budget.RESERVE_RATIO * cfg.recovery_time
    assert sum(steps) + reserve <= cfg.recovery_time + 1e-6


def test_a_host_that_was_cut_drops_what_left_within_the_recovery_time():
    # It reads the store, then another host tells that it was not away.
    datagrams = (
        load_exchange.REFRESH_INTERVAL_S + load_exchange.SEND_INTERVAL_S
    )
    steps = [
        store.CONNECT_TIMEOUT_S,
        following.BACKOFF_LIMIT_S,
        change_budget.READ_S,
        outages.BACKLOG_S,
        datagrams,
        following.EXPIRY_CHECK_INTERVAL_S,
        change_budget.SEND_S,
    ]
    reserve = change_budget.RESERVE_RATIO * gateway.BOUNDS.recovery_time
    assert sum(steps) + reserve <= gateway.BOUNDS.recovery_time


@hypothesis.given(
    bounds, st.lists(st.tuples(st.floats(0.0, 1.0), st.booleans()))
)
def test_evidence_of_a_sound_source_is_never_too_old(cfg, replies):
    # Each reply comes after a part of the wait, with changes or at its end.
    hypothesis.assume(change_budget.allows_following(cfg))
    limit = change_budget.max_evidence_age(cfg)
    heard_age = 0.0
    for part, changed in replies:
        wait = change_budget.max_wait(cfg, True, heard_age)
        oldest = heard_age + wait + change_budget.RELAY_S
        assert oldest <= limit + 1e-6
        heard_age = part * wait if changed else 0.0
        if changed:
            heard_age += change_budget.max_pause(cfg, True, heard_age)


@pytest.mark.parametrize(
    ('change_s', 'recovery_s', 'follows'),
    [(2.0, 3.0, True), (3.0, 4.0, True), (4.0, 5.0, True), (1.5, 3.0, False)],
)
def test_hosts_follow_only_if_the_bounds_leave_time(
    change_s, recovery_s, follows
):
    cfg = dataclasses.replace(
        gateway.BOUNDS,
        drain_time=change_s,
        apply_time=change_s,
        recovery_time=recovery_s,
        min_outage=2.4,
    )
    assert change_budget.allows_following(cfg) is follows


class Store:
    """A store in virtual time whose operator declares versions.

    Parameters
    ----------
    declared_at : sequence of float
        When each version was acknowledged, in seconds.
    """

    def __init__(self, declared_at):
        self.declared_at = declared_at

    def version(self, at):
        """Return the newest version at a time."""
        return 1 + sum(declared <= at for declared in self.declared_at)

    def item(self, version):
        """Return the entry of a version."""
        value = gateway.configuration(version)
        return kv.KeyValue('op/config', value, ids.Revision(version), 1)


class Link:
    """Connection of one host to the store.

    Parameters
    ----------
    store : Store
        The store.
    delay : float
        Time of a call, in seconds.
    silent : tuple of float
        Start and end of a time in which all packets are lost.
    """

    def __init__(self, store, delay, silent=(0.0, 0.0)):
        self._store = store
        self._delay = delay
        self._silent = silent

    def _passes(self, at):
        return not self._silent[0] <= at < self._silent[1]

    async def get_prefix(self, _):
        """Read all entries."""
        sent_at = clock.now()
        await trio.sleep(self._delay)
        if self._passes(sent_at) and self._passes(clock.now()):
            version = self._store.version(clock.now())
            return kv.Found(
                ids.Revision(version), (self._store.item(version),)
            )
        await trio.sleep_until(sent_at + CALL_TIMEOUT_S)
        return kv.Unavailable('no reply')

    @contextlib.asynccontextmanager
    async def watch(self, _, after, next_wait):
        """Watch for versions."""
        async with contextlib.aclosing(self._watch(after, next_wait)) as items:
            yield items

    async def _watch(self, after, next_wait):
        while True:
            requested_at, wait = clock.now(), next_wait()
            await trio.sleep(self._delay / 2)
            until = requested_at + wait
            next_at = min(
                [
                    at
                    for number, at in enumerate(self._store.declared_at, 2)
                    if number > after
                ],
                default=until,
            )
            await trio.sleep_until(min(until, next_at))
            replied_at = clock.now()
            await trio.sleep(self._delay / 2)
            if not (self._passes(requested_at) and self._passes(replied_at)):
                lost_at = requested_at + wait + change_budget.LATE_REPLY_S
                await trio.sleep_until(lost_at)
                yield kv.WatchEnded('no reply', after, True)
                return
            version = self._store.version(replied_at)
            if version > after:
                after = ids.Revision(version)
                item = self._store.item(version)
                yield kv.WatchEvent('op/config', item, after)
                yield kv.WatchProgress(after, requested_at)
            else:
                heard_at = min(replied_at, until)
                yield kv.WatchProgress(after, heard_at - 1.1, heard_at)


class Peer:
    """The delegate as the hosts that follow it see it.

    Parameters
    ----------
    log : ChangeLog
        Changes that it has received.
    delay : float
        Time of a poll beyond the wait, in seconds.
    silent : tuple of float
        Start and end of a time in which it sends nothing.
    refuses : bool
        Whether connections are refused in that time.
    """

    def __init__(self, log, delay, silent, refuses):
        self._log = log
        self._delay = delay
        self._silent = silent
        self._refuses = refuses

    def _passes(self, at):
        return not self._silent[0] <= at < self._silent[1]

    async def watch(self, _, after, on_receive=None):
        """Yield changes by long polling."""
        while True:
            sent_at = clock.now()
            await trio.sleep(self._delay / 2)
            changes = self._log.since(after)
            if changes is not None and not changes.events:
                with trio.move_on_after(peer_changes.LONG_POLL_S):
                    await self._log.wait_progress()
                changes = self._log.since(after)
            replied_at = clock.now()
            await trio.sleep(self._delay / 2)
            timeout = (
                sent_at
                + peer_changes.LONG_POLL_S
                + peer_changes.RESPONSE_TIMEOUT_S
            )
            lost = not (self._passes(sent_at) and self._passes(replied_at))
            if lost and not self._refuses:
                await trio.sleep_until(timeout)
            if lost or clock.now() >= timeout or changes is None:
                yield kv.WatchEnded('no reply', after)
                return
            for event in changes.events:
                yield event
            after = max(after, changes.revision)
            yield kv.WatchProgress(after, changes.as_of, changes.heard_at)


class Recorder(listener.Listener):
    """Records when each version took effect."""

    def __init__(self):
        self.in_force_at = {}

    def use_table(self, table):
        """Record a version."""
        self.in_force_at[table.version] = clock.now()


async def play(
    cfg, declared_at, delays, delegate_cut, delegate_silent, refuses
):
    """Return when versions took effect at a host that follows another."""
    operator, recorder = Store(declared_at), Recorder()
    store_delay, peer_delay = delays
    views = [view.View(daemon.LAYOUT, 5.0) for _ in range(2)]
    views[1].add_listener(recorder)
    hosts = [
        following.Follower(link, local_view, lambda: cfg, own)
        for link, local_view, own in zip(
            (
                Link(operator, store_delay, delegate_cut),
                Link(operator, store_delay),
            ),
            views,
            (DELEGATE, FOLLOWER),
            strict=True,
        )
    ]
    peer = Peer(hosts[0].log, peer_delay, delegate_silent, refuses)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(peer_changes, 'watch', peer.watch)
        with trio.move_on_after(declared_at[-1] + 3 * cfg.drain_time):
            async with trio.open_nursery() as nursery:
                for host in hosts:
                    host.use_members(FLEET)
                    nursery.start_soon(host.run)
    return recorder.in_force_at


def times(first, last):
    return st.floats(first, last).map(lambda at: round(at, 2))


@hypothesis.settings(max_examples=100)
@hypothesis.given(
    change_s=st.sampled_from([2.0, 3.0, 4.0]),
    gaps=st.lists(times(0.02, 1.0), min_size=4, max_size=16),
    delays=st.tuples(st.sampled_from([0.004, 0.1]), times(0.01, 1.0)),
    cut_at=times(4.0, 6.0),
    cut_s=times(0.0, 8.0),
    frozen_at=times(4.0, 8.0),
    frozen_s=st.one_of(st.just(0.0), times(0.1, 8.0)),
    killed=st.booleans(),
    seed=st.integers(0, 9),
)
def test_a_follower_has_changes_in_force_whatever_its_delegate_does(
    change_s, gaps, delays, cut_at, cut_s, frozen_at, frozen_s, killed, seed
):
    random.seed(seed)
    cfg = dataclasses.replace(
        gateway.BOUNDS,
        revocation_time=5.0,
        drain_time=change_s,
        apply_time=change_s,
        recovery_time=change_s + 1.0,
        min_outage=2.4,
    )
    declared_at = list(itertools.accumulate(gaps, initial=4.0))
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(clock, 'now', trio.current_time)
        in_force_at = trio.run(
            play,
            cfg,
            declared_at,
            delays,
            (cut_at, cut_at + cut_s),
            (frozen_at, frozen_at + frozen_s),
            killed,
            clock=trio.testing.MockClock(autojump_threshold=0),
        )
    left = change_budget.APPLY_S + change_budget.SEND_S
    for version, acknowledged_at in enumerate(declared_at, 2):
        took_effect_at = min(
            at for known, at in in_force_at.items() if known >= version
        )
        assert took_effect_at + left <= acknowledged_at + change_s


def test_the_budget_and_the_client_agree_on_when_a_watch_is_lost():
    assert change_budget.LATE_REPLY_S >= store.WATCH_REPLY_MARGIN_S
    assert change_budget.STORE_DELAY_S >= store.WATCH_MAX_LAG_S


@hypothesis.given(
    bounds,
    st.booleans(),
    heard_ages,
    st.integers(0, 2**21),
    st.sampled_from([0, 5_000, 10_000, 200_000]),
    st.floats(0.0, 2.0),
)
def test_a_pause_leaves_time_for_what_a_change_carries(
    cfg, followed, age, value_bytes, link_kbps, apply_s
):
    excess_s = change_budget.excess_time(value_bytes, link_kbps, apply_s)
    pause = change_budget.max_pause(cfg, followed, age, excess_s)
    hypothesis.assume(pause > 0)
    transfer_s = value_bytes * 8 / 3 * 4 / (link_kbps * 1e3 or math.inf)
    steps = [
        pause,
        change_budget.STORE_DELAY_S,
        transfer_s,
        change_budget.RELAY_S if followed else 0.0,
        max(apply_s, change_budget.APPLY_S),
        change_budget.SEND_S,
    ]
    reserve = change_budget.RESERVE_RATIO * cfg.drain_time
    assert sum(steps) + reserve <= cfg.drain_time + 1e-6
