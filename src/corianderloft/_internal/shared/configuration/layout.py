"""Keys and values of the configuration in the key-value service.

Each service template has a key of its own. Workspaces are distributed over
`SHARD_COUNT` keys by a hash of their id, so that an edit rewrites only a few
kilobytes at any size of the fleet. Every edit writes the head key; the
revision of its last write is the revision of the configuration.
"""

import collections
import collections.abc
import dataclasses
import itertools

import pydantic
import xxhash

from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from corianderloft._internal.shared import changes

CONFIG_PREFIX = 'corianderloft/config/'
HEAD_KEY = CONFIG_PREFIX + 'head'
SERVICE_PREFIX = CONFIG_PREFIX + 'services/'
SHARD_PREFIX = CONFIG_PREFIX + 'workspaces/'
HISTORY_PREFIX = 'corianderloft/history/'
SHARD_COUNT = 4096
HISTORY_SLOTS = 1024


@dataclasses.dataclass(frozen=True)
class Head:
    """Value of the head key: the last accepted change.

    Attributes
    ----------
    sequence : int
        Number of accepted changes up to and including this one.
    change_id : ChangeId
        Id of the change.
    author : str
        Author of the change.
    changed_at : float
        Time of the change on the author's clock, in seconds since the
        epoch.
    summary : str
        Summary of the puts and removals.
    previous : Revision
        Revision of the preceding change.
    keys : tuple of str
        Keys that the change wrote or removed, except the head.
    """

    sequence: int
    change_id: ids.ChangeId
    author: str
    changed_at: float
    summary: str
    previous: ids.Revision
    keys: tuple[str, ...]


HEAD = pydantic.TypeAdapter(Head)
SERVICE = pydantic.TypeAdapter(catalog.ServiceTemplate)
SHARD = pydantic.TypeAdapter(tuple[catalog.Workspace, ...])


def service_key(name: str) -> str:
    """Return the key of a service template."""
    return SERVICE_PREFIX + name


def shard_key(workspace_id: str) -> str:
    """Return the key of the shard that contains a workspace."""
    shard = xxhash.xxh64_intdigest(workspace_id.encode()) % SHARD_COUNT
    return f'{SHARD_PREFIX}{shard:04x}'


def history_key(sequence: int) -> str:
    """Return the key of the history slot for a sequence number."""
    return f'{HISTORY_PREFIX}{sequence % HISTORY_SLOTS:04x}'


def build_catalog(
    revision: ids.Revision, values: collections.abc.Mapping[str, bytes]
) -> catalog.Catalog:
    """Decode all values of the configuration.

    Raises
    ------
    pydantic.ValidationError
        If a value cannot be decoded, for example because a newer version
        wrote it.
    """
    return catalog.Catalog(
        revision,
        tuple(
            SERVICE.validate_json(value)
            for key, value in sorted(values.items())
            if key.startswith(SERVICE_PREFIX)
        ),
        tuple(
            itertools.chain.from_iterable(
                SHARD.validate_json(value)
                for key, value in sorted(values.items())
                if key.startswith(SHARD_PREFIX)
            )
        ),
    )


def changed_keys(change: changes.ConfigurationChange) -> tuple[str, ...]:
    """Return the keys that a change writes or removes, except the head."""
    services = [service_key(s.name) for s in change.services_put]
    services += [service_key(name) for name in change.services_removed]
    workspaces = [w.workspace_id for w in change.workspaces_put]
    workspaces += change.workspaces_removed
    return tuple(sorted({*services, *map(shard_key, workspaces)}))


def apply_to_shards(
    change: changes.ConfigurationChange,
    shards: collections.abc.Mapping[str, bytes],
) -> dict[str, bytes | None]:
    """Return the new values of the shards; None marks a shard to remove.

    Parameters
    ----------
    change : ConfigurationChange
        Puts and removals to apply.
    shards : mapping
        Current values of the shards that the change affects.
    """
    workspaces_by_shard: dict[str, dict[str, catalog.Workspace]] = (
        collections.defaultdict(dict)
    )
    for key, value in shards.items():
        workspaces_by_shard[key] = {
            w.workspace_id: w for w in SHARD.validate_json(value)
        }
    for removed in change.workspaces_removed:
        workspaces_by_shard[shard_key(removed)].pop(removed, None)
    for put in change.workspaces_put:
        workspaces_by_shard[shard_key(put.workspace_id)][
            put.workspace_id
        ] = put
    return {
        key: (
            SHARD.dump_json(
                tuple(w for _, w in sorted(shard_workspaces.items()))
            )
            if shard_workspaces
            else None
        )
        for key, shard_workspaces in workspaces_by_shard.items()
    }


def summarize(change: changes.ConfigurationChange) -> str:
    """Return a one-line summary of a change."""
    parts = (
        ('put service', [s.name for s in change.services_put]),
        ('remove service', change.services_removed),
        ('put workspace', [w.workspace_id for w in change.workspaces_put]),
        ('remove workspace', change.workspaces_removed),
    )
    return '; '.join(
        f'{verb} {names[0]}'
        + (f' and {len(names) - 1} more' if names[1:] else '')
        for verb, names in parts
        if names
    )
