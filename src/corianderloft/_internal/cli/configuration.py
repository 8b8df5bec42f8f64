"""The stored configuration, as the commands read and change it."""

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


def ask(
    endpoint: str,
    question: collections.abc.Callable[
        [kv_interface.KeyValueClient],
        collections.abc.Awaitable[T | kv_interface.Unavailable],
    ],
) -> T | output.Failure:
    """Run one question against the key-value service.

    Parameters
    ----------
    endpoint : str
        What ``--kv`` names: a URL or ``IP:PORT``.
    question : callable
        Takes the client and returns an outcome.
    """
    url = options.kv_url(endpoint)
    client = options.open_kv(url)
    if isinstance(client, output.Failure):
        return client
    answer = trio.run(question, client)
    if isinstance(answer, kv_interface.Unavailable):
        return unavailable(url, answer)
    return answer


def unavailable(url: str, answer: kv_interface.Unavailable) -> output.Failure:
    """Return the failure for a service that does not answer."""
    return output.Failure(
        exit_codes.ExitCode.UNAVAILABLE,
        f'the key-value service at {url} does not answer:' f' {answer.detail}',
        ('no change was made; check --kv and try again',),
    )


def diff_table(diff: declarations.CatalogDiff) -> output.Table:
    """Return the table that shows a difference to people."""
    rows = [
        {
            'action': line.action.value,
            'item': line.item,
            'field': line.field,
            'in force': line.before,
            'declared': line.after,
        }
        for line in diff.lines
    ]
    return output.Table(rows, 'Changes')


def diff_payload(
    diff: declarations.CatalogDiff,
) -> list[dict[str, str]]:
    """Return a difference for machines."""
    return [
        {
            'action': line.action.value,
            'item': line.item,
            'field': line.field,
            'before': line.before,
            'after': line.after,
        }
        for line in diff.lines
    ]


def conflict(found: changes.EditConflict) -> output.Failure:
    """Return the failure that names who was first."""
    return output.Failure(
        exit_codes.ExitCode.CONFLICT,
        f'{found.author} was first: change {found.change_id} made revision'
        f' {found.revision}; nothing was written',
        (
            'run `plan` again to see what it changed, then `apply` with'
            f' --expect={found.revision}',
        ),
    )


def outcome_unknown(change_id: ids.ChangeId, detail: str) -> output.Failure:
    """Return the failure for a write whose reply was lost."""
    return output.Failure(
        exit_codes.ExitCode.OUTCOME_UNKNOWN,
        f'the reply was lost ({detail}); change {change_id} may have been'
        ' accepted',
        (
            f'run the same command again with --change-id={change_id}:'
            ' it is applied at most once',
        ),
    )
