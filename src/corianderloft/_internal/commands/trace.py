"""Command ``trace``: collects the log lines that concern a request."""

import collections.abc
import itertools
import pathlib
import typing

from corianderloft._internal.cli import exit_codes
from corianderloft._internal.cli import output
from corianderloft._internal.commands import registry
from corianderloft._internal.logs import trace as log_trace


@registry.COMMANDS.register('trace')
def trace(
    request_id: str, *files: str, format: str = output.TABLE
) -> output.Outcome:
    """Show the log lines of several hosts on a request, in order of time.

    Parameters
    ----------
    request_id : str
        Id of the request, as sent by its caller.
    *files : str
        Log files, one or more from each host that may have received it.
    format : str
        ``table`` or ``json``.
    """
    if not files:
        return output.Failure(
            exit_codes.ExitCode.USAGE,
            'no log file to read; name the logs of the hosts that may have'
            ' taken the request',
        )
    try:
        parsed = list(itertools.chain.from_iterable(map(_lines, files)))
    except OSError as exc:
        return output.Failure(
            exit_codes.ExitCode.INVALID_INPUT, f'cannot read a log: {exc}'
        )
    lines = [line for line in parsed if isinstance(line, log_trace.Line)]
    selected = log_trace.select_lines(lines, str(request_id))
    skipped = f'{len(parsed) - len(lines)} lines could not be read.'
    if not selected:
        return output.Failure(
            exit_codes.ExitCode.NOT_FOUND,
            f'no line about request {request_id} in {len(files)} files;'
            ' add the logs of the other hosts',
            (skipped,),
        )
    rows = [_row(line) for line in selected]
    table = output.Table(rows, f'Request {request_id}')
    return output.Result(rows, (table,), skipped)


def _lines(
    file: str,
) -> collections.abc.Iterator[log_trace.Line | log_trace.Unreadable]:
    with pathlib.Path(file).open('rb') as opened:
        for number, raw in enumerate(opened, start=1):
            yield log_trace.parse(file, number, raw)


def _row(line: log_trace.Line) -> dict[str, typing.Any]:
    return {
        'time': line.time.isoformat(sep=' ', timespec='milliseconds'),
        'log': line.source,
        'message': line.message,
        'fields': ' '.join(f'{k}={v}' for k, v in line.fields.items()),
    }
