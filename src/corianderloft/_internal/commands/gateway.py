"""Command ``gateway``: runs one host of the gateway."""

from corianderloft._internal.cli import exit_codes
from corianderloft._internal.cli import output
from corianderloft._internal.commands import registry
from corianderloft._internal.platform import daemon
from corianderloft._internal.platform import settings as platform_settings


@registry.COMMANDS.register('gateway')
def gateway(
    settings: str, check: bool = False, format: str = output.TABLE
) -> output.Outcome:
    """Run a host of the gateway until SIGTERM has drained it.

    Parameters
    ----------
    settings : str
        Settings file as the users' platform writes it, YAML.
    check : bool
        Only say whether the settings can be used.
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
