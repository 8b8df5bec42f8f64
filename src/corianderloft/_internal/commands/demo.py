"""Command ``demo``: runs the whole system in one process."""

import dataclasses
import functools

import trio

from corianderloft._internal.cli import exit_codes
from corianderloft._internal.cli import options
from corianderloft._internal.cli import output
from corianderloft._internal.cli import progress
from corianderloft._internal.commands import registry
from corianderloft._internal import demo as demos
from corianderloft._internal import load
from corianderloft._internal import logs
from corianderloft._internal.settings import logs as logs_settings

FAILED_OUTCOMES = ('cut', 'wrong')
"""Outcomes that callers must never see."""


@registry.COMMANDS.register('demo')
def demo(seed: int = 1, format: str = output.TABLE) -> output.Outcome:
    """Run the whole system on stand-ins and inject faults.

    Three classes of requests go to three entry hosts and three engines; one
    engine slows down and one host drains. Takes less than a minute.

    Parameters
    ----------
    seed : int
        Random seed of arrival times and lengths.
    format : str
        ``table`` or ``json``.
    """
    parsed_seed = options.read_count(seed, '--seed')
    if isinstance(parsed_seed, output.Failure):
        return parsed_seed
    logs.configure(logs_settings.LogSettings(form='human', level='ERROR'))
    report = trio.run(
        functools.partial(
            demos.run_demo,
            progress.print_line,
            progress.print_progress,
            parsed_seed,
        )
    )
    if isinstance(report, demos.DemoProblem):
        return output.Failure(exit_codes.ExitCode.FAILED, report.detail)
    if isinstance(report.measured, load.LoadProblem):
        return output.Failure(
            exit_codes.ExitCode.FAILED, report.measured.detail
        )
    return _result(report, report.measured)


def _result(
    report: demos.DemoReport, measured: load.LoadReport
) -> output.Result:
    failed_count = sum(
        item['outcomes'].get(outcome, 0)
        for item in measured.classes
        for outcome in FAILED_OUTCOMES
    )
    succeeded = report.drained and not failed_count
    payload = dataclasses.asdict(report) | {'measured': measured.payload}
    return output.Result(
        payload,
        (
            output.Table(load.class_rows(measured), 'Classes (ms)'),
            output.Table(_rows(report.refused), 'Refused, by reason'),
            output.Table(_rows(report.retried), 'Retried, by reason'),
            output.Table(
                _rows(report.not_retried), 'Failed and not retried, by reason'
            ),
        ),
        f'Answers cut or wrong: {failed_count}. Drained host ended:'
        f' {"yes" if report.drained else "no"}.',
        exit_codes.ExitCode.OK if succeeded else exit_codes.ExitCode.FAILED,
    )


def _rows(counts: dict[str, int]) -> list[output.Row]:
    return [
        {'reason': reason, 'count': count}
        for reason, count in sorted(counts.items())
    ]
