"""Command ``history``: shows the last accepted changes."""

import dataclasses
import datetime
import typing

from corianderloft._internal.cli import configuration
from corianderloft._internal.cli import options
from corianderloft._internal.cli import output
from corianderloft._internal.commands import registry
from corianderloft._internal.kv import interface as kv_interface
from corianderloft._internal.shared import changes
from corianderloft._internal.shared.configuration import edit

DEFAULT_LIMIT = 20


@registry.COMMANDS.register('history')
def history(
    limit: int = DEFAULT_LIMIT,
    kv: str = '',
    format: str = output.TABLE,
) -> output.Outcome:
    """Show the last accepted changes, newest first.

    Parameters
    ----------
    limit : int
        Maximum number of changes.
    kv : str
        URL of the key-value service; defaults to the environment variable
        ``CORIANDERLOFT_KV``.
    format : str
        ``table`` or ``json``.
    """
    parsed_limit = options.read_count(limit, '--limit')
    if isinstance(parsed_limit, output.Failure):
        return parsed_limit

    async def read(client: kv_interface.KeyValueClient) -> typing.Any:
        return await edit.read_history(client, parsed_limit)

    records = configuration.run_with_client(kv, read)
    if isinstance(records, output.Failure):
        return records
    payload = [dataclasses.asdict(record) for record in records]
    return output.Result(payload, (output.Table(list(map(_row, records))),))


def _row(record: changes.ChangeRecord) -> dict[str, typing.Any]:
    changed = datetime.datetime.fromtimestamp(
        record.changed_at, datetime.timezone.utc
    )
    return {
        'revision': record.revision,
        'changed': changed.isoformat(timespec='seconds'),
        'author': record.author,
        'change': record.change_id,
        'summary': record.summary,
    }
