"""Command ``plan``: shows what ``apply`` would change."""

from corianderloft._internal.cli import configuration
from corianderloft._internal.cli import exit_codes
from corianderloft._internal.cli import options
from corianderloft._internal.cli import output
from corianderloft._internal.commands import registry
from corianderloft._internal import declarations
from corianderloft._internal.shared.configuration import edit


@registry.COMMANDS.register('plan')
def plan(
    directory: str,
    kv: str = '',
    detailed_exit_code: bool = False,
    format: str = output.TABLE,
) -> output.Outcome:
    """Show what ``apply`` would change, without writing anything.

    Parameters
    ----------
    directory : str
        Directory of declarations.
    kv : str
        URL of the key-value service; defaults to the environment variable
        ``CORIANDERLOFT_KV``.
    detailed_exit_code : bool
        Exit with code 4 if there is something to change.
    format : str
        ``table`` or ``json``.
    """
    declared = options.read_declarations(directory)
    if isinstance(declared, output.Failure):
        return declared
    stored = configuration.run_with_client(kv, edit.read_configuration)
    if isinstance(stored, output.Failure):
        return stored
    diff = declarations.compare(stored.catalog, declared)
    payload = {
        'revision': stored.revision,
        'changes': configuration.diff_payload(diff.lines),
    }
    if diff.empty:
        return output.Result(
            payload, (), f'Nothing to change at revision {stored.revision}.'
        )
    return output.Result(
        payload,
        (configuration.diff_table(diff.lines),),
        f'Apply with --expect={stored.revision}.',
        (
            exit_codes.ExitCode.CHANGES_PENDING
            if detailed_exit_code
            else exit_codes.ExitCode.OK
        ),
    )
