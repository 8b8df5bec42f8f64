"""Run the policies side by side and print one table and one plot.

``python -m bench.policy --seeds 0-9 --workload drafting-desk,lace-model``
"""

import collections
import itertools
import multiprocessing
import pathlib
import time
import typing

import fire
import tabulate

from bench.policy import measures
from bench.policy import plot
from bench.policy import policies
from bench.policy import scenarios
from bench.policy import workload


class Job(typing.NamedTuple):
    """One scenario for one service, policy and seed."""

    scenario: str
    service: str
    policy: str
    seed: int


_DEFAULT_WORKLOAD = 'drafting-desk,lace-model'


def _names(value: str | tuple[str, ...]) -> list[str]:
    return value.split(',') if isinstance(value, str) else list(value)


def _seeds(value: str | int) -> range:
    first, _, last = str(value).partition('-')
    return range(int(first), int(last or first) + 1)


def _work(job: Job) -> tuple[Job, scenarios.Figures]:
    run = scenarios.SCENARIOS[job.scenario]
    service = workload.SERVICES[job.service]
    return job, run(service, policies.POLICIES[job.policy], job.seed)


def _table(
    chosen: list[str],
    figures: dict[tuple[str, str], list[float]],
) -> str:
    names = dict.fromkeys(name for _, name in figures)
    rows = [
        [
            name,
            scenarios.TARGETS.get(name, ''),
            *(
                measures.Figure(name, tuple(figures[policy, name])).text
                for policy in chosen
            ),
        ]
        for name in names
    ]
    return tabulate.tabulate(rows, headers=['measure', 'target', *chosen])


def main(
    seeds: str | int = '0-2',
    workload: str | tuple[str, ...] = _DEFAULT_WORKLOAD,
    policy: str | tuple[str, ...] = tuple(policies.POLICIES),
    scenario: str | tuple[str, ...] = tuple(scenarios.SCENARIOS),
    processes: int = 2,
    out: str = 'out',
) -> None:
    """Print medians over seeds with the lowest and the highest."""
    began = time.monotonic()
    chosen = _names(policy)
    jobs = [
        Job(*parts)
        for parts in itertools.product(
            _names(scenario), _names(workload), chosen, _seeds(seeds)
        )
    ]
    figures: dict[str, dict[tuple[str, str], list[float]]] = (
        collections.defaultdict(lambda: collections.defaultdict(list))
    )
    with multiprocessing.Pool(processes) as workers:
        for job, measured in workers.imap(_work, jobs, chunksize=1):
            for name, value in measured.items():
                figures[job.service][job.policy, name].append(value)
    for service, measured_figures in figures.items():
        print(f'\n{service}, seeds {seeds}: median [lowest-highest]\n')
        print(_table(chosen, measured_figures))
    path = plot.draw(chosen, figures, pathlib.Path(out))
    print(f'\nplot: {path}; {time.monotonic() - began:.0f} s')


if __name__ == '__main__':
    fire.Fire(main)
