"""Command ``standin platform``: publishes the platform's lists."""

from corianderloft._internal.cli import configuration
from corianderloft._internal.cli import exit_codes
from corianderloft._internal.cli import options
from corianderloft._internal.cli import output
from corianderloft._internal.commands import registry
from corianderloft._internal.kv import interface as kv_interface
from corianderloft._internal.standin import platform_file


@registry.COMMANDS.register('standin platform')
def platform(
    file: str, kv: str = '', format: str = output.TABLE
) -> output.Outcome:
    """Publish hosts and backend servers as the platform does, for testing.

    Parameters
    ----------
    file : str
        YAML file with ``hosts`` and ``backends``.
    kv : str
        URL of the key-value service; defaults to the environment variable
        ``CORIANDERLOFT_KV``.
    format : str
        ``table`` or ``json``.
    """
    lists = platform_file.read_platform_file(str(file))
    if isinstance(lists, tuple):
        return options.invalid_input('platform file', lists)
    entries = platform_file.entries(lists)

    async def write(
        client: kv_interface.KeyValueClient,
    ) -> kv_interface.Write:
        return await platform_file.write_entries(client, entries)

    written = configuration.run_with_client(kv, write)
    if isinstance(written, output.Failure):
        return written
    if not isinstance(written, kv_interface.Written):
        return output.Failure(
            exit_codes.ExitCode.OUTCOME_UNKNOWN,
            f'the lists may not be written: {written}',
            ('run the command again',),
        )
    payload = {'revision': written.revision, 'listed': sorted(entries)}
    rows = [{'listed': key} for key in sorted(entries)]
    return output.Result(payload, (output.Table(rows),))
