"""Writes and checks the table of docs/CAPACITY.md."""

import pathlib
import sys

import tabulate

from bench.capacity import fleet
from bench.capacity import measurements
from bench.capacity import quantities
from bench.capacity import rows

PAGE = pathlib.Path('docs/CAPACITY.md')
BEGIN = '<!-- table: begin (make capacity) -->'
END = '<!-- table: end -->'


def _format(value: float) -> str:
    if value >= 100:
        return f'{value:,.0f}'
    return f'{value:.3g}'


def _cells(row: quantities.Row) -> tuple[str, ...]:
    used = '' if row.budget is None else f'{row.value / row.budget:.0%}'
    budget = '' if row.budget is None else _format(row.budget)
    return (
        row.role,
        row.quantity,
        row.formula,
        f'{_format(row.value)} {row.unit}',
        budget,
        used,
        row.mechanism,
        row.status.value,
    )


def render(recorded: measurements.Recorded) -> str:
    """Return the table in Markdown, with the source of its figures."""
    headers = (
        'role',
        'what',
        'worked out as',
        'at the design size',
        'budget',
        'used',
        'mechanism',
        'status',
    )
    table = tabulate.tabulate(
        [_cells(row) for row in rows.all_rows(recorded)],
        headers=headers,
        tablefmt='github',
        disable_numparse=True,
    )
    slopes = tabulate.tabulate(
        [
            (
                s.name,
                f'{s.median:.3g} {s.unit}',
                f'{s.low:.3g} to {s.high:.3g}',
                ', '.join(
                    f'{size}: {cost:.3g}'
                    for size, cost in zip(s.sizes, s.by_size, strict=True)
                ),
                s.repetitions,
            )
            for s in recorded.slopes
        ],
        headers=('slope', 'median', 'range', 'by size', 'repetitions'),
        tablefmt='github',
        disable_numparse=True,
    )
    source = (
        f'Measured by `{recorded.command}` on {recorded.date}, '
        f'{recorded.machine}.'
    )
    parts = (BEGIN, table, source, slopes, _fleet_table(fleet.load()), END)
    return '\n\n'.join(parts)


def _fleet_table(runs: fleet.FleetRuns) -> str:
    table = tabulate.tabulate(
        [fleet.cells(run) for run in runs.rows],
        headers=fleet.HEADERS,
        tablefmt='github',
        disable_numparse=True,
    )
    return (
        f'Fleets of real processes, `{runs.command}`, shared state only, one '
        f'run a row:\n\n{table}'
    )


def replace_table(page: str, table: str) -> str:
    """Return the page with the table replaced."""
    before, _, rest = page.partition(BEGIN)
    _, _, after = rest.partition(END)
    return before + table + after


def main(check: bool = False) -> int:
    """Update the table in the page, or check that it is up to date.

    Returns
    -------
    int
        Exit code: 1 if ``check`` is set and the page differs from its data,
        otherwise 0.
    """
    page = PAGE.read_text()
    expected = replace_table(page, render(measurements.load()))
    if not check:
        PAGE.write_text(expected)
        return 0
    if page == expected:
        return 0
    sys.stderr.write(f'{PAGE}: differs from its data; run make capacity\n')
    return 1


if __name__ == '__main__':
    sys.exit(main(check='--check' in sys.argv[1:]))
