"""Rendering of several runs as one self-contained HTML page."""

import collections.abc
import html
import itertools
import pathlib

import tabulate

from corianderloft._internal.report import inputs
from corianderloft._internal.report import plots

STYLE = """
body { font-family: sans-serif; max-width: 60em; margin: 2em auto; }
table { border-collapse: collapse; margin: 1em 0; }
td, th { border: 1px solid #ccc; padding: 0.2em 0.6em; text-align: right; }
svg { max-width: 100%; height: auto; }
"""

CLASS_COLUMNS = (
    'scheduled',
    'attainment',
    'goodput_requests_per_s',
    'goodput_tokens_per_s',
    'repeated_tokens',
    'addresses_not_reached',
    'resumed',
)


def write_report(
    paths: collections.abc.Sequence[pathlib.Path], output: pathlib.Path
) -> pathlib.Path | inputs.ReportProblem:
    """Write an HTML report on runs.

    Parameters
    ----------
    paths : sequence of Path
        JSON files of load and benchmark runs.
    output : Path
        HTML file to write.

    Returns
    -------
    Path or ReportProblem
        The written file, or the first problem: a run that cannot be read,
        or the page that cannot be written.
    """
    if not paths:
        return inputs.ReportProblem('no run to report on')
    results = [inputs.read_run(path) for path in paths]
    for item in results:
        if isinstance(item, inputs.ReportProblem):
            return item
    runs = [x for x in results if not isinstance(x, inputs.ReportProblem)]
    try:
        output.write_text(render(runs), encoding='utf-8')
    except OSError as exc:
        return inputs.ReportProblem(f'report {str(output)!r}: {exc}')
    return output


def render(runs: collections.abc.Sequence[inputs.Run]) -> str:
    """Return the HTML page."""
    loads = [run for run in runs if isinstance(run, inputs.LoadRun)]
    benches = [run for run in runs if isinstance(run, inputs.BenchRun)]
    parts = itertools.chain(
        itertools.chain.from_iterable(map(_load_section, loads)),
        _waste_section(loads),
        itertools.chain.from_iterable(map(_bench_section, benches)),
    )
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8">'
        f'<title>corianderloft report</title><style>{STYLE}</style></head>'
        '<body><h1>corianderloft report</h1>\n'
        + '\n'.join(parts)
        + '\n</body></html>\n'
    )


def _load_section(run: inputs.LoadRun) -> collections.abc.Iterator[str]:
    yield f'<h2>Load: {html.escape(run.title)}</h2>'
    payload = run.payload
    summary = (
        f"seed {payload['seed']}, {payload['duration_s']:g} s, "
        f"{payload['scheduled']} requests scheduled"
    )
    yield f'<p>{summary}</p>'
    yield _table(
        [
            {'class': item['name']}
            | {name: item[name] for name in CLASS_COLUMNS}
            | item['outcomes']
            for item in run.classes
        ]
    )
    yield _table(
        [
            {'class': item['name']} | refusal
            for item in run.classes
            for refusal in item['refusals']
        ]
    )
    if payload.get('bookings'):
        yield '<h3>Bookings</h3>'
        yield _table([payload['bookings']])
    yield '<h3>Attainment by class over time</h3>'
    yield plots.attainment(run)
    yield '<h3>Time to the first token, from the scheduled time</h3>'
    yield plots.latencies(run, 'first_token_s', 'first token')
    yield '<h3>Time between tokens</h3>'
    yield plots.latencies(run, 'token_gap_s', 'gap')


def _waste_section(
    runs: collections.abc.Sequence[inputs.LoadRun],
) -> collections.abc.Iterator[str]:
    svg = plots.waste(runs)
    if svg is not None:
        yield '<h2>Wasted work</h2>'
        yield svg


def _bench_section(run: inputs.BenchRun) -> collections.abc.Iterator[str]:
    yield f'<h2>Bench: {html.escape(run.title)}</h2>'
    if run.command:
        yield f'<p><code>{html.escape(run.command)}</code></p>'
    yield _table(run.rows)


def _table(rows: list[inputs.Json]) -> str:
    """Return rows as an HTML table with escaped values; empty if no rows."""
    if not rows:
        return ''
    return str(
        tabulate.tabulate(
            rows, headers='keys', tablefmt='html', floatfmt='.4g'
        )
    )
