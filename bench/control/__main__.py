"""Measures control traffic in fleets of real processes of several sizes."""

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

IDLE_PERIOD_S = 20.0
SETTLE_TIME_S = 30.0
CHANGE_COUNT = 50
KILL_COUNT = 5
LEAVE_COUNT = 10
INTERVAL_S = 0.3


async def kv_calls(fleet: fleets.Fleet) -> int:
    """Return the number of calls counted by the key-value service."""
    async with httpcore.AsyncConnectionPool() as pool:
        reply = await pool.request('GET', f'{fleet.endpoint}/control/counts')
    return _sum_counts(json.loads(reply.content))


def _sum_counts(counts: typing.Any) -> int:
    if isinstance(counts, dict):
        return sum(_sum_counts(value) for value in counts.values())
    return counts if isinstance(counts, int) else 0


async def measure_idle(fleet: fleets.Fleet) -> dict[str, float]:
    """Measure the costs of an idle fleet."""
    before = {k: dict(n.reported['costs']) for k, n in fleet.nodes.items()}
    calls_before = await kv_calls(fleet)
    started = time.monotonic()
    await trio.sleep(IDLE_PERIOD_S)
    elapsed = time.monotonic() - started
    calls = await kv_calls(fleet) - calls_before
    after = {k: dict(n.reported['costs']) for k, n in fleet.nodes.items()}

    def rates(name: str) -> list[float]:
        return [(after[k][name] - before[k][name]) / elapsed for k in after]

    return {
        'bytes_per_s_mean': statistics.mean(rates('bytes')),
        'bytes_per_s_max': max(rates('bytes')),
        'core_percent_mean': 100 * statistics.mean(rates('cpu_s')),
        'core_percent_max': 100 * max(rates('cpu_s')),
        'resident_mb_max': max(a['resident_bytes'] for a in after.values())
        / 1e6,
        'kv_calls_per_s': calls / elapsed,
    }


async def measure_changes(fleet: fleets.Fleet) -> dict[str, float]:
    """Measure the time from acceptance until in force on the last host."""
    configuration = await edit.read_configuration(fleet.kv)
    assert isinstance(configuration, edit.StoredConfiguration), configuration
    revision = configuration.revision
    times = []
    for number in range(CHANGE_COUNT):
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
            await fleet.time_until_all(
                accepted_at, lambda k: k['revision'] >= revision
            )
        )
        await trio.sleep(random.uniform(0.5, 1.5) * INTERVAL_S)  # noqa: S311
    times.sort()
    return {
        'p50_s': times[len(times) // 2],
        'p99_s': times[int(0.99 * len(times))],
        'max_s': times[-1],
        'count': len(times),
    }


async def measure_kills(fleet: fleets.Fleet) -> dict[str, typing.Any]:
    """Measure the time until no host lists a killed host as live."""
    times = []
    for _ in range(min(KILL_COUNT, len(fleet.nodes) - 3)):
        killed = next(iter(fleet.nodes))
        started = time.monotonic()
        await fleet.kill(killed)
        times.append(
            await fleet.time_until_all(
                started, lambda k: killed not in k['live']
            )
        )
        await trio.sleep(1)
    return {'max_s': max(times), 'all_s': times}


async def measure_leaves(fleet: fleets.Fleet) -> dict[str, typing.Any]:
    """Measure the time until all hosts see a backend server as leaving."""
    times = []
    for number in range(LEAVE_COUNT):
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
        await trio.sleep(INTERVAL_S)
        started = time.monotonic()
        await fleet.put(
            f'platform/backends/{name}', {**backend, 'state': 'leaving'}
        )
        times.append(
            await fleet.time_until_all(started, lambda k: name in k['leaving'])
        )
    return {'max_s': max(times), 'median_s': statistics.median(times)}


async def measure(size: int) -> dict[str, typing.Any]:
    """Run all measurements with a fleet of ``size`` hosts."""
    async with trio.open_nursery() as nursery:
        fleet = fleets.Fleet(nursery)
        try:
            await fleet.start_kv()
            started = time.monotonic()
            for number in range(size):
                await fleet.start_node(f'h{number}', number)
            await fleet.time_until_all(
                started, lambda k: len(k['live']) == size
            )
            await trio.sleep(SETTLE_TIME_S)
            return {
                'hosts': size,
                'load_average': os.getloadavg()[0],
                'idle': await measure_idle(fleet),
                'in_force': await measure_changes(fleet),
                'leaving_backend': await measure_leaves(fleet),
                'killed_host': await measure_kills(fleet),
            }
        finally:
            fleet.kill_all()
            nursery.cancel_scope.cancel()
    raise RuntimeError('nursery ended without a result')


async def main() -> None:
    """Measure the fleet sizes given on the command line."""
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
