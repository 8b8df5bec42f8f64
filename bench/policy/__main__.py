"""Compare policies in simulation; print a table per service, draw a plot.

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
    """A scenario to run for one service, policy and seed."""

    scenario: str
    service: str
    policy: str
    seed: int


_DEFAULT_WORKLOAD = 'drafting-desk,lace-model'


def _parse_names(value: str | tuple[str, ...]) -> list[str]:
    return value.split(',') if isinstance(value, str) else list(value)


def _parse_seeds(value: str | int) -> range:
    first, _, last = str(value).partition('-')
    return range(int(first), int(last or first) + 1)


def _run_job(job: Job) -> tuple[Job, scenarios.Measurements]:
    run = scenarios.SCENARIOS[job.scenario]
    service = workload.SERVICES[job.service]
    return job, run(service, policies.POLICIES[job.policy], job.seed)


def _format_table(
    policy_names: list[str],
    measurements: dict[tuple[str, str], list[float]],
) -> str:
    measure_names = dict.fromkeys(name for _, name in measurements)
    rows = [
        [
            name,
            scenarios.TARGETS.get(name, ''),
            *(
                measures.MeasureSummary(
                    name, tuple(measurements[policy, name])
                ).text
                for policy in policy_names
            ),
        ]
        for name in measure_names
    ]
    return tabulate.tabulate(
        rows, headers=['measure', 'target', *policy_names]
    )


def main(
    seeds: str | int = '0-2',
    workload: str | tuple[str, ...] = _DEFAULT_WORKLOAD,
    policy: str | tuple[str, ...] = tuple(policies.POLICIES),
    scenario: str | tuple[str, ...] = tuple(scenarios.SCENARIOS),
    processes: int = 2,
    out: str = 'out',
) -> None:
    """Print median, lowest and highest value of each measure over seeds."""
    start = time.monotonic()
    policy_names = _parse_names(policy)
    jobs = [
        Job(*parts)
        for parts in itertools.product(
            _parse_names(scenario),
            _parse_names(workload),
            policy_names,
            _parse_seeds(seeds),
        )
    ]
    measurements: dict[str, dict[tuple[str, str], list[float]]] = (
        collections.defaultdict(lambda: collections.defaultdict(list))
    )
    with multiprocessing.Pool(processes) as pool:
        for job, measured in pool.imap(_run_job, jobs, chunksize=1):
            for name, value in measured.items():
                measurements[job.service][job.policy, name].append(value)
    for service, service_measurements in measurements.items():
        print(f'\n{service}, seeds {seeds}: median [lowest-highest]\n')
        print(_format_table(policy_names, service_measurements))
    path = plot.draw(policy_names, measurements, pathlib.Path(out))
    print(f'\nplot: {path}; {time.monotonic() - start:.0f} s')


if __name__ == '__main__':
    fire.Fire(main)
