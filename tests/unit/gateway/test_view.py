"""The local copy of the store and how long its contents stay valid."""

import dataclasses

import hypothesis
from hypothesis import strategies as st
import pytest

from corianderloft._internal.gateway import change_log
from corianderloft._internal.gateway import view
from corianderloft._internal.kv import eras
from corianderloft._internal.kv import interface as kv
from corianderloft._internal.models import ids
from corianderloft._internal.models import listener
from corianderloft._internal.models import members
from corianderloft._internal.models import states
from corianderloft._internal.platform import daemon
from corianderloft._internal.utils import clock
from tests.lib import gateway

ENTRY = (
    b'{"service":"desk","address":"10.0.0.1:80","zone":"a","slots":6,'
    b'"state":"%s","born":1}'
)


@pytest.fixture
def time(monkeypatch):
    """Fake clock that the test advances."""
    now = [1000.0]
    monkeypatch.setattr(clock, 'now', lambda: now[0])
    return now


@pytest.fixture
def local_view(time):
    return view.View(daemon.LAYOUT, 5.0, 3.6)


def item(key, value, revision):
    return kv.KeyValue(key, value, ids.Revision(revision), 1)


def event(key, value, revision):
    found = None if value is None else item(key, value, revision)
    return kv.WatchEvent(key, found, ids.Revision(revision))


def load(local_view, revision, **values):
    keys = {'config': 'op/config', 'one': 'servers/one', 'two': 'servers/two'}
    found = tuple(item(keys[n], v, revision) for n, v in values.items())
    local_view.load(kv.Found(ids.Revision(revision), found))


def names(local_view):
    return sorted(i.engine_id for i in local_view.current_instances)


def test_keys_are_honoured_only_while_the_store_confirms(local_view, time):
    local_view.confirm(time[0])
    load(local_view, 1, config=gateway.configuration())
    assert local_view.is_current()
    time[0] += 4.8
    assert local_view.is_current()
    time[0] += 0.1
    assert not local_view.is_current()
    local_view.confirm(time[0])
    assert local_view.is_current()


def test_a_view_without_declarations_is_not_current(local_view, time):
    local_view.confirm(time[0])
    assert not local_view.is_current()


def test_older_and_malformed_declarations_are_ignored(local_view):
    load(local_view, 1, config=gateway.configuration(version=7))
    local_view.apply([event('op/config', gateway.configuration(version=5), 2)])
    assert local_view.table.version == 7
    local_view.apply([event('op/config', b'garbage', 3)])
    assert local_view.table.version == 7


def test_a_removed_server_is_dropped_at_once(local_view):
    load(local_view, 1, one=ENTRY % b'ready')
    local_view.apply([event('servers/one', None, 2)])
    assert names(local_view) == []


def test_entries_that_expired_in_an_outage_are_kept_for_a_grace_period(
    local_view, time
):
    load(local_view, 1, one=ENTRY % b'ready', two=ENTRY % b'draining')
    local_view.note_store_failure('the store is down')
    time[0] += 5.0
    local_view.confirm(time[0])
    load(local_view, 4)
    assert names(local_view) == ['one']
    time[0] += 2.0
    local_view.expire_missing()
    assert names(local_view) == ['one']
    time[0] += 0.4
    local_view.expire_missing()
    assert names(local_view) == []


def test_a_failed_call_alone_holds_no_removal(time):
    # Any failed call, such as a refused renewal, counted as an outage.
    local_view = view.View(daemon.LAYOUT, 5.0, 3.6, min_outage=2.4)
    local_view.confirm(time[0])
    load(local_view, 1, one=ENTRY % b'ready', two=ENTRY % b'ready')
    time[0] += 1.0
    local_view.note_store_failure('status 429')
    time[0] += 1.0
    local_view.apply([event('servers/one', None, 2)])
    local_view.confirm(time[0])
    time[0] += 0.1
    local_view.expire_missing()
    assert names(local_view) == ['two']
    local_view.apply([event('servers/two', None, 3)])
    assert names(local_view) == []


def test_an_entry_that_is_registered_again_is_kept(local_view, time):
    load(local_view, 1, one=ENTRY % b'ready')
    local_view.note_store_failure('the store is down')
    local_view.confirm(time[0])
    load(local_view, 4)
    local_view.apply([event('servers/one', ENTRY % b'ready', 5)])
    time[0] += 9.0
    local_view.expire_missing()
    assert names(local_view) == ['one']


def test_an_old_event_is_ignored(local_view):
    load(local_view, 5, one=ENTRY % b'ready')
    local_view.apply([event('servers/one', None, 4)])
    assert names(local_view) == ['one']


def test_an_entry_that_becomes_malformed_is_dropped(local_view):
    load(local_view, 1, one=ENTRY % b'ready')
    local_view.apply([event('servers/one', b'{}', 2)])
    assert names(local_view) == []


def test_listeners_are_notified_only_of_changes(local_view):
    counts = []

    class Recorder(listener.Listener):
        def use_instances(self, current):
            counts.append(len(current))

    local_view.add_listener(Recorder())
    load(local_view, 1, one=ENTRY % b'ready')
    load(local_view, 2, one=ENTRY % b'ready')
    assert counts == [1]


class CountingListener(listener.Listener):
    """Counts the notifications."""

    def __init__(self):
        self.tables, self.members = [], []

    def use_table(self, table):
        self.tables.append(table.version)

    def use_members(self, current):
        self.members.append(len(current))


def test_changes_that_arrive_together_are_applied_together(local_view):
    counting = CountingListener()
    local_view.add_listener(counting)
    hosts = [
        event(f'hosts/h-{n}', daemon.LAYOUT.encode_member(_member(n)), 10 + n)
        for n in range(200)
    ]
    versions = [
        event('op/config', gateway.configuration(version), 300 + version)
        for version in (3, 4, 5)
    ]
    local_view.apply(hosts + versions)
    assert counting.members == [200]
    assert counting.tables == [5]


def _member(number):
    return members.Member(
        ids.HostId(f'h-{number}'),
        '10.0.0.1',
        1,
        2,
        ids.FailureDomain('a'),
        's',
    )


def test_an_entry_removed_and_written_again_is_kept(local_view):
    load(local_view, 1, one=ENTRY % b'ready')
    local_view.apply(
        [
            event('servers/one', None, 2),
            event('servers/one', ENTRY % b'ready', 3),
            event('servers/two', ENTRY % b'ready', 4),
            event('servers/two', None, 5),
        ]
    )
    assert names(local_view) == ['one']


KEYS = ('servers/one', 'servers/two', 'servers/three')


@hypothesis.settings(
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture]
)
@hypothesis.given(
    st.lists(
        st.tuples(st.sampled_from(KEYS), st.sampled_from(['ready', None])),
        max_size=12,
    ),
    st.integers(0, 12),
)
def test_a_new_read_leaves_no_gap_for_the_hosts_that_follow(
    time, changes, read_after
):
    # The store has dropped its history, so the host that others follow reads
    # all of it again. The others must not have to.
    delegate, follower = (view.View(daemon.LAYOUT, 5.0) for _ in range(2))
    log = change_log.ChangeLog()
    store = {KEYS[0]: item(KEYS[0], ENTRY % b'ready', 1)}
    for own in (delegate, follower):
        own.load(kv.Found(ids.Revision(1), tuple(store.values())))
    log.reset(ids.Revision(1), 1.0)
    for revision, (key, state) in enumerate(changes, 2):
        if state is None:
            store.pop(key, None)
        else:
            store[key] = item(key, ENTRY % b'ready', revision)
        if revision - 2 < read_after:
            changed = [event(key, None, revision)]
            if key in store:
                changed = [kv.WatchEvent(key, store[key], revision)]
            delegate.apply(changed)
            delegate.revision = revision
            log.record(changed, kv.WatchProgress(revision, 2.0))
    log.stop()
    found = kv.Found(ids.Revision(len(changes) + 1), tuple(store.values()))
    known = delegate.revision
    new = delegate.changes_to(found)
    delegate.load(found)
    progress = kv.WatchProgress(found.revision, 3.0)
    assert log.resume(known, new, progress)
    told = log.since(ids.Revision(1))
    follower.apply(told.events)
    assert told.revision == found.revision
    assert names(follower) == names(delegate)
    assert set(names(follower)) == {
        key.removeprefix('servers/') for key in store
    }


def restore(local_view, counter, **entries):
    """Load a read of the whole store in its second era."""
    found = tuple(
        item(f'servers/{name}', value, eras.qualify(2, counter))
        for name, value in entries.items()
    )
    local_view.load(kv.Found(eras.qualify(2, counter), found))


def load_first_era(local_view, **entries):
    found = tuple(
        item(f'servers/{name}', value, eras.qualify(1, 5))
        for name, value in entries.items()
    )
    local_view.load(kv.Found(eras.qualify(1, 5), found))


def live(local_view):
    return [
        i.engine_id
        for i in local_view.current_instances
        if i.state is states.BackendState.LIVE
    ]


@pytest.mark.parametrize(
    'left', [None, ENTRY % b'draining'], ids=['gone', 'draining']
)
def test_server_that_had_left_gets_no_requests_after_a_restore(
    local_view, time, left
):
    load_first_era(local_view, one=ENTRY % b'ready', two=ENTRY % b'ready')
    local_view.apply([event('servers/one', left, eras.qualify(1, 6))])
    time[0] += 10
    restore(local_view, 4, one=ENTRY % b'ready', two=ENTRY % b'ready')
    assert live(local_view) == ['two']
    time[0] += 4.0
    local_view.expire_missing()
    assert live(local_view) == ['two']
    gone = event('servers/one', None, eras.qualify(2, 7))
    local_view.apply([gone])
    time[0] += 60
    local_view.expire_missing()
    assert live(local_view) == ['two']


def test_server_that_is_still_listed_after_a_restore_is_used(local_view, time):
    load_first_era(local_view, one=ENTRY % b'ready')
    local_view.apply([event('servers/one', None, eras.qualify(1, 6))])
    restore(local_view, 4, one=ENTRY % b'ready')
    assert live(local_view) == []
    time[0] += 10
    local_view.expire_missing()
    assert live(local_view) == ['one']


def test_server_that_registers_after_a_restore_is_used_at_once(local_view):
    load_first_era(local_view, one=ENTRY % b'ready')
    local_view.apply([event('servers/one', None, eras.qualify(1, 6))])
    restore(local_view, 4, one=ENTRY % b'ready')
    again = event('servers/one', ENTRY % b'ready', eras.qualify(2, 5))
    local_view.apply([again])
    assert live(local_view) == ['one']


def test_server_that_started_anew_is_used_after_a_restore(local_view):
    load_first_era(local_view, one=ENTRY % b'ready')
    local_view.apply([event('servers/one', None, eras.qualify(1, 6))])
    new = (ENTRY % b'ready').replace(b'"born":1', b'"born":2')
    restore(local_view, 4, one=new)
    assert live(local_view) == ['one']


def test_server_missing_after_a_restore_is_kept_for_a_grace_period(
    local_view, time
):
    load_first_era(local_view, one=ENTRY % b'ready')
    restore(local_view, 4)
    assert live(local_view) == ['one']
    time[0] += 2.4
    local_view.expire_missing()
    assert live(local_view) == []


def test_declarations_of_the_copy_do_not_replace_later_ones(local_view):
    for era, counter, version in ((1, 5, 7), (2, 4, 5), (2, 5, 7)):
        value = gateway.configuration(version=version)
        revision = eras.qualify(era, counter)
        found = (item('op/config', value, revision),)
        local_view.load(kv.Found(revision, found))
        assert local_view.table.version == 7


def test_version_that_was_lost_may_be_given_out_again(local_view):
    local_view.load(kv.Found(0, ()))
    for era, keys in ((1, ['old']), (2, ['new'])):
        value = gateway.configuration(version=7, keys=keys)
        revision = eras.qualify(era, 4)
        found = (item('op/config', value, revision),)
        local_view.load(kv.Found(revision, found))
        assert list(local_view.table.keys) == keys


def member_entry(version):
    member = dataclasses.replace(_member(1), version=version)
    return daemon.LAYOUT.encode_member(member)


def test_keys_wait_for_declarations_that_another_host_has(local_view, time):
    local_view.confirm(time[0])
    load(local_view, 1, config=gateway.configuration(version=4))
    assert local_view.is_current()
    local_view.apply([event('hosts/h-1', member_entry(7), 2)])
    assert not local_view.is_current()
    local_view.apply([event('op/config', gateway.configuration(version=7), 3)])
    assert local_view.is_current()


def test_declarations_that_never_come_are_not_waited_for_long(
    local_view, time
):
    load(local_view, 1, config=gateway.configuration(version=4))
    local_view.apply([event('hosts/h-1', member_entry(7), 2)])
    time[0] += 5.1
    local_view.confirm(time[0])
    assert local_view.is_current()


@pytest.mark.parametrize('own', [False, True], ids=['other', 'own'])
def test_host_that_starts_waits_for_others_that_knew_the_store(time, own):
    key = 'hosts/h-1'
    local_view = view.View(daemon.LAYOUT, 5.0, 3.6, key if own else '')
    revision = eras.qualify(2, 9)
    member = dataclasses.replace(_member(1), version=4, era=1)
    found = (
        item('op/config', gateway.configuration(version=4), revision),
        item(key, daemon.LAYOUT.encode_member(member), revision),
    )
    local_view.confirm(time[0])
    local_view.load(kv.Found(revision, found))
    assert local_view.is_current() is own
    member = dataclasses.replace(member, era=2)
    value = daemon.LAYOUT.encode_member(member)
    local_view.apply([event(key, value, eras.qualify(2, 10))])
    assert local_view.is_current()


def test_host_that_starts_does_not_wait_for_others_for_long(time):
    local_view = view.View(daemon.LAYOUT, 5.0)
    revision = eras.qualify(2, 9)
    member = dataclasses.replace(_member(1), version=4, era=1)
    found = (
        item('op/config', gateway.configuration(version=4), revision),
        item('hosts/h-1', daemon.LAYOUT.encode_member(member), revision),
    )
    local_view.load(kv.Found(revision, found))
    time[0] += 2.4
    local_view.confirm(time[0])
    assert local_view.is_current()
