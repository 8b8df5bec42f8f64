"""Measure what an entry host adds to its engines, in one run.

``python -m bench.relay`` starts a key-value service, engines, one entry
host and callers as processes of their own, calls the engines directly and
through the host in turn, and prints one table.
"""

import dataclasses
import os
import pathlib
import pstats
import statistics
import tempfile
import time
import typing

import fire
import tabulate
import trio

from bench.capacity import measurements
from bench.relay import system

STREAMS = 125
PACED_FACTOR = 36.0
IDLE_REQUESTS = 200
PACED_WINDOW = (2.0, 9.0)
PACED_TOKENS = 300
FLOOD_WINDOW = (1.0, 6.0)
FLOOD_TOKENS = 60000
HEADERS = ('figure', 'direct', 'host', 'target')
CLOCK_TICKS = os.sysconf('SC_CLK_TCK')


def main(profile: float = 0.0, record: str = '') -> None:
    """Run the bench.

    Parameters
    ----------
    record : str
        File that the table is written to as JSON, besides.
    profile : float
        Instead, load the host that many seconds under a profiler and print
        where its time goes.
    """
    if profile:
        trio.run(_profiled, profile)
    else:
        trio.run(_measure, record)


async def _measure(record: str) -> None:
    async with system.running() as bench:
        rows = await _idle(bench)
        rows += await _paced(bench)
        rows += await _flood(bench)
    print(tabulate.tabulate(rows, HEADERS))
    if record:
        measurements.save_table(HEADERS, rows, pathlib.Path(record))


async def _profiled(seconds: float) -> None:
    with tempfile.NamedTemporaryFile() as out:
        flags = ('-m', 'cProfile', '-o', out.name)
        async with system.running(flags) as bench:
            await bench.pace(PACED_FACTOR)
            tokens = int(seconds / (system.STEP_TIME * PACED_FACTOR))
            await system.load(
                bench.host, streams=STREAMS, tokens=tokens, spread=1.0
            )
            host = bench.system.hosts['host-1']
            host.terminate()
            await host.wait_ended()
        pstats.Stats(out.name).sort_stats('tottime').print_stats(45)


async def _idle(bench: system.Bench) -> list[list[typing.Any]]:
    """First token of one caller at a time, direct and relayed in turn."""
    await bench.pace(0.1)
    seen: dict[str, list[float]] = {'direct': [], 'host': []}
    spent = 0.0
    for _ in range(4):
        for name, target in _targets(bench):
            before = _cpu(target)
            result = await system.load(
                dataclasses.replace(target, ports=target.ports[:1]),
                streams=1,
                tokens=1,
                rounds=IDLE_REQUESTS,
            )
            seen[name] += result['first']
            spent += _cpu(target) - before if name == 'host' else 0.0
    each = round(spent / len(seen['host']) * 1000, 2)
    rows = _first_rows('idle', seen, '<= 3 added')
    return [*rows, ['CPU a request of one token, ms', '', each, '']]


async def _paced(bench: system.Bench) -> list[list[typing.Any]]:
    """The design size: 125 streams with 36 ms between tokens."""
    await bench.pace(PACED_FACTOR)
    rows: list[list[typing.Any]] = []
    seen: dict[str, system.Result] = {}
    idle_memory = _memory(bench.host.pids[0])
    for name, target in _targets(bench):
        seen[name] = await _measured(
            target,
            streams=STREAMS,
            tokens=PACED_TOKENS,
            spread=1.0,
            window=PACED_WINDOW,
        )
    firsts = {name: result['first'] for name, result in seen.items()}
    rows += _first_rows('125 streams', firsts, '')
    for label, part in (('p50', 0.5), ('p99', 0.99), ('p99.9', 0.999)):
        rows.append(
            [
                f'125 streams: gap between tokens {label}, ms',
                *(_ms(seen[n]['gaps'], part) for n in ('direct', 'host')),
                '36',
            ]
        )
    rows.append(_row('125 streams: tokens/s', seen, _rate, '3470'))
    rows.append(['125 streams: cores', '', seen['host']['cores'], '<= 0.5'])
    rows.append(_cpu_row('125 streams', seen))
    grown = seen['host']['memory'] - idle_memory
    rows.append(
        ['memory per open stream, KB', '', round(grown / STREAMS, 1), '']
    )
    rows.append(['memory idle, MB', '', round(idle_memory / 1024, 1), ''])
    return rows


async def _flood(bench: system.Bench) -> list[list[typing.Any]]:
    """Engines faster than the host can relay."""
    await bench.pace(1.0)
    seen = {
        name: await _measured(
            target,
            streams=STREAMS,
            tokens=FLOOD_TOKENS,
            window=FLOOD_WINDOW,
            stop_after=FLOOD_WINDOW[1] + 0.2,
        )
        for name, target in _targets(bench)
    }
    per_read = {n: round(r['tokens'] / r['reads'], 1) for n, r in seen.items()}
    return [
        _row('saturated: tokens/s', seen, _rate, '>= 7000'),
        ['saturated: cores', '', seen['host']['cores'], ''],
        _cpu_row('saturated', seen),
        [
            'saturated: tokens a read',
            per_read['direct'],
            per_read['host'],
            '',
        ],
    ]


async def _measured(
    target: system.Target, **plan: typing.Any
) -> system.Result:
    """Run a plan and measure CPU and memory in its window."""
    result: system.Result = {}
    begin, end = plan['window']

    async def watch() -> None:
        await trio.sleep(begin + 0.3)
        cpu, since = _cpu(target), time.perf_counter()
        await trio.sleep(end - begin - 0.6)
        spent = _cpu(target) - cpu
        result['cores'] = round(spent / (time.perf_counter() - since), 3)
        result['memory'] = _memory(target.pids[0])

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch)
        result |= await system.load(target, **plan)
    return result


def _targets(bench: system.Bench) -> list[tuple[str, system.Target]]:
    return [('direct', bench.engines), ('host', bench.host)]


def _first_rows(
    load: str, seen: dict[str, list[float]], target: str
) -> list[list[typing.Any]]:
    rows = []
    for label, part in (('p50', 0.5), ('p99', 0.99)):
        direct, host = (_ms(seen[n], part) for n in ('direct', 'host'))
        wanted = target if label == 'p50' else ''
        rows.append([f'{load}: first token {label}, ms', direct, host, ''])
        rows.append(
            [
                f'{load}: added first token {label}, ms',
                '',
                round(host - direct, 2),
                wanted,
            ]
        )
    return rows


def _row(
    label: str,
    seen: dict[str, system.Result],
    figure: typing.Callable[[system.Result], typing.Any],
    target: str,
) -> list[typing.Any]:
    return [label, figure(seen['direct']), figure(seen['host']), target]


def _cpu_row(load: str, seen: dict[str, system.Result]) -> list[typing.Any]:
    host = seen['host']
    rate: float = host['tokens'] / host['seconds']
    return [
        f'{load}: CPU a relayed token, us',
        '',
        round(host['cores'] / rate * 1e6, 1),
        '',
    ]


def _rate(result: system.Result) -> int:
    rate: float = result['tokens'] / result['seconds']
    return round(rate)


def _ms(values: list[float], part: float) -> float:
    if len(values) < 2:
        return 0.0
    cut = statistics.quantiles(values, n=1000, method='inclusive')
    return round(cut[round(part * 1000) - 1] * 1000, 2)


def _cpu(target: system.Target) -> float:
    """Return the CPU seconds that the processes used."""
    fields = [
        pathlib.Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
        for pid in target.pids
    ]
    ticks = [int(n) for text in fields for n in text.split()[11:13]]
    return sum(ticks) / CLOCK_TICKS


def _memory(pid: int) -> int:
    """Return the resident memory of a process in KB."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    line = next(li for li in status.splitlines() if li.startswith('VmRSS'))
    return int(line.split()[1])


if __name__ == '__main__':
    fire.Fire(main)
