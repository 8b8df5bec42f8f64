"""Measures control with real processes at growing sizes of the fleet."""

import argparse
import json
import os
import pathlib
import random
import statistics
import time
import typing

import httpcore
import trio

from bench.control import fleet as fleets
from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from corianderloft._internal.models import states
from corianderloft._internal.shared import changes
from corianderloft._internal.shared.configuration import edit

IDLE_S = 20.0
SETTLE_S = 30.0
CHANGES = 50
KILLS = 5
LEAVES = 10
SPACING_S = 0.3


async def kv_calls(fleet: fleets.Fleet) -> int:
    """Return the calls that the service has counted."""
    async with httpcore.AsyncConnectionPool() as pool:
        reply = await pool.request('GET', f'{fleet.endpoint}/control/counts')
    return _sum(json.loads(reply.content))


def _sum(counts: typing.Any) -> int:
    if isinstance(counts, dict):
        return sum(_sum(value) for value in counts.values())
    return counts if isinstance(counts, int) else 0


async def measure_idle(fleet: fleets.Fleet) -> dict[str, float]:
    """Measure the costs of a fleet that has nothing to do."""
    before = {k: dict(n.said['costs']) for k, n in fleet.nodes.items()}
    calls_before = await kv_calls(fleet)
    began = time.monotonic()
    await trio.sleep(IDLE_S)
    took = time.monotonic() - began
    calls = await kv_calls(fleet) - calls_before
    after = {k: dict(n.said['costs']) for k, n in fleet.nodes.items()}

    def rates(name: str) -> list[float]:
        return [(after[k][name] - before[k][name]) / took for k in after]

    return {
        'bytes_per_s_mean': statistics.mean(rates('bytes')),
        'bytes_per_s_max': max(rates('bytes')),
        'core_percent_mean': 100 * statistics.mean(rates('cpu_s')),
        'core_percent_max': 100 * max(rates('cpu_s')),
        'resident_mb_max': max(a['resident_bytes'] for a in after.values())
        / 1e6,
        'kv_calls_per_s': calls / took,
    }


async def measure_changes(fleet: fleets.Fleet) -> dict[str, float]:
    """Measure from accept to in force on the last host."""
    stored = await edit.read_configuration(fleet.kv)
    assert isinstance(stored, edit.StoredConfiguration), stored
    revision = stored.revision
    times = []
    for number in range(CHANGES):
        template = catalog.ServiceTemplate(
            ids.ServiceName(f's{number % 5}'),
            states.ServiceKind.PLAIN,
            (),
            (),
            balancer=f'b{number}',
        )
        accepted = await edit.submit_change(
            fleet.kv,
            changes.ConfigurationChange((template,)),
            revision,
            ids.ChangeId(f'c{number}'),
            'bench',
        )
        accepted_at = time.monotonic()
        assert isinstance(accepted, changes.Accepted), accepted
        revision = accepted.revision
        times.append(
            await fleet.last_to_know(
                accepted_at, lambda k: k['revision'] >= revision
            )
        )
        await trio.sleep(random.uniform(0.5, 1.5) * SPACING_S)  # noqa: S311
    times.sort()
    return {
        'p50_s': times[len(times) // 2],
        'p99_s': times[int(0.99 * len(times))],
        'max_s': times[-1],
        'count': len(times),
    }


async def measure_kills(fleet: fleets.Fleet) -> dict[str, typing.Any]:
    """Measure until a killed host has left the answers of all others."""
    times = []
    for _ in range(min(KILLS, len(fleet.nodes) - 3)):
        killed = next(iter(fleet.nodes))
        began = time.monotonic()
        await fleet.kill(killed)
        times.append(
            await fleet.last_to_know(began, lambda k: killed not in k['live'])
        )
        await trio.sleep(1)
    return {'max_s': max(times), 'all_s': times}


async def measure_leaves(fleet: fleets.Fleet) -> dict[str, typing.Any]:
    """Measure until all hosts know that a backend server leaves."""
    times = []
    for number in range(LEAVES):
        name = f'e{number}'
        backend = {
            'engine_id': name,
            'service': 's0',
            'supplier': 'x',
            'model': 'm',
            'address': '127.0.0.1',
            'port': 9,
            'failure_domain': 'fd-0',
        }
        await fleet.put(f'platform/backends/{name}', backend)
        await trio.sleep(SPACING_S)
        began = time.monotonic()
        await fleet.put(
            f'platform/backends/{name}', {**backend, 'state': 'leaving'}
        )
        times.append(
            await fleet.last_to_know(began, lambda k: name in k['leaving'])
        )
    return {'max_s': max(times), 'median_s': statistics.median(times)}


async def measure(size: int) -> dict[str, typing.Any]:
    """Measure one size of the fleet."""
    async with trio.open_nursery() as nursery:
        fleet = fleets.Fleet(nursery)
        try:
            await fleet.start_kv()
            began = time.monotonic()
            for number in range(size):
                await fleet.start_node(f'h{number}', number)
            await fleet.last_to_know(began, lambda k: len(k['live']) == size)
            await trio.sleep(SETTLE_S)
            return {
                'hosts': size,
                'load_average': os.getloadavg()[0],
                'idle': await measure_idle(fleet),
                'in_force': await measure_changes(fleet),
                'leaving_backend': await measure_leaves(fleet),
                'killed_host': await measure_kills(fleet),
            }
        finally:
            fleet.end()
            nursery.cancel_scope.cancel()
    raise RuntimeError('the nursery ended without a result')


async def main() -> None:
    """Measure the sizes that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--hosts', default='8,16,32')
    parser.add_argument('--output', default='')
    options = parser.parse_args()
    results = []
    for size in map(int, options.hosts.split(',')):
        results.append(await measure(size))
        print(json.dumps(results[-1]), flush=True)
    if options.output:
        text = json.dumps(results, indent=1) + '\n'
        pathlib.Path(options.output).write_text(text)


if __name__ == '__main__':
    trio.run(main)
