"""Command ``report``: renders load and benchmark runs as a page."""

import importlib
import pathlib

from corianderloft._internal.cli import exit_codes
from corianderloft._internal.cli import output
from corianderloft._internal.commands import registry

DEFAULT_PAGE = 'report.html'


@registry.COMMANDS.register('report')
def report(
    *runs: str, page: str = DEFAULT_PAGE, format: str = output.TABLE
) -> output.Outcome:
    """Render runs as one HTML page with plots.

    Parameters
    ----------
    *runs : str
        JSON files written by ``load --save`` or a benchmark.
    page : str
        File to write.
    format : str
        ``table`` or ``json``.
    """
    try:
        report_module = importlib.import_module(
            'corianderloft._internal.report'
        )
    except ModuleNotFoundError as exc:
        return output.Failure(
            exit_codes.ExitCode.FAILED,
            f'plots need {exc.name}, which is not installed',
            ("install the package with its extra 'report'",),
        )
    paths = [pathlib.Path(str(run)) for run in runs]
    written = report_module.write_report(paths, pathlib.Path(str(page)))
    if isinstance(written, report_module.ReportProblem):
        return output.Failure(
            exit_codes.ExitCode.INVALID_INPUT, written.detail
        )
    return output.Result({'page': str(written)}, (), f'Wrote {written}.')
