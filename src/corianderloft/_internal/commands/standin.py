"""Commands ``standin ...``: stand-ins for the platform, for trials."""

import importlib
import typing

import trio

from corianderloft._internal.cli import exit_codes
from corianderloft._internal.cli import output
from corianderloft._internal.commands import registry
from corianderloft._internal.settings import base
from corianderloft._internal.utils import checking

STANDIN_PACKAGE = 'corianderloft._internal.standin'
LOOPBACK = '127.0.0.1'


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
    return _run('kv', 'KvSettings', settings)


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
    return _run('engine', 'EngineSettings', settings)


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
    return _run('service', 'ServiceSettings', settings)


def _run(
    name: str, model_name: str, options: dict[str, typing.Any]
) -> output.Outcome:
    package: typing.Any = importlib.import_module(STANDIN_PACKAGE)
    checked = checking.check(getattr(package, model_name), options, name)
    if isinstance(checked, tuple):
        return output.Failure(
            exit_codes.ExitCode.USAGE,
            f'wrong option of `standin {name}`',
            tuple(map(str, checked)),
        )
    trio.run(_serve, name, getattr(package, f'serve_{name}'), checked)
    return output.Result({'stopped': name})


async def _serve(name: str, serve: typing.Any, settings: base.Section) -> None:
    async with trio.open_nursery() as nursery:
        port = await nursery.start(serve, settings)
        line = {'standin': name, 'address': LOOPBACK, 'port': port}
        print(output.to_json(line), flush=True)
