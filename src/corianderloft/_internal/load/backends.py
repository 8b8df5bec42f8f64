"""Reads the counters of the stand-ins: wasted work and repeated runs."""

import collections.abc
import dataclasses
import typing

from corianderloft._internal.load import addresses
from corianderloft._internal.load import workload

Endpoints = collections.abc.Sequence[workload.Endpoint]


@dataclasses.dataclass(frozen=True)
class EngineCounts:
    """Sums over all engines; ``engines_not_read`` of them did not respond."""

    tokens_generated: int
    engines_not_read: int


async def engine_counts(engines: Endpoints) -> EngineCounts:
    """Read the counters of all engines."""
    counts = [
        await _fetch(endpoint, '/control/counts') for endpoint in engines
    ]
    return EngineCounts(
        sum(int(row.get('tokens_generated', 0)) for row in counts),
        sum(not row for row in counts),
    )


async def booking_runs(services: Endpoints) -> dict[str, int]:
    """Return the number of runs of each booking over all services."""
    runs: dict[str, int] = {}
    for endpoint in services:
        body = await _fetch(endpoint, '/bookings')
        for name, count in body.get('bookings', {}).items():
            runs[name] = runs.get(name, 0) + count
    return runs


async def _fetch(
    endpoint: workload.Endpoint, path: str
) -> dict[str, typing.Any]:
    try:
        body = await addresses.get_json(endpoint, path)
    except addresses.CONNECTION_ERRORS:
        return {}
    return body if isinstance(body, dict) else {}
