"""Bar chart of the measured policies."""

import pathlib
import statistics

from matplotlib import figure

_PLOTTED_MEASURES = (
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
    policy_names: list[str],
    measurements: dict[str, dict[tuple[str, str], list[float]]],
    out_dir: pathlib.Path,
) -> pathlib.Path:
    """Draw the medians of each policy as bars; return the image path."""
    out_dir.mkdir(exist_ok=True)
    chart = figure.Figure(figsize=(11, 4 * len(measurements)))
    axes = chart.subplots(len(measurements), 1, squeeze=False)
    for axis, (service, measured) in zip(
        axes[:, 0], measurements.items(), strict=True
    ):
        plotted = [
            n for n in _PLOTTED_MEASURES if (policy_names[0], n) in measured
        ]
        width = 0.8 / len(policy_names)
        for index, policy in enumerate(policy_names):
            axis.bar(
                [n + index * width for n in range(len(plotted))],
                [statistics.median(measured[policy, n]) for n in plotted],
                width,
                label=policy,
            )
        axis.set_xticks(range(len(plotted)), plotted, rotation=15, fontsize=7)
        axis.set_title(service)
        axis.legend(fontsize=7)
    chart.tight_layout()
    path = out_dir / 'policy.png'
    chart.savefig(path)
    return path
