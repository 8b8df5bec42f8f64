"""Keys and values of the configuration in the key-value service.

A service template is one key. Workspaces are spread over `SHARDS` keys by a
hash of their id, so that one edit rewrites a few kilobytes at any size of
the fleet. The head key is written by every edit; the revision of its last
write is the revision of the configuration.
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
SHARDS = 4096
HISTORY_SLOTS = 1024


@dataclasses.dataclass(frozen=True)
class Head:
    """Value of the head key: the last accepted change.

    Attributes
    ----------
    sequence : int
        Count of accepted changes.
    change_id : ChangeId
        Identity of the change.
    author : str
        Who made it.
    changed_at : float
        When, in seconds since the epoch, on the author's clock.
    summary : str
        What it put and removed.
    previous : Revision
        Revision of the change before it.
    keys : tuple of str
        Keys that it wrote or removed, the head excluded.
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
    """Return the key that holds a service template."""
    return SERVICE_PREFIX + name


def shard_key(workspace_id: str) -> str:
    """Return the key of the shard that holds a workspace."""
    shard = xxhash.xxh64_intdigest(workspace_id.encode()) % SHARDS
    return f'{SHARD_PREFIX}{shard:04x}'


def history_key(sequence: int) -> str:
    """Return the slot that keeps the change of a sequence number."""
    return f'{HISTORY_PREFIX}{sequence % HISTORY_SLOTS:04x}'


def build_catalog(
    revision: ids.Revision, values: collections.abc.Mapping[str, bytes]
) -> catalog.Catalog:
    """Decode all values of the configuration.

    Raises
    ------
    pydantic.ValidationError
        If a value was not written by this version or an older one.
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
    """Return the keys that a change writes or removes, the head excluded."""
    services = [service_key(s.name) for s in change.services_put]
    services += [service_key(name) for name in change.services_removed]
    workspaces = [w.workspace_id for w in change.workspaces_put]
    workspaces += change.workspaces_removed
    return tuple(sorted({*services, *map(shard_key, workspaces)}))


def apply_to_shards(
    change: changes.ConfigurationChange,
    shards: collections.abc.Mapping[str, bytes],
) -> dict[str, bytes | None]:
    """Return the shards after a change; None marks one to be removed.

    Parameters
    ----------
    change : ConfigurationChange
        What to put and remove.
    shards : mapping
        Present values of the shards that the change touches.
    """
    kept: dict[str, dict[str, catalog.Workspace]] = collections.defaultdict(
        dict
    )
    for key, value in shards.items():
        kept[key] = {w.workspace_id: w for w in SHARD.validate_json(value)}
    for removed in change.workspaces_removed:
        kept[shard_key(removed)].pop(removed, None)
    for put in change.workspaces_put:
        kept[shard_key(put.workspace_id)][put.workspace_id] = put
    return {
        key: (
            SHARD.dump_json(tuple(w for _, w in sorted(members.items())))
            if members
            else None
        )
        for key, members in kept.items()
    }


def summarize(change: changes.ConfigurationChange) -> str:
    """Return one line that names what a change puts and removes."""
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
