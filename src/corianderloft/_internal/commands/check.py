"""Command ``check``: validates settings and declarations."""

import collections.abc
import dataclasses
import pathlib

from corianderloft._internal.cli import configuration
from corianderloft._internal.cli import exit_codes
from corianderloft._internal.cli import output
from corianderloft._internal.commands import registry
from corianderloft._internal import declarations
from corianderloft._internal.declarations import diff
from corianderloft._internal.declarations import review as catalog_review
from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from corianderloft._internal.models import routing
from corianderloft._internal.platform import comparison
from corianderloft._internal.platform import configuration as documents
from corianderloft._internal.platform import review
from corianderloft._internal.settings import load
from corianderloft._internal.utils import checking

DOCUMENT_SUFFIX = '.json'
"""Suffix of a document with the declarations of the gateway."""

Declared = declarations.Declarations | routing.RoutingTable


@dataclasses.dataclass(frozen=True)
class _Checked:
    """What was found in one path.

    Attributes
    ----------
    problems : tuple of Problem
        Mistakes.
    warnings : tuple of dict
        Kind, entry and reason of each warning, with the path.
    declared : Declarations or RoutingTable or None
        The declarations, unless they are invalid or the path has settings.
    """

    problems: tuple[checking.Problem, ...] = ()
    warnings: tuple[dict[str, str], ...] = ()
    declared: Declared | None = None


@registry.COMMANDS.register('check')
def check(
    *paths: str,
    in_force: str = '',
    strict: bool = False,
    detailed_exit_code: bool = False,
    format: str = output.TABLE,
) -> output.Outcome:
    """Validate settings files and declarations; nothing is sent anywhere.

    Warns of entries that no request can match or that nothing uses, and of
    limits that contradict each other.

    Parameters
    ----------
    *paths : str
        Settings files, directories of declarations, and documents of the
        gateway (``.json``).
    in_force : str
        Directory or document with the version in force; shows what differs
        from it in the only path.
    strict : bool
        Exit with code 1 if there are warnings.
    detailed_exit_code : bool
        Exit with code 4 if there are differences.
    format : str
        ``table`` or ``json``.
    """
    if not paths:
        return output.Failure(
            exit_codes.ExitCode.USAGE,
            'nothing to check; name settings files or directories of'
            ' declarations',
        )
    if in_force and len(paths) != 1:
        return output.Failure(
            exit_codes.ExitCode.USAGE, '--in_force needs exactly one path'
        )
    checked = [_check(str(path)) for path in paths]
    current = _check(str(in_force)) if in_force else _Checked()
    problems = [p for c in (*checked, current) for p in c.problems]
    if problems:
        return output.Failure(
            exit_codes.ExitCode.INVALID_INPUT,
            f'{len(problems)} mistake{"s" if len(problems) > 1 else ""}',
            tuple(map(str, problems)),
        )
    lines: tuple[diff.DiffLine, ...] | None = None
    if in_force:
        lines = _compare(current.declared, checked[0].declared)
        if lines is None:
            return output.Failure(
                exit_codes.ExitCode.USAGE,
                '--in_force needs two directories of declarations or two '
                'documents',
            )
    warnings = [w for c in checked for w in c.warnings]
    return _result(
        [str(path) for path in paths],
        warnings,
        lines,
        _exit_code(strict and warnings, detailed_exit_code and lines),
    )


def _exit_code(fails: object, pending: object) -> exit_codes.ExitCode:
    if fails:
        return exit_codes.ExitCode.FAILED
    if pending:
        return exit_codes.ExitCode.CHANGES_PENDING
    return exit_codes.ExitCode.OK


def _result(
    paths: list[str],
    warnings: list[dict[str, str]],
    lines: tuple[diff.DiffLine, ...] | None,
    exit_code: exit_codes.ExitCode,
) -> output.Result:
    payload: dict[str, object] = {'checked': paths, 'warnings': warnings}
    tables = []
    if warnings:
        tables.append(output.Table(warnings, 'Warnings'))
    if lines is not None:
        payload['changes'] = configuration.diff_payload(lines)
        tables.append(configuration.diff_table(lines))
    return output.Result(payload, tables, 'No mistakes.', exit_code)


def _check(path: str) -> _Checked:
    if pathlib.Path(path).is_dir():
        return _check_directory(path)
    if path.endswith(DOCUMENT_SUFFIX):
        return _check_document(path)
    loaded = load.load_settings(path)
    if isinstance(loaded, load.SettingsErrors):
        return _Checked(loaded.problems)
    return _Checked()


def _check_directory(path: str) -> _Checked:
    declared = declarations.load_directory(path)
    if isinstance(declared, declarations.DeclarationErrors):
        return _Checked(declared.problems)
    return _Checked(
        warnings=_warnings(path, catalog_review.review(declared)),
        declared=declared,
    )


def _check_document(path: str) -> _Checked:
    try:
        document = pathlib.Path(path).read_bytes()
    except OSError as exc:
        return _Checked((checking.Problem(path, '', str(exc)),))
    table = documents.decode(document)
    findings = review.review(document)
    if table is None or findings is None:
        return _Checked(
            (checking.Problem(path, '', 'no host would take this document'),)
        )
    rows = ((f.kind.value, f.entry, f.detail) for f in findings)
    return _Checked(warnings=_warnings(path, rows), declared=table)


def _warnings(
    path: str, rows: collections.abc.Iterable[tuple[str, str, str]]
) -> tuple[dict[str, str], ...]:
    return tuple(
        {'path': path, 'warning': kind, 'entry': entry, 'reason': reason}
        for kind, entry, reason in rows
    )


def _compare(
    before: Declared | None, after: Declared | None
) -> tuple[diff.DiffLine, ...] | None:
    """Return the differences; None if the two cannot be compared."""
    match before, after:
        case routing.RoutingTable(), routing.RoutingTable():
            return comparison.compare(before, after)
        case declarations.Declarations(), declarations.Declarations():
            current = catalog.Catalog(
                ids.Revision(0), before.services, before.workspaces
            )
            return declarations.compare(current, after).lines
    return None
