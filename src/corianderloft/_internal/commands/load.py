"""Command ``load``: sends a workload and reports on each class."""

import functools
import pathlib

import trio

from corianderloft._internal.cli import exit_codes
from corianderloft._internal.cli import output
from corianderloft._internal.cli import progress
from corianderloft._internal.commands import registry
from corianderloft._internal import load as load_tool


@registry.COMMANDS.register('load')
def load(
    workload: str,
    *hosts: str,
    engines: str = '',
    services: str = '',
    save: str = '',
    format: str = output.TABLE,
) -> output.Outcome:
    """Send a workload to entry hosts on loopback, open loop.

    Requests are sent on schedule regardless of earlier ones, and latencies
    are measured from the scheduled time.

    Parameters
    ----------
    workload : str
        YAML file with classes, rates and lengths.
    *hosts : str
        ``IP:PORT`` of entry hosts.
    engines : str
        Comma-separated ``IP:PORT`` of stand-in engines, to measure wasted
        work.
    services : str
        Comma-separated ``IP:PORT`` of stand-in plain services, to count
        requests that ran more than once.
    save : str
        File to write the measurements to, as JSON for ``report``.
    format : str
        ``table`` or ``json``.
    """
    parsed = load_tool.read_workload(pathlib.Path(str(workload)))
    if isinstance(parsed, load_tool.LoadProblem):
        return output.Failure(exit_codes.ExitCode.INVALID_INPUT, parsed.detail)
    measured = trio.run(
        functools.partial(
            load_tool.run_load,
            parsed,
            [str(host) for host in hosts],
            _split(engines),
            _split(services),
            on_progress=progress.print_progress,
        )
    )
    if isinstance(measured, load_tool.LoadProblem):
        return output.Failure(exit_codes.ExitCode.USAGE, measured.detail)
    if save:
        return _save(pathlib.Path(str(save)), measured)
    return _result(measured)


def _save(
    path: pathlib.Path, measured: load_tool.LoadReport
) -> output.Outcome:
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(output.to_json(measured.payload), encoding='utf-8')
    except OSError as exc:
        return output.Failure(
            exit_codes.ExitCode.USAGE, f'--save={path}: {exc.strerror}'
        )
    return _result(measured)


def _result(measured: load_tool.LoadReport) -> output.Result:
    tables = (
        output.Table(load_tool.class_rows(measured), 'Classes (ms)'),
        output.Table(load_tool.refusal_rows(measured), 'Refused'),
    )
    return output.Result(measured.payload, tables)


def _split(text: str) -> list[str]:
    """Return the items of a comma-separated list."""
    items = text if isinstance(text, tuple) else str(text).split(',')
    return [str(item) for item in items if item]
