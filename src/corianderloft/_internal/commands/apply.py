"""Command ``apply``: applies a directory of declarations."""

import getpass
import typing
import uuid

from corianderloft._internal.cli import configuration
from corianderloft._internal.cli import exit_codes
from corianderloft._internal.cli import options
from corianderloft._internal.cli import output
from corianderloft._internal.commands import registry
from corianderloft._internal import declarations
from corianderloft._internal.kv import interface as kv_interface
from corianderloft._internal.models import ids
from corianderloft._internal.shared import changes
from corianderloft._internal.shared.configuration import edit


@registry.COMMANDS.register('apply')
def apply(
    directory: str,
    kv: str = '',
    expect: int | None = None,
    author: str = '',
    change_id: str = '',
    format: str = output.TABLE,
) -> output.Outcome:
    """Apply a directory of declarations to the configuration in force.

    Applying the same directory again changes nothing.

    Parameters
    ----------
    directory : str
        Directory of declarations.
    kv : str
        URL of the key-value service; defaults to the environment variable
        ``CORIANDERLOFT_KV``.
    expect : int
        Revision that ``plan`` showed; if the configuration is newer, the
        command fails with a conflict.
    author : str
        Author of the change; defaults to the user's login name.
    change_id : str
        Id of the change; pass the same id again after a lost reply.
    format : str
        ``table`` or ``json``.
    """
    declared = options.read_declarations(directory)
    if isinstance(declared, output.Failure):
        return declared
    if expect is not None:
        checked = options.read_count(expect, '--expect')
        if isinstance(checked, output.Failure):
            return checked
    parsed_change_id = ids.ChangeId(str(change_id) or str(uuid.uuid4()))
    change_author = str(author) or getpass.getuser()

    async def submit(client: kv_interface.KeyValueClient) -> typing.Any:
        return await _submit(
            client, declared, expect, parsed_change_id, change_author
        )

    submitted = configuration.run_with_client(kv, submit)
    if isinstance(submitted, output.Failure):
        return submitted
    return _to_output(kv, parsed_change_id, *submitted)


async def _submit(
    client: kv_interface.KeyValueClient,
    declared: declarations.Declarations,
    expect: int | None,
    change_id: ids.ChangeId,
    author: str,
) -> typing.Any:
    """Submit the changes; return the difference and the outcome."""
    stored = await edit.read_configuration(client)
    if isinstance(stored, kv_interface.Unavailable):
        return stored
    diff = declarations.compare(stored.catalog, declared)
    if diff.empty:
        return diff, changes.Accepted(stored.revision)
    revision = stored.revision if expect is None else ids.Revision(expect)
    parts = edit.split_change(diff.change)
    outcome: typing.Any = changes.Accepted(revision)
    for number, part in enumerate(parts):
        part_id = change_id if number == 0 else f'{change_id}.{number}'
        outcome = await edit.submit_change(
            client, part, outcome.revision, ids.ChangeId(part_id), author
        )
        if not isinstance(outcome, changes.Accepted):
            break
    return diff, outcome


def _to_output(
    kv: str,
    change_id: ids.ChangeId,
    diff: declarations.CatalogDiff,
    outcome: typing.Any,
) -> output.Outcome:
    if isinstance(outcome, changes.EditConflict):
        return configuration.conflict(outcome)
    if isinstance(outcome, kv_interface.Unavailable):
        return configuration.unavailable(options.kv_url(kv), outcome)
    if isinstance(outcome, kv_interface.Unknown):
        return configuration.outcome_unknown(change_id, outcome.detail)
    if not isinstance(outcome, changes.Accepted):
        return output.Failure(
            exit_codes.ExitCode.FAILED,
            f'change {change_id} was not accepted: {outcome}',
            ('apply fewer files at a time',),
        )
    payload = {
        'revision': outcome.revision,
        'change_id': None if diff.empty else change_id,
        'changes': configuration.diff_payload(diff.lines),
    }
    if diff.empty:
        message = f'Nothing to change at revision {outcome.revision}.'
        return output.Result(payload, (), message)
    return output.Result(
        payload,
        (configuration.diff_table(diff.lines),),
        f'Accepted as change {change_id}, revision {outcome.revision}.',
    )
