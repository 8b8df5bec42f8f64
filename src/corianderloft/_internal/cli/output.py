"""What commands return, and how it is printed."""

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
    """Rows under a title; the keys of the rows are the columns."""

    rows: collections.abc.Sequence[Row]
    title: str = ''


@dataclasses.dataclass(frozen=True)
class Result:
    """What a command found.

    Attributes
    ----------
    payload : object
        For machines: printed as JSON.
    tables : sequence of Table
        For people: printed one below the other.
    message : str
        One line for people, printed after the tables.
    exit_code : ExitCode
        How the command ended.
    """

    payload: typing.Any
    tables: collections.abc.Sequence[Table] = ()
    message: str = ''
    exit_code: exit_codes.ExitCode = exit_codes.ExitCode.OK


@dataclasses.dataclass(frozen=True)
class Failure:
    """Why a command could not do its work.

    Attributes
    ----------
    exit_code : ExitCode
        How the command ended.
    message : str
        What failed and what to do next.
    details : sequence of str
        Further lines, for example one for each mistake.
    """

    exit_code: exit_codes.ExitCode
    message: str
    details: collections.abc.Sequence[str] = ()


Outcome = Result | Failure


def unknown_format(name: str) -> Failure | None:
    """Return a failure if ``name`` is no known format."""
    if name in FORMATS:
        return None
    return Failure(
        exit_codes.ExitCode.USAGE,
        f'--format={name} is not known; allowed: {", ".join(FORMATS)}',
    )


def render(outcome: Outcome, form: str) -> str:
    """Return the text of an outcome, without a last line end."""
    if form == JSON:
        return to_json(_machine_form(outcome))
    if isinstance(outcome, Failure):
        lines = (f'error: {outcome.message}', *outcome.details)
        return '\n'.join(lines)
    parts = [*map(_render_table, outcome.tables), outcome.message]
    return '\n\n'.join(part for part in parts if part)


def to_json(value: typing.Any) -> str:
    """Return ``value`` as one line of JSON."""
    return orjson.dumps(
        value, default=_plain, option=orjson.OPT_NON_STR_KEYS
    ).decode()


def _plain(value: typing.Any) -> typing.Any:
    if isinstance(value, (set, frozenset, tuple)):
        return list(value)
    return str(value)


def _machine_form(outcome: Outcome) -> typing.Any:
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
