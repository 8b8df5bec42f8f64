"""``python -m bench.placement``: compares the choosers."""

import itertools
import statistics

import fire
import tabulate

from bench.placement import engine
from bench.placement import simulate
from bench.placement import workload

SITES = {
    'stables': (workload.STABLES, engine.SMALL),
    'scarce': (workload.SCARCE, engine.SCARCE),
    'neighbours': (workload.NEIGHBOURS, engine.SCARCE),
}
"""Sites and their engines by name."""


def main(
    seeds: str = '0-2',
    choosers: str = 'round_robin,hashed_prefix,separated_prefix,lanes',
    loads: str = '0.6,1.0',
    site: str = 'stables',
    memory_admission: bool = False,
    length: float = 20.0,
) -> None:
    """Print the share of credit earned by chooser, load and request kind.

    Parameters
    ----------
    seeds : str
        First and last seed, separated by a hyphen.
    choosers, loads : str
        Choosers and load factors to simulate, separated by commas.
    site : str
        Requests and engines: one of `SITES`.
    memory_admission : bool
        Whether hosts admit requests by the memory that engines have left.
    length : float
        Length of a day in seconds.
    """
    first, last = map(int, str(seeds).split('-'))
    names = choosers if isinstance(choosers, str) else ','.join(choosers)
    factors = loads if isinstance(loads, str) else ','.join(map(str, loads))
    played, engine_type = SITES[site]
    fleet = simulate.Fleet(
        engine_type=engine_type, memory_admission=memory_admission
    )
    kinds = [kind.route.name for kind in played.kinds]
    rows = []
    for load, chooser in itertools.product(
        map(float, str(factors).split(',')), names.split(',')
    ):
        days = [
            simulate.simulate_day(chooser, seed, fleet, load, length, played)
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
