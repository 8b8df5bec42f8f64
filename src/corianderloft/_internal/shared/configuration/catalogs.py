"""Decodes the configuration that this host has applied."""

import collections.abc
import itertools
import logging

import pydantic

from corianderloft._internal.metrics import control
from corianderloft._internal.metrics import registry
from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from corianderloft._internal.security import keys
from corianderloft._internal.shared.configuration import layout
from corianderloft._internal.shared import mirror

logger = logging.getLogger(__name__)

UNREADABLE = registry.counter(
    'configuration_entries_unreadable',
    'Stored values that are not understood.',
)


class CatalogView:
    """Catalog of the applied configuration, updated key by key.

    Only changed keys are decoded. Workspaces are indexed by the hashes of
    their keys.
    """

    def __init__(self) -> None:
        self.current = catalog.Catalog(ids.Revision(0))
        self._services: dict[str, catalog.ServiceTemplate] = {}
        self._shards: dict[str, tuple[catalog.Workspace, ...]] = {}
        self._limited: dict[str, tuple[catalog.Workspace, ...]] = {}
        self._keys = keys.KeyIndex()

    def apply(
        self,
        revision: ids.Revision,
        entries: collections.abc.Iterable[mirror.Entry],
    ) -> None:
        """Apply changed entries; the catalog becomes that of ``revision``.

        An entry that cannot be decoded is counted and logged, and the
        previous value of its key is kept.
        """
        with control.measure_cpu_time('configuration'):
            self._apply_all(revision, entries)

    def _apply_all(
        self,
        revision: ids.Revision,
        entries: collections.abc.Iterable[mirror.Entry],
    ) -> None:
        for entry in entries:
            try:
                self._apply_entry(entry)
            except pydantic.ValidationError as exc:
                UNREADABLE.inc({})
                logger.error(
                    'cannot decode configuration entry %s: %s', entry.key, exc
                )
        self.current = catalog.Catalog(
            revision,
            tuple(s for _, s in sorted(self._services.items())),
            tuple(itertools.chain.from_iterable(self._shards.values())),
            tuple(itertools.chain.from_iterable(self._limited.values())),
        )

    def workspace_by_key(self, key: str) -> catalog.Workspace | None:
        """Return the workspace that lists the hash of ``key``."""
        return self._keys.find(key)

    def _apply_entry(self, entry: mirror.Entry) -> None:
        if entry.key.startswith(layout.SERVICE_PREFIX):
            self._apply_service(entry)
        elif entry.key.startswith(layout.SHARD_PREFIX):
            self._apply_shard(entry)

    def _apply_service(self, entry: mirror.Entry) -> None:
        if entry.value is None:
            self._services.pop(entry.key, None)
        else:
            self._services[entry.key] = layout.SERVICE.validate_json(
                entry.value
            )

    def _apply_shard(self, entry: mirror.Entry) -> None:
        workspaces = (
            layout.SHARD.validate_json(entry.value) if entry.value else ()
        )
        for old in self._shards.get(entry.key, ()):
            self._keys.remove(old.workspace_id)
        for new in workspaces:
            self._keys.put(new)
        if workspaces:
            self._shards[entry.key] = workspaces
            self._limited[entry.key] = catalog.limited(workspaces)
        else:
            self._shards.pop(entry.key, None)
            self._limited.pop(entry.key, None)
