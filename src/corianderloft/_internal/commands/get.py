"""Command ``get``: shows the configuration in force."""

import dataclasses
import enum
import itertools
import typing

import orjson

from corianderloft._internal.cli import configuration
from corianderloft._internal.cli import exit_codes
from corianderloft._internal.cli import output
from corianderloft._internal.cli import tables
from corianderloft._internal.commands import registry
from corianderloft._internal.models import catalog
from corianderloft._internal.shared.configuration import edit
from corianderloft._internal.utils import checking


@registry.COMMANDS.register('get')
def get(
    item: str = '',
    kv: str = '',
    format: str = output.TABLE,
) -> output.Outcome:
    """Show the configuration in force.

    Parameters
    ----------
    item : str
        ``service/NAME`` or ``workspace/NAME``; lists all names by default.
    kv : str
        URL of the key-value service; defaults to the environment variable
        ``CORIANDERLOFT_KV``.
    format : str
        ``table`` or ``json``.
    """
    stored = configuration.run_with_client(kv, edit.read_configuration)
    if isinstance(stored, output.Failure):
        return stored
    items = _items(stored.catalog)
    if not item:
        return _names(stored.revision, items)
    found = items.get(str(item))
    if found is None:
        nearest = checking.nearest_name(str(item), items)
        return output.Failure(
            exit_codes.ExitCode.NOT_FOUND,
            f'{item!r} is not declared at revision {stored.revision}',
            (f'did you mean {nearest!r}?',) if nearest else (),
        )
    payload = orjson.loads(output.to_json(_to_dict(found)))
    body = {'revision': stored.revision, 'item': item} | payload
    return output.Result(body, tuple(tables.build_tables(body)))


def _items(
    current: catalog.Catalog,
) -> dict[str, catalog.ServiceTemplate | catalog.Workspace]:
    services = ((f'service/{s.name}', s) for s in current.services)
    workspaces = (
        (f'workspace/{w.workspace_id}', w) for w in current.workspaces
    )
    return dict(itertools.chain(services, workspaces))


def _names(
    revision: int,
    items: dict[str, catalog.ServiceTemplate | catalog.Workspace],
) -> output.Result:
    rows = [{'item': name} for name in sorted(items)]
    payload = {'revision': revision, 'items': sorted(items)}
    return output.Result(
        payload, (output.Table(rows),), f'Revision {revision}.'
    )


def _to_dict(
    found: catalog.ServiceTemplate | catalog.Workspace,
) -> dict[str, typing.Any]:
    return dataclasses.asdict(found, dict_factory=_unwrap_enums)


def _unwrap_enums(
    pairs: list[tuple[str, typing.Any]],
) -> dict[str, typing.Any]:
    return {
        key: value.value if isinstance(value, enum.Enum) else value
        for key, value in pairs
    }
