"""Commands ``standin ...``: stand-ins for the platform, for testing."""

import typing

from corianderloft._internal.cli import exit_codes
from corianderloft._internal.cli import output
from corianderloft._internal.commands import registry
from corianderloft._internal.standin import process
from corianderloft._internal.utils import checking


@registry.COMMANDS.register('standin kv')
def kv(format: str = output.TABLE, **settings: typing.Any) -> output.Outcome:
    """Run a stand-in key-value service until it is stopped.

    Prints one line of JSON with its port once it is ready. Each setting of
    the stand-in is an option, for example ``--port=2379``.

    Parameters
    ----------
    format : str
        ``table`` or ``json``.
    """
    return _run('kv', settings)


@registry.COMMANDS.register('standin engine')
def engine(
    format: str = output.TABLE, **settings: typing.Any
) -> output.Outcome:
    """Run a stand-in model engine until it is stopped.

    Prints one line of JSON with its port once it is ready. Each setting of
    the stand-in is an option, for example ``--slots=4``.

    Parameters
    ----------
    format : str
        ``table`` or ``json``.
    """
    return _run('engine', settings)


@registry.COMMANDS.register('standin service')
def service(
    format: str = output.TABLE, **settings: typing.Any
) -> output.Outcome:
    """Run a stand-in plain service until it is stopped.

    Prints one line of JSON with its port once it is ready. Each setting of
    the stand-in is an option, for example ``--service_time=0.01``.

    Parameters
    ----------
    format : str
        ``table`` or ``json``.
    """
    return _run('service', settings)


def _run(name: str, options: dict[str, typing.Any]) -> output.Outcome:
    settings_type = process.KINDS[name].settings
    settings = checking.check(settings_type, options, name)
    if isinstance(settings, tuple):
        return output.Failure(
            exit_codes.ExitCode.USAGE,
            f'wrong option of `standin {name}`',
            tuple(map(str, settings)),
        )
    process.run(name, settings)
    return output.Result({'stopped': name})
