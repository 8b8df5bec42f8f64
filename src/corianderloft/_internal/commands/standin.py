"""Commands ``standin ...``: stand-ins for the platform, for trials."""

import collections.abc
import typing

import trio

from corianderloft._internal.cli import exit_codes
from corianderloft._internal.cli import output
from corianderloft._internal.commands import registry
from corianderloft._internal.settings import base
from corianderloft._internal import standin
from corianderloft._internal.utils import checking

LOOPBACK = '127.0.0.1'

Serve = collections.abc.Callable[..., collections.abc.Awaitable[None]]


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
    return _run('kv', standin.KvSettings, standin.serve_kv, settings)


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
    return _run(
        'engine', standin.EngineSettings, standin.serve_engine, settings
    )


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
    return _run(
        'service', standin.ServiceSettings, standin.serve_service, settings
    )


def _run(
    name: str,
    model: type[base.Section],
    serve: Serve,
    options: dict[str, typing.Any],
) -> output.Outcome:
    checked = checking.check(model, options, name)
    if isinstance(checked, tuple):
        return output.Failure(
            exit_codes.ExitCode.USAGE,
            f'wrong option of `standin {name}`',
            tuple(map(str, checked)),
        )
    trio.run(_serve, name, serve, checked)
    return output.Result({'stopped': name})


async def _serve(name: str, serve: Serve, settings: base.Section) -> None:
    async with trio.open_nursery() as nursery:
        port = await nursery.start(serve, settings)
        line = {'standin': name, 'address': LOOPBACK, 'port': port}
        print(output.to_json(line), flush=True)
