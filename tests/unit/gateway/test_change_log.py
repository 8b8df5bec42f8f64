"""What a host keeps for the hosts that follow it, and how it tells them."""

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


def log_of(*revisions, begun=0):
    log = change_log.ChangeLog()
    log.begin(begun, 1.0)
    last = max(revisions, default=begun)
    log.note(map(removal, revisions), kv.WatchProgress(last, 2.0))
    return log


def test_changes_after_a_revision_are_told():
    changes = log_of(3, 4, 5).since(3)
    assert [event.revision for event in changes.events] == [4, 5]
    assert (changes.revision, changes.as_of) == (5, 2.0)


def test_a_host_ahead_of_the_log_is_told_of_nothing():
    assert log_of(3).since(9).events == ()


def test_what_came_before_the_last_read_cannot_be_told():
    log = log_of(12, begun=10)
    assert log.since(9) is None
    assert len(log.since(10).events) == 1


def test_a_read_after_a_lost_watch_leaves_a_gap():
    log = log_of(3)
    log.end()
    assert log.since(3) is None
    log.begin(8, 5.0)
    assert log.since(3) is None


def test_old_changes_give_way():
    last = change_log.MOST_EVENTS + 10
    log = log_of(*range(1, last + 1))
    assert log.since(9) is None
    assert len(log.since(10).events) == change_log.MOST_EVENTS


def test_a_host_that_follows_another_tells_nothing():
    assert change_log.ChangeLog().since(0) is None


@pytest.mark.parametrize('lost', (False, True))
async def test_progress_and_loss_wake_whoever_waits(lost, autojump_clock):
    log = log_of(3)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(log.wait_progress)
        await trio.testing.wait_all_tasks_blocked()
        if lost:
            log.end()
        else:
            log.note((), kv.WatchProgress(3, 4.0))


@hypothesis.given(told=strategies.lists(events, max_size=5))
def test_changes_survive_the_way(told):
    changes = change_log.Changes(7, 11.5, tuple(told))
    data = change_messages.encode(changes, received_at=10.0)
    assert change_messages.decode(data, asked_at=10.0) == changes


def test_the_way_of_a_question_only_makes_beliefs_older():
    changes = change_log.Changes(7, 11.0, ())
    data = change_messages.encode(changes, received_at=10.0)
    assert change_messages.decode(data, asked_at=9.5).as_of == 10.5


json_values = strategies.recursive(
    strategies.none()
    | strategies.integers(-(2**40), 2**40)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=5),
    lambda inner: strategies.lists(inner, max_size=4),
    max_leaves=12,
)


@hypothesis.given(data=strategies.binary(max_size=100))
def test_bytes_of_another_writer_tell_nothing(data):
    assert change_messages.decode(data, 0.0) is None


@hypothesis.given(value=json_values)
def test_json_of_another_form_raises_nothing(value):
    decoded = change_messages.decode(orjson.dumps(value), 0.0)
    assert decoded is None or isinstance(decoded, change_log.Changes)
