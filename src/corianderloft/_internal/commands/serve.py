"""Command ``serve``: runs an entry host."""

import trio

from corianderloft._internal.cli import exit_codes
from corianderloft._internal.cli import options
from corianderloft._internal.cli import output
from corianderloft._internal.commands import registry
from corianderloft._internal.entry import daemon
from corianderloft._internal import logs
from corianderloft._internal.settings import root


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
    logs.configure(loaded.logs)
    failures: list[BaseException] = []
    try:
        trio.run(_serve, loaded)
    except* OSError as group:
        failures.extend(group.exceptions)
    if failures:
        return output.Failure(
            exit_codes.ExitCode.FAILED,
            f'{loaded.host.host_id} cannot serve: {_error_messages(failures)}',
            ('check host.address and the ports in the settings',),
        )
    return output.Result({'stopped': loaded.host.host_id}, (), 'Stopped.')


def _error_messages(failures: list[BaseException]) -> str:
    """Return the messages of all errors, including those in groups."""
    messages = (
        (
            _error_messages(list(exc.exceptions))
            if isinstance(exc, BaseExceptionGroup)
            else str(exc)
        )
        for exc in failures
    )
    return '; '.join(messages)


async def _serve(settings: root.Settings) -> None:
    async with trio.open_nursery() as nursery:
        bound: daemon.Started = await nursery.start(daemon.run, settings)
        print(output.to_json(bound), flush=True)
