"""Plots of load runs, as SVG that is part of the page."""

import collections.abc
import io

from matplotlib import axes
from matplotlib import figure

from corianderloft._internal.report import inputs

SIZE = (8.0, 3.2)  # inches
MILLISECONDS = 1000  # a second


def attainment(run: inputs.LoadRun) -> str:
    """Return attainment by class over time."""
    drawing, plot = _figure()
    for item in run.classes:
        points = [row for row in item['timeline'] if row['scheduled']]
        plot.step(
            [row['at_s'] for row in points],
            [row['attained'] / row['scheduled'] for row in points],
            where='post',
            label=item['name'],
        )
    plot.set_xlabel('scheduled time in the run (s)')
    plot.set_ylabel('attainment')
    plot.set_ylim(-0.03, 1.03)
    return _svg(drawing, plot)


def latencies(run: inputs.LoadRun, measure: str, label: str) -> str:
    """Return the distribution of one latency by class."""
    drawing, plot = _figure()
    for item in run.classes:
        found = item[measure]['percentiles']
        names = [name for name in found if found[name] is not None]
        plot.plot(
            names,
            [found[name] * MILLISECONDS for name in names],
            marker='o',
            label=item['name'],
        )
    plot.set_xlabel('percentile')
    plot.set_ylabel(f'{label} (ms)')
    plot.set_yscale('log')
    return _svg(drawing, plot)


def waste(runs: collections.abc.Sequence[inputs.LoadRun]) -> str | None:
    """Return wasted work by run; None when no run knows it."""
    known = [run for run in runs if run.payload.get('waste')]
    if not known:
        return None
    drawing, plot = _figure()
    plot.barh(
        [run.title for run in known],
        [run.payload['waste']['wasted_fraction'] for run in known],
        label='wasted part of generated tokens',
    )
    plot.set_xlabel('wasted part of generated tokens')
    return _svg(drawing, plot)


def _figure() -> tuple[figure.Figure, axes.Axes]:
    drawing = figure.Figure(figsize=SIZE, layout='constrained')
    return drawing, drawing.add_subplot()


def _svg(drawing: figure.Figure, plot: axes.Axes) -> str:
    if plot.get_legend_handles_labels()[0]:
        plot.legend()
    plot.grid(alpha=0.3)
    target = io.StringIO()
    drawing.savefig(target, format='svg')
    svg = target.getvalue()
    return svg[svg.index('<svg') :]
