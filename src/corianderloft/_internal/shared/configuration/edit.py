"""Reads and edits the stored configuration for operators.

A change is accepted once its transaction is written. The transaction
compares the revision of the head key with the one that the operator read,
so the second of two concurrent operators gets a conflict and no change is
applied twice.
"""

import collections.abc
import dataclasses
import itertools
import time

import trio

from corianderloft._internal.kv import interface as kv_interface
from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from corianderloft._internal.shared import changes
from corianderloft._internal.shared.configuration import layout

MAX_ATTEMPTS = 8
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
MAX_KEYS_PER_TRANSACTION = 100

Submission = (
    changes.Accepted
    | changes.EditConflict
    | changes.ChangeTooLarge
    | kv_interface.Unavailable
    | kv_interface.Unknown
)
_Resolved = changes.Accepted | changes.EditConflict | None


@dataclasses.dataclass(frozen=True)
class StoredConfiguration:
    """The configuration as stored in the key-value service.

    Attributes
    ----------
    revision : Revision
        Expected revision for the next edit; 0 before the first.
    head : Head or None
        The last accepted change.
    catalog : Catalog
        All services and workspaces.
    """

    revision: ids.Revision
    head: layout.Head | None
    catalog: catalog.Catalog


async def read_configuration(
    kv: kv_interface.KeyValueClient,
) -> StoredConfiguration | kv_interface.Unavailable:
    """Read the whole configuration in one call."""
    found = await kv.get_prefix(layout.CONFIG_PREFIX)
    if isinstance(found, kv_interface.Unavailable):
        return found
    values = {item.key: item.value for item in found.items}
    revision, head = _parse_head(
        [item for item in found.items if item.key == layout.HEAD_KEY]
    )
    return StoredConfiguration(
        revision, head, layout.build_catalog(revision, values)
    )


async def read_history(
    kv: kv_interface.KeyValueClient, limit: int
) -> tuple[changes.ChangeRecord, ...] | kv_interface.Unavailable:
    """Return the last accepted changes, newest first.

    Parameters
    ----------
    kv : KeyValueClient
        Client of the key-value service, which keeps the last
        `layout.HISTORY_SLOTS` changes.
    limit : int
        Maximum number of changes to return.
    """
    found = await kv.get_prefix(layout.HISTORY_PREFIX)
    if isinstance(found, kv_interface.Unavailable):
        return found
    records = sorted(
        (_record(item) for item in found.items),
        key=lambda record: record.revision,
        reverse=True,
    )
    return tuple(records[:limit])


async def submit_change(
    kv: kv_interface.KeyValueClient,
    change: changes.ConfigurationChange,
    expected_revision: ids.Revision,
    change_id: ids.ChangeId,
    author: str,
) -> Submission:
    """Apply a change unless another change was written first.

    If a reply is lost, the history is searched for ``change_id``, so
    calling again with the same id is safe.

    Parameters
    ----------
    kv : KeyValueClient
        Client of the key-value service.
    change : ConfigurationChange
        Puts and removals, applied atomically.
    expected_revision : Revision
        Revision that the operator read; 0 before the first change.
    change_id : ChangeId
        Unique id of the change, generated once by the caller.
    author : str
        Author of the change.

    Returns
    -------
    Accepted, EditConflict, ChangeTooLarge, Unavailable or Unknown
        ``Unavailable`` means that nothing was written; ``Unknown`` means
        that the change may have been written and this could not be checked.
    """
    keys = layout.changed_keys(change)
    if len(keys) > MAX_KEYS_PER_TRANSACTION:
        return changes.ChangeTooLarge(len(keys), MAX_KEYS_PER_TRANSACTION)
    unknown: kv_interface.Unknown | None = None
    unavailable = kv_interface.Unavailable('the change was not tried')
    for attempt in range(MAX_ATTEMPTS):
        outcome = await _try_submit(
            kv, change, keys, expected_revision, change_id, author
        )
        if isinstance(outcome, changes.Accepted | changes.EditConflict):
            return outcome
        if isinstance(outcome, kv_interface.Unknown):
            unknown = outcome
        elif isinstance(outcome, kv_interface.Unavailable):
            unavailable = outcome
        await trio.sleep(min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**attempt))
    return unknown or unavailable


def split_change(
    change: changes.ConfigurationChange,
) -> tuple[changes.ConfigurationChange, ...]:
    """Split a change into parts that each fit into one transaction.

    All services are in the first part; workspaces are grouped by shard.
    """
    services = dataclasses.replace(
        change, workspaces_put=(), workspaces_removed=()
    )
    puts = {w.workspace_id: w for w in change.workspaces_put}
    by_shard = itertools.groupby(
        sorted(
            {*puts, *change.workspaces_removed},
            key=lambda name: (layout.shard_key(name), name),
        ),
        key=layout.shard_key,
    )
    groups = [tuple(names) for _, names in by_shard]
    batches = (
        tuple(
            itertools.chain.from_iterable(
                groups[i : i + MAX_KEYS_PER_TRANSACTION]
            )
        )
        for i in range(0, len(groups), MAX_KEYS_PER_TRANSACTION)
    )
    workspaces = tuple(
        changes.ConfigurationChange(
            workspaces_put=tuple(puts[n] for n in names if n in puts),
            workspaces_removed=tuple(n for n in names if n not in puts),
        )
        for names in batches
    )
    has_services = services.services_put or services.services_removed
    return ((services,) if has_services else ()) + workspaces


async def _try_submit(
    kv: kv_interface.KeyValueClient,
    change: changes.ConfigurationChange,
    keys: collections.abc.Sequence[str],
    expected: ids.Revision,
    change_id: ids.ChangeId,
    author: str,
) -> _Resolved | kv_interface.Unavailable | kv_interface.Unknown:
    head_item = await kv.get(layout.HEAD_KEY)
    if isinstance(head_item, kv_interface.Unavailable):
        return head_item
    revision, head = _parse_head(head_item.items)
    if revision > expected:
        return await _resolve_newer_head(kv, revision, head, change_id)
    if revision < expected:
        return None
    current = await _read_keys(kv, keys)
    if isinstance(current, kv_interface.Unavailable):
        return current
    values = _changed_values(change, current)
    new_head = layout.Head(
        sequence=head.sequence + 1 if head else 1,
        change_id=change_id,
        author=author,
        changed_at=time.time(),
        summary=layout.summarize(change),
        previous=expected,
        keys=tuple(sorted(values)),
    )
    written = await kv.transact(
        [
            kv_interface.Compare(layout.HEAD_KEY, expected),
            *(
                kv_interface.Compare(
                    key,
                    item.mod_revision if item else ids.Revision(0),
                )
                for key, item in current.items()
            ),
        ],
        _operations(values, new_head),
    )
    if isinstance(written, kv_interface.Written):
        return changes.Accepted(written.revision)
    if isinstance(written, kv_interface.Conflict):
        return None
    return written


async def _resolve_newer_head(
    kv: kv_interface.KeyValueClient,
    revision: ids.Revision,
    head: layout.Head | None,
    change_id: ids.ChangeId,
) -> _Resolved | kv_interface.Unavailable:
    if head is None:
        return None
    if head.change_id == change_id:
        return changes.Accepted(revision)
    history = await read_history(kv, layout.HISTORY_SLOTS)
    if isinstance(history, kv_interface.Unavailable):
        return history
    if history and history[0].revision < revision:
        return None
    for record in history:
        if record.change_id == change_id:
            return changes.Accepted(record.revision)
    return changes.EditConflict(revision, head.change_id, head.author)


async def _read_keys(
    kv: kv_interface.KeyValueClient, keys: collections.abc.Sequence[str]
) -> dict[str, kv_interface.KeyValue | None] | kv_interface.Unavailable:
    current: dict[str, kv_interface.KeyValue | None] = {}
    for key in keys:
        found = await kv.get(key)
        if isinstance(found, kv_interface.Unavailable):
            return found
        current[key] = next(iter(found.items), None)
    return current


def _changed_values(
    change: changes.ConfigurationChange,
    current: collections.abc.Mapping[str, kv_interface.KeyValue | None],
) -> dict[str, bytes | None]:
    """Return the new value of each key; None removes an existing key."""
    shards = {
        key: item.value
        for key, item in current.items()
        if item and key.startswith(layout.SHARD_PREFIX)
    }
    values: dict[str, bytes | None] = {
        **{layout.service_key(n): None for n in change.services_removed},
        **{
            layout.service_key(s.name): layout.SERVICE.dump_json(s)
            for s in change.services_put
        },
        **layout.apply_to_shards(change, shards),
    }
    return {
        key: value
        for key, value in values.items()
        if value is not None or current.get(key)
    }


def _operations(
    values: collections.abc.Mapping[str, bytes | None], head: layout.Head
) -> list[kv_interface.Put | kv_interface.Delete]:
    written = [
        (
            kv_interface.Delete(key)
            if value is None
            else kv_interface.Put(key, value)
        )
        for key, value in values.items()
    ]
    encoded = layout.HEAD.dump_json(head)
    return [
        *written,
        kv_interface.Put(layout.history_key(head.sequence), encoded),
        kv_interface.Put(layout.HEAD_KEY, encoded),
    ]


def _parse_head(
    items: collections.abc.Sequence[kv_interface.KeyValue],
) -> tuple[ids.Revision, layout.Head | None]:
    if not items:
        return ids.Revision(0), None
    return items[0].mod_revision, layout.HEAD.validate_json(items[0].value)


def _record(item: kv_interface.KeyValue) -> changes.ChangeRecord:
    head = layout.HEAD.validate_json(item.value)
    return changes.ChangeRecord(
        item.mod_revision,
        head.change_id,
        head.author,
        head.changed_at,
        head.summary,
    )
