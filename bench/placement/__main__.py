"""``python -m bench.placement``: compares the choosers."""

import itertools
import statistics

import fire
import tabulate

from bench.placement import simulate
from bench.placement import workload


def main(
    seeds: str = '0-2',
    choosers: str = 'round_robin,hashed_prefix,separated_prefix,lanes',
    loads: str = '0.6,1.0',
) -> None:
    """Print the share of credit earned by chooser, load and request kind.

    Parameters
    ----------
    seeds : str
        First and last seed, separated by a hyphen.
    choosers, loads : str
        Choosers and load factors to simulate, separated by commas.
    """
    first, last = map(int, str(seeds).split('-'))
    names = choosers if isinstance(choosers, str) else ','.join(choosers)
    factors = loads if isinstance(loads, str) else ','.join(map(str, loads))
    kinds = [kind.route.name for kind in workload.KINDS]
    rows = []
    for load, chooser in itertools.product(
        map(float, str(factors).split(',')), names.split(',')
    ):
        days = [
            simulate.simulate_day(chooser, seed, load=load)
            for seed in range(first, last + 1)
        ]
        shares = [
            statistics.mean(day[kind].share for day in days) for kind in kinds
        ]
        total = statistics.mean(map(total_share, days))
        rows.append((load, chooser, *shares, total))
    print(
        tabulate.tabulate(
            rows, ('load', 'chooser', *kinds, 'all'), floatfmt='.3f'
        )
    )


def total_share(day: simulate.Result) -> float:
    """Return the ratio of earned to possible credit over all kinds."""
    earned = sum(tally.earned for tally in day.values())
    return earned / sum(tally.possible for tally in day.values())


if __name__ == '__main__':
    fire.Fire(main)
