"""The plot of one run."""

import pathlib
import statistics

from matplotlib import figure

_SHOWN = (
    '1.3 tier 0 question',
    '1.3 tier 1 reply',
    '1.3 tier 2 quote',
    '1.3 tier 3 draft',
    '1.3 crest short',
    'slowed short',
    'slowed tail ratio',
    'hol ratio',
)


def draw(
    chosen: list[str],
    figures: dict[str, dict[tuple[str, str], list[float]]],
    folder: pathlib.Path,
) -> pathlib.Path:
    """Draw each policy's medians side by side and return the file."""
    folder.mkdir(exist_ok=True)
    chart = figure.Figure(figsize=(11, 4 * len(figures)))
    axes = chart.subplots(len(figures), 1, squeeze=False)
    for axis, (service, measured) in zip(
        axes[:, 0], figures.items(), strict=True
    ):
        shown = [n for n in _SHOWN if (chosen[0], n) in measured]
        width = 0.8 / len(chosen)
        for place, policy in enumerate(chosen):
            axis.bar(
                [n + place * width for n in range(len(shown))],
                [statistics.median(measured[policy, n]) for n in shown],
                width,
                label=policy,
            )
        axis.set_xticks(range(len(shown)), shown, rotation=15, fontsize=7)
        axis.set_title(service)
        axis.legend(fontsize=7)
    chart.tight_layout()
    path = folder / 'policy.png'
    chart.savefig(path)
    return path
