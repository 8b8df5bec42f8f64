"""What the stand-ins counted during a run: wasted work and double runs."""

import collections.abc
import dataclasses
import typing

from corianderloft._internal.load import addresses
from corianderloft._internal.load import workload

Endpoints = collections.abc.Sequence[workload.Endpoint]


@dataclasses.dataclass(frozen=True)
class EngineCounts:
    """Sums over all engines; ``unread`` ones did not answer."""

    tokens_generated: int
    unread: int


async def engine_counts(engines: Endpoints) -> EngineCounts:
    """Read the counters of all engines."""
    counts = [await _read(item, '/control/counts') for item in engines]
    return EngineCounts(
        sum(int(row.get('tokens_generated', 0)) for row in counts),
        sum(not row for row in counts),
    )


async def bookings(services: Endpoints) -> dict[str, int]:
    """Return how often each booking ran on all services together."""
    runs: dict[str, int] = {}
    for endpoint in services:
        listed = await _read(endpoint, '/bookings')
        for name, count in listed.get('bookings', {}).items():
            runs[name] = runs.get(name, 0) + count
    return runs


async def _read(
    endpoint: workload.Endpoint, path: str
) -> dict[str, typing.Any]:
    try:
        body = await addresses.get_json(endpoint, path)
    except addresses.FAILURES:
        return {}
    return body if isinstance(body, dict) else {}
