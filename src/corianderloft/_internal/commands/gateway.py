"""Command ``gateway``: runs a gateway host."""

from corianderloft._internal.cli import exit_codes
from corianderloft._internal.cli import output
from corianderloft._internal.commands import registry
from corianderloft._internal.platform import daemon
from corianderloft._internal.platform import settings as platform_settings


@registry.COMMANDS.register('gateway')
def gateway(
    settings: str, check: bool = False, format: str = output.TABLE
) -> output.Outcome:
    """Run a gateway host until SIGTERM has drained it.

    Parameters
    ----------
    settings : str
        YAML settings file in the format of the users' platform.
    check : bool
        Only validate the settings.
    format : str
        ``table`` or ``json``.
    """
    reader = platform_settings.Reader(settings)
    cfg = reader.read()
    if isinstance(cfg, platform_settings.InvalidSettings):
        return output.Failure(
            exit_codes.ExitCode.INVALID_INPUT,
            str(cfg),
            ('see docs/operators/gateway.md for the fields that are used',),
        )
    if check:
        return output.Result({'checked': settings}, (), 'No mistakes.')
    daemon.run(cfg, reader)
    return output.Result({'stopped': cfg.host_id}, (), 'Stopped.')
