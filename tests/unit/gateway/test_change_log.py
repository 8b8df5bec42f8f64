"""The log of store changes for other hosts, and its encoding.

A host that follows another must not miss a change: the log has to report a
gap whenever it no longer holds all changes after the requested revision.
"""

import random

import hypothesis
from hypothesis import strategies
import orjson
import pytest
import trio

from corianderloft._internal.gateway import change_log
from corianderloft._internal.gateway import change_messages
from corianderloft._internal.kv import interface as kv

keys = strategies.text(max_size=20)
revisions = strategies.integers(1, 10**9)
items = strategies.builds(
    kv.KeyValue,
    key=keys,
    value=strategies.binary(max_size=50),
    mod_revision=revisions,
    version=strategies.just(1),
    lease_id=strategies.none() | strategies.integers(1, 10**6),
)
events = items.map(lambda i: kv.WatchEvent(i.key, i, i.mod_revision)) | (
    strategies.builds(kv.WatchEvent, keys, strategies.none(), revisions)
)


def removal(revision):
    return kv.WatchEvent(f'k{revision}', None, revision)


def log_of(*revisions, reset_at=0):
    log = change_log.ChangeLog()
    log.reset(reset_at, 1.0)
    last = max(revisions, default=reset_at)
    log.record(map(removal, revisions), kv.WatchProgress(last, 2.0))
    return log


def test_changes_after_a_revision_are_returned():
    changes = log_of(3, 4, 5).since(3)
    assert [event.revision for event in changes.events] == [4, 5]
    assert (changes.revision, changes.as_of) == (5, 2.0)


def test_no_changes_for_a_host_ahead_of_the_log():
    assert log_of(3).since(9).events == ()


def test_changes_before_the_last_read_are_unavailable():
    log = log_of(12, reset_at=10)
    assert log.since(9) is None
    assert len(log.since(10).events) == 1


def test_a_read_after_a_lost_watch_leaves_a_gap():
    log = log_of(3)
    log.stop()
    assert log.since(3) is None
    log.reset(8, 5.0)
    assert log.since(3) is None


def test_a_log_that_lacks_changes_is_not_resumed():
    log = log_of(3)
    log.stop()
    assert not log.resume(4, [removal(5)], kv.WatchProgress(6, 3.0))
    assert log.since(3) is None
    assert not change_log.ChangeLog().resume(0, [], kv.WatchProgress(6, 3.0))


def test_oldest_changes_are_dropped():
    last = change_log.MAX_EVENTS + 10
    log = log_of(*range(1, last + 1))
    assert log.since(9) is None
    assert len(log.since(10).events) == change_log.MAX_EVENTS


def test_a_host_that_follows_another_serves_no_changes():
    assert change_log.ChangeLog().since(0) is None


def test_only_the_last_change_of_a_key_is_returned():
    # Declarations that change often must not be sent several times.
    log = log_of()
    changes = [
        kv.WatchEvent(key, kv.KeyValue(key, b'v', revision, 1), revision)
        for revision, key in enumerate(('a', 'b', 'a', 'a'), 1)
    ]
    log.record(changes, kv.WatchProgress(4, 2.0))
    found = log.since(0).events
    assert {(event.key, event.revision) for event in found} == {
        ('a', 4),
        ('b', 2),
    }


def test_large_declarations_are_sent_compressed():
    routes = [
        {'name': f'r-{n}', 'host': 'desk.example', 'timeout_ms': 4000}
        for n in range(1400)
    ]
    value = orjson.dumps({'routes': routes})
    event = kv.WatchEvent(
        'op/config', kv.KeyValue('op/config', value, 7, 1), 7
    )
    changes = change_log.Changes(7, 5.0, (event,))
    data = change_messages.encode(changes, 5.0, compress=True)
    assert len(data) < len(value) / 4
    assert change_messages.decode(data, 5.0) == changes
    assert change_messages.decode(data[:-5], 5.0) is None


@pytest.mark.parametrize('lost', (False, True))
async def test_progress_and_loss_wake_waiters(lost, autojump_clock):
    log = log_of(3)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(log.wait_progress)
        await trio.testing.wait_all_tasks_blocked()
        if lost:
            log.stop()
        else:
            log.record((), kv.WatchProgress(3, 4.0))


@hypothesis.given(sent_events=strategies.lists(events, max_size=5))
def test_changes_survive_encoding(sent_events):
    changes = change_log.Changes(7, 11.5, tuple(sent_events))
    data = change_messages.encode(changes, received_at=10.0)
    assert change_messages.decode(data, sent_at=10.0) == changes


@hypothesis.given(
    sent_events=strategies.lists(events, max_size=5),
    heard_at=strategies.none() | strategies.floats(0, 20),
)
def test_changes_survive_encoding_with_raw_values(sent_events, heard_at):
    changes = change_log.Changes(7, 11.5, tuple(sent_events), heard_at)
    data = change_messages.encode_raw(changes, received_at=0.0)
    assert change_messages.decode(data, sent_at=0.0) == changes


@hypothesis.given(
    strategies.lists(events, min_size=1, max_size=3), strategies.data()
)
def test_a_cut_message_with_raw_values_is_malformed(sent_events, data):
    changes = change_log.Changes(7, 11.5, tuple(sent_events))
    message = change_messages.encode_raw(changes, received_at=0.0)
    size = data.draw(strategies.integers(0, len(message) - 1))
    assert change_messages.decode(message[:size], sent_at=0.0) is None


def test_raw_values_take_less_than_base64():
    rng = random.Random(1)
    routes = [
        {
            'name': f'r-{rng.randrange(10**9)}',
            'host': 'desk.example',
            'path_prefix': f'/{rng.randrange(10**9)}/',
            'timeout_ms': 4000,
        }
        for _ in range(1400)
    ]
    value = orjson.dumps({'routes': routes})
    event = kv.WatchEvent('k', kv.KeyValue('k', value, 7, 1), 7)
    changes = change_log.Changes(7, 5.0, (event,))
    raw = change_messages.encode_raw(changes, 5.0)
    text = change_messages.encode(changes, 5.0, compress=True)
    assert len(raw) < len(text)


def test_many_versions_of_a_large_value_take_the_memory_of_one():
    log = log_of()
    for revision in range(1, 200):
        item = kv.KeyValue('k', bytes(1000), revision, 1)
        log.record(
            (kv.WatchEvent('k', item, revision),),
            kv.WatchProgress(revision, 2.0),
        )
    assert len(log.since(0).events) == 1
    assert len(log._events) == 1


def test_network_latency_only_makes_as_of_earlier():
    changes = change_log.Changes(7, 11.0, ())
    data = change_messages.encode(changes, received_at=10.0)
    assert change_messages.decode(data, sent_at=9.5).as_of == 10.5


json_values = strategies.recursive(
    strategies.none()
    | strategies.integers(-(2**40), 2**40)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=5),
    lambda inner: strategies.lists(inner, max_size=4),
    max_leaves=12,
)


@hypothesis.given(data=strategies.binary(max_size=100))
def test_arbitrary_bytes_decode_to_none(data):
    assert change_messages.decode(data, 0.0) is None


@hypothesis.given(value=json_values)
def test_unexpected_json_does_not_raise(value):
    decoded = change_messages.decode(orjson.dumps(value), 0.0)
    assert decoded is None or isinstance(decoded, change_log.Changes)
