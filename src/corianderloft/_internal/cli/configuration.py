"""Access of commands to the stored configuration."""

import collections.abc
import typing

import trio

from corianderloft._internal.cli import exit_codes
from corianderloft._internal.cli import options
from corianderloft._internal.cli import output
from corianderloft._internal import declarations
from corianderloft._internal.kv import interface as kv_interface
from corianderloft._internal.models import ids
from corianderloft._internal.shared import changes

T = typing.TypeVar('T')


def run_with_client(
    endpoint: str,
    operation: collections.abc.Callable[
        [kv_interface.KeyValueClient],
        collections.abc.Awaitable[T | kv_interface.Unavailable],
    ],
) -> T | output.Failure:
    """Run an operation against the key-value service.

    Parameters
    ----------
    endpoint : str
        Value of ``--kv``: a URL or ``IP:PORT``.
    operation : callable
        Async function that takes the client and returns a result.

    Returns
    -------
    object or Failure
        The result, or a failure if the service is unavailable.
    """
    url = options.kv_url(endpoint)
    client = options.open_kv(url)
    if isinstance(client, output.Failure):
        return client
    result = trio.run(operation, client)
    if isinstance(result, kv_interface.Unavailable):
        return unavailable(url, result)
    return result


def unavailable(url: str, result: kv_interface.Unavailable) -> output.Failure:
    """Return the failure for an unavailable key-value service."""
    return output.Failure(
        exit_codes.ExitCode.UNAVAILABLE,
        f'the key-value service at {url} does not answer:' f' {result.detail}',
        ('no change was made; check --kv and try again',),
    )


def diff_table(
    lines: collections.abc.Iterable[declarations.DiffLine],
) -> output.Table:
    """Return a difference as a human-readable table."""
    rows = [
        {
            'action': line.action.value,
            'item': line.item,
            'field': line.field,
            'in force': line.before,
            'declared': line.after,
        }
        for line in lines
    ]
    return output.Table(rows, 'Changes')


def diff_payload(
    lines: collections.abc.Iterable[declarations.DiffLine],
) -> list[dict[str, str]]:
    """Return a difference as JSON-serializable rows."""
    return [
        {
            'action': line.action.value,
            'item': line.item,
            'field': line.field,
            'before': line.before,
            'after': line.after,
        }
        for line in lines
    ]


def conflict(other: changes.EditConflict) -> output.Failure:
    """Return the failure for a conflict with another change."""
    return output.Failure(
        exit_codes.ExitCode.CONFLICT,
        f'{other.author} was first: change {other.change_id} made revision'
        f' {other.revision}; nothing was written',
        (
            'run `plan` again to see what it changed, then `apply` with'
            f' --expect={other.revision}',
        ),
    )


def outcome_unknown(change_id: ids.ChangeId, detail: str) -> output.Failure:
    """Return the failure for a write with an unknown outcome."""
    return output.Failure(
        exit_codes.ExitCode.OUTCOME_UNKNOWN,
        f'the reply was lost ({detail}); change {change_id} may have been'
        ' accepted',
        (
            f'run the same command again with --change-id={change_id}:'
            ' it is applied at most once',
        ),
    )
