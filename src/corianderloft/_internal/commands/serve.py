"""Command ``serve``: runs one entry host."""

import importlib
import typing

import trio

from corianderloft._internal.cli import options
from corianderloft._internal.cli import output
from corianderloft._internal.commands import registry
from corianderloft._internal.settings import root

HOST_MODULE = 'corianderloft._internal.entry.daemon'


@registry.COMMANDS.register('serve')
def serve(settings: str, format: str = output.TABLE) -> output.Outcome:
    """Run an entry host until SIGTERM has drained it.

    Prints one line of JSON with the bound ports once it is ready.

    Parameters
    ----------
    settings : str
        Settings file, YAML.
    format : str
        ``table`` or ``json``.
    """
    loaded = options.read_settings(settings)
    if isinstance(loaded, output.Failure):
        return loaded
    trio.run(_serve, loaded)
    return output.Result({'stopped': loaded.host.host_id})


async def _serve(settings: root.Settings) -> None:
    host: typing.Any = importlib.import_module(HOST_MODULE)
    async with trio.open_nursery() as nursery:
        ports = await nursery.start(host.run, settings)
        print(output.to_json(ports), flush=True)
