"""Plots of load runs, as SVG embedded in the page."""

import collections.abc
import io

from matplotlib import axes
from matplotlib import figure

from corianderloft._internal.report import inputs

FIGURE_SIZE_INCHES = (8.0, 3.2)
MS_PER_S = 1000


def attainment(run: inputs.LoadRun) -> str:
    """Return a plot of the attainment of each class over time."""
    fig, ax = _figure()
    for item in run.classes:
        points = [row for row in item['timeline'] if row['scheduled']]
        ax.step(
            [row['at_s'] for row in points],
            [row['attained'] / row['scheduled'] for row in points],
            where='post',
            label=item['name'],
        )
    ax.set_xlabel('scheduled time in the run (s)')
    ax.set_ylabel('attainment')
    ax.set_ylim(-0.03, 1.03)
    return _svg(fig, ax)


def latencies(run: inputs.LoadRun, measure: str, label: str) -> str:
    """Return a plot of the percentiles of one latency by class."""
    fig, ax = _figure()
    for item in run.classes:
        percentiles = item[measure]['percentiles']
        names = [name for name in percentiles if percentiles[name] is not None]
        ax.plot(
            names,
            [percentiles[name] * MS_PER_S for name in names],
            marker='o',
            label=item['name'],
        )
    ax.set_xlabel('percentile')
    ax.set_ylabel(f'{label} (ms)')
    ax.set_yscale('log')
    return _svg(fig, ax)


def waste(runs: collections.abc.Sequence[inputs.LoadRun]) -> str | None:
    """Return a plot of wasted work by run, or None if none measured it."""
    measured = [run for run in runs if run.payload.get('waste')]
    if not measured:
        return None
    fig, ax = _figure()
    ax.barh(
        [run.title for run in measured],
        [run.payload['waste']['wasted_fraction'] for run in measured],
        label='wasted part of generated tokens',
    )
    ax.set_xlabel('wasted part of generated tokens')
    return _svg(fig, ax)


def _figure() -> tuple[figure.Figure, axes.Axes]:
    fig = figure.Figure(figsize=FIGURE_SIZE_INCHES, layout='constrained')
    return fig, fig.add_subplot()


def _svg(fig: figure.Figure, ax: axes.Axes) -> str:
    if ax.get_legend_handles_labels()[0]:
        ax.legend()
    ax.grid(alpha=0.3)
    buffer = io.StringIO()
    fig.savefig(buffer, format='svg')
    svg = buffer.getvalue()
    return svg[svg.index('<svg') :]
