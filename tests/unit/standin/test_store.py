"""Property tests of the stand-in's store against a dictionary model.

They guard against reads of past revisions and watches that disagree with the
writes applied so far.
"""

import hypothesis
from hypothesis import strategies
import trio

from corianderloft._internal.standin.kv import store as kv_store

KEYS = strategies.sampled_from([b'a', b'b', b'c/x', b'c/y'])
PUTS = strategies.builds(
    kv_store.Put, KEYS, strategies.binary(min_size=1, max_size=2)
)
DELETES = strategies.builds(
    kv_store.Delete, KEYS, strategies.sampled_from([b'', b'd', b'\0'])
)
WRITES = strategies.lists(
    strategies.lists(PUTS | DELETES, max_size=3), max_size=12
)
HISTORY_LIMIT = 1000

State = dict[bytes, bytes]


def _apply(state: State, operation: kv_store.Operation) -> State:
    if isinstance(operation, kv_store.Put):
        return state | {operation.key: operation.value}
    return {
        key: value
        for key, value in state.items()
        if not kv_store.in_range(operation.key, operation.end, key)
    }


def _values(rows: list[tuple[bytes, kv_store.Record]] | None) -> State:
    assert rows is not None
    return {key: record.value for key, record in rows}


async def _check(writes: list[list[kv_store.Operation]]) -> None:
    store = kv_store.Store(HISTORY_LIMIT)
    state: State = {}
    states = {store.revision: state}
    for operations in writes:
        revision = store.apply(operations)
        for operation in operations:
            state = _apply(state, operation)
        states[revision] = state
    for revision, expected in states.items():
        assert _values(store.select_at(b'\0', b'\0', revision)) == expected
        assert _replayed(store, revision, expected) == state
    assert list(_values(store.select(b'\0', b'\0'))) == sorted(state)


def _replayed(store: kv_store.Store, revision: int, start: State) -> State:
    """Return ``start`` with the changes after ``revision`` applied."""
    state = dict(start)
    for change in store.changes_from(revision + 1):
        if change.after is None:
            state.pop(change.key, None)
        else:
            state[change.key] = change.after.value
    return state


@hypothesis.given(writes=WRITES)
def test_reads_and_watches_agree_at_every_revision(
    writes: list[list[kv_store.Operation]],
) -> None:
    trio.run(_check, writes)


async def test_compacted_revisions_are_refused() -> None:
    store = kv_store.Store(history_limit=2)
    for value in (b'1', b'2', b'3', b'4'):
        store.apply([kv_store.Put(b'a', value)])
    assert store.select_at(b'a', b'', store.revision - 2) is None
    before = store.select_at(b'a', b'', store.revision - 1)
    assert _values(before) == {b'a': b'3'}
