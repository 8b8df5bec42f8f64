"""Command ``check``: validates settings and declarations."""

import pathlib

from corianderloft._internal.cli import exit_codes
from corianderloft._internal.cli import output
from corianderloft._internal.commands import registry
from corianderloft._internal import declarations
from corianderloft._internal.settings import load
from corianderloft._internal.utils import checking


@registry.COMMANDS.register('check')
def check(*paths: str, format: str = output.TABLE) -> output.Outcome:
    """Validate settings files and directories of declarations.

    Parameters
    ----------
    *paths : str
        Settings files and directories of declarations.
    format : str
        ``table`` or ``json``.
    """
    if not paths:
        return output.Failure(
            exit_codes.ExitCode.USAGE,
            'nothing to check; name settings files or directories of'
            ' declarations',
        )
    problems = [problem for path in paths for problem in _check(str(path))]
    if problems:
        return output.Failure(
            exit_codes.ExitCode.INVALID_INPUT,
            f'{len(problems)} mistake{"s" if len(problems) > 1 else ""}',
            tuple(map(str, problems)),
        )
    checked = [str(path) for path in paths]
    return output.Result({'checked': checked}, (), 'No mistakes.')


def _check(path: str) -> tuple[checking.Problem, ...]:
    if pathlib.Path(path).is_dir():
        declared = declarations.load_directory(path)
        if isinstance(declared, declarations.DeclarationErrors):
            return declared.problems
        return ()
    loaded = load.load_settings(path)
    return loaded.problems if isinstance(loaded, load.SettingsErrors) else ()
