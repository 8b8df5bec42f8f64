"""Recorded benchmark runs with fleets of real processes."""

import dataclasses
import pathlib

import pydantic

CONTROL_RUNS = pathlib.Path('docs/measurements/control.json')
"""Results of ``make bench-control``."""


@dataclasses.dataclass(frozen=True)
class Idle:
    """Costs of the hosts while nothing changes."""

    bytes_per_s_mean: float
    bytes_per_s_max: float
    core_percent_mean: float
    core_percent_max: float
    resident_mb_max: float
    kv_calls_per_s: float


@dataclasses.dataclass(frozen=True)
class InForce:
    """Time from acceptance of a change until it is in force on all hosts."""

    p50_s: float
    p99_s: float
    max_s: float


@dataclasses.dataclass(frozen=True)
class MaxTime:
    """Maximum time over several trials."""

    max_s: float


@dataclasses.dataclass(frozen=True)
class FleetRun:
    """One run with a given number of hosts."""

    hosts: int
    idle: Idle
    in_force: InForce
    leaving_backend: MaxTime
    killed_host: MaxTime


@dataclasses.dataclass(frozen=True)
class FleetRuns:
    """All recorded runs and the command that produced them."""

    command: str
    rows: tuple[FleetRun, ...]


_ADAPTER = pydantic.TypeAdapter(FleetRuns)

HEADERS = (
    'hosts',
    'bytes/s a host, mean (max)',
    '% of a core, mean (max)',
    'MB, max',
    'service calls/s, fleet',
    'in force p50, p99, max, s',
    'killed host out, s',
    'leaving backend known, s',
)


def load(path: pathlib.Path = CONTROL_RUNS) -> FleetRuns:
    """Read the recorded runs."""
    return _ADAPTER.validate_json(path.read_bytes())


def cells(run: FleetRun) -> tuple[str, ...]:
    """Return the table row of a run."""
    idle = run.idle
    times = run.in_force
    return (
        str(run.hosts),
        f'{idle.bytes_per_s_mean:.0f} ({idle.bytes_per_s_max:.0f})',
        f'{idle.core_percent_mean:.2f} ({idle.core_percent_max:.2f})',
        f'{idle.resident_mb_max:.0f}',
        f'{idle.kv_calls_per_s:.1f}',
        f'{times.p50_s:.2f}, {times.p99_s:.2f}, {times.max_s:.2f}',
        f'{run.killed_host.max_s:.1f}',
        f'{run.leaving_backend.max_s:.2f}',
    )
