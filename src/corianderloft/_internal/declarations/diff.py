"""Differences between declarations and the configuration in force."""

import collections.abc
import dataclasses
import enum
import typing

from corianderloft._internal.declarations import load
from corianderloft._internal.models import catalog
from corianderloft._internal.shared import changes


class Action(enum.Enum):
    """What a change does to a declaration."""

    ADD = 'add'
    CHANGE = 'change'
    REMOVE = 'remove'


@dataclasses.dataclass(frozen=True)
class DiffLine:
    """A changed field, or a declaration that is added or removed.

    Attributes
    ----------
    action : Action
        What the change does to the declaration.
    item : str
        ``service/<name>`` or ``workspace/<name>``.
    field : str
        Path of the field in the declaration; empty if the whole declaration
        is added or removed.
    before, after : str
        Value in force and declared value.
    """

    action: Action
    item: str
    field: str = ''
    before: str = ''
    after: str = ''


@dataclasses.dataclass(frozen=True)
class CatalogDiff:
    """All differences, and the change that resolves them."""

    lines: tuple[DiffLine, ...]
    change: changes.ConfigurationChange

    @property
    def empty(self) -> bool:
        """Whether the declarations are already in force."""
        return self.change == changes.ConfigurationChange()


def compare(
    current: catalog.Catalog, declared: load.Declarations
) -> CatalogDiff:
    """Compare the configuration in force with declarations."""
    old_services = {s.name: s for s in current.services}
    new_services = {s.name: s for s in declared.services}
    old_workspaces = {w.workspace_id: w for w in current.workspaces}
    new_workspaces = {w.workspace_id: w for w in declared.workspaces}
    return CatalogDiff(
        lines=(
            *compare_items('service', old_services, new_services),
            *compare_items('workspace', old_workspaces, new_workspaces),
        ),
        change=changes.ConfigurationChange(
            services_put=_changed_items(old_services, new_services),
            services_removed=_removed_keys(old_services, new_services),
            workspaces_put=_changed_items(old_workspaces, new_workspaces),
            workspaces_removed=_removed_keys(old_workspaces, new_workspaces),
        ),
    )


K = typing.TypeVar('K', bound=str)
V = typing.TypeVar('V')


def _changed_items(
    old: collections.abc.Mapping[K, V], new: collections.abc.Mapping[K, V]
) -> tuple[V, ...]:
    return tuple(new[k] for k in sorted(new) if old.get(k) != new[k])


def _removed_keys(
    old: collections.abc.Mapping[K, V], new: collections.abc.Mapping[K, V]
) -> tuple[K, ...]:
    return tuple(k for k in sorted(old) if k not in new)


def compare_items(
    kind: str,
    old: collections.abc.Mapping[K, V],
    new: collections.abc.Mapping[K, V],
) -> collections.abc.Iterator[DiffLine]:
    """Yield the differences between two sets of items, in order.

    Parameters
    ----------
    kind : str
        Prefix of the names of the items.
    old, new : mapping
        Items by name.
    """
    for key in sorted({*old, *new}):
        item = f'{kind}/{key}'
        if key not in new:
            yield DiffLine(Action.REMOVE, item)
        elif key not in old:
            yield DiffLine(Action.ADD, item)
        else:
            yield from _changed_fields(item, old[key], new[key])


def _changed_fields(
    item: str, old: object, new: object
) -> collections.abc.Iterator[DiffLine]:
    before, after = dict(_flatten(old)), dict(_flatten(new))
    yield from (
        DiffLine(
            Action.CHANGE,
            item,
            field,
            before.get(field, '-'),
            after.get(field, '-'),
        )
        for field in sorted({*before, *after})
        if before.get(field) != after.get(field)
    )


def _flatten(
    value: typing.Any, path: str = ''
) -> collections.abc.Iterator[tuple[str, str]]:
    """Yield the path and text of each scalar field in ``value``."""
    if isinstance(value, catalog.SupplierRoute):
        yield path, f'order {value.order}, weight {value.weight}'
    elif dataclasses.is_dataclass(value):
        for field in dataclasses.fields(value):
            field_path = f'{path}.{field.name}' if path else field.name
            yield from _flatten(getattr(value, field.name), field_path)
    elif isinstance(value, tuple):
        for index, item in enumerate(value):
            yield from _flatten(item, f'{path}.{_label(item, index)}')
    elif isinstance(value, enum.Enum):
        yield path, str(value.value)
    else:
        yield path, str(value)


def _label(item: typing.Any, index: int) -> str:
    """Return a stable path component for an item of a tuple."""
    if isinstance(item, catalog.SupplierRoute):
        return f'{item.supplier}/{item.model}'
    if isinstance(item, catalog.RequestClass):
        return item.name
    if isinstance(item, catalog.ServiceOverride):
        return item.service
    return str(index)
