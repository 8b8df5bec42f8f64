"""Results of commands and their output formats."""

import collections.abc
import dataclasses
import typing

import orjson
import tabulate

from corianderloft._internal.cli import exit_codes

TABLE = 'table'
JSON = 'json'
FORMATS = (TABLE, JSON)

Row = collections.abc.Mapping[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Table:
    """Rows with a title; the keys of the rows are the columns."""

    rows: collections.abc.Sequence[Row]
    title: str = ''


@dataclasses.dataclass(frozen=True)
class Result:
    """Result of a command that ran to completion.

    Attributes
    ----------
    payload : object
        Machine-readable form, printed as JSON.
    tables : sequence of Table
        Human-readable form, printed in this order.
    message : str
        Human-readable line, printed after the tables.
    exit_code : ExitCode
        Exit code of the command.
    """

    payload: typing.Any
    tables: collections.abc.Sequence[Table] = ()
    message: str = ''
    exit_code: exit_codes.ExitCode = exit_codes.ExitCode.OK


@dataclasses.dataclass(frozen=True)
class Failure:
    """Reason why a command could not do its work.

    Attributes
    ----------
    exit_code : ExitCode
        Exit code of the command.
    message : str
        What failed.
    details : sequence of str
        Further lines, such as what to do next or one line per error.
    """

    exit_code: exit_codes.ExitCode
    message: str
    details: collections.abc.Sequence[str] = ()


Outcome = Result | Failure


def unknown_format(name: str) -> Failure | None:
    """Return a failure if ``name`` is not a supported format."""
    if name in FORMATS:
        return None
    return Failure(
        exit_codes.ExitCode.USAGE,
        f'--format={name} is not known; allowed: {", ".join(FORMATS)}',
    )


def render(outcome: Outcome, output_format: str) -> str:
    """Return an outcome as text, without a trailing newline."""
    if output_format == JSON:
        return to_json(_json_payload(outcome))
    if isinstance(outcome, Failure):
        lines = (f'error: {outcome.message}', *outcome.details)
        return '\n'.join(lines)
    parts = [*map(_render_table, outcome.tables), outcome.message]
    return '\n\n'.join(part for part in parts if part)


def to_json(value: typing.Any) -> str:
    """Return ``value`` as one line of JSON."""
    return orjson.dumps(
        value, default=_json_default, option=orjson.OPT_NON_STR_KEYS
    ).decode()


def _json_default(value: typing.Any) -> typing.Any:
    if isinstance(value, (set, frozenset, tuple)):
        return list(value)
    return str(value)


def _json_payload(outcome: Outcome) -> typing.Any:
    if isinstance(outcome, Result):
        return outcome.payload
    return {
        'error': {
            'code': outcome.exit_code.name.lower(),
            'message': outcome.message,
            'details': list(outcome.details),
        }
    }


def _render_table(table: Table) -> str:
    body = (
        tabulate.tabulate(
            [dict(row) for row in table.rows], headers='keys', floatfmt='.3g'
        )
        if table.rows
        else '(none)'
    )
    return f'{table.title}\n{body}' if table.title else body
