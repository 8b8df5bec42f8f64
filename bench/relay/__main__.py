"""Measures the overhead of an entry host compared to direct calls.

``python -m bench.relay`` starts a key-value service, engines, one entry
host and callers as separate processes, alternates between direct calls to
the engines and calls through the host, and prints one table.
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
PACED_TOKEN_INTERVAL_MS = 36.0
IDLE_REQUESTS = 200
PACED_WINDOW_S = (2.0, 9.0)
PACED_TOKENS = 300
FLOOD_WINDOW_S = (1.0, 6.0)
FLOOD_TOKENS = 60000
HEADERS = ('figure', 'direct', 'host', 'target')
CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')


def main(profile: float = 0.0, record: str = '') -> None:
    """Run the benchmark.

    Parameters
    ----------
    record : str
        File that the table is also written to, as JSON.
    profile : float
        If not 0, run the host under a profiler with this many seconds of
        load and print the profile instead of the table.
    """
    if profile:
        trio.run(_profile, profile)
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


async def _profile(seconds: float) -> None:
    with tempfile.NamedTemporaryFile() as out:
        flags = ('-m', 'cProfile', '-o', out.name)
        async with system.running(flags) as bench:
            await bench.set_token_interval(PACED_TOKEN_INTERVAL_MS)
            tokens = int(
                seconds / (system.STEP_TIME_S * PACED_TOKEN_INTERVAL_MS)
            )
            await system.load(
                bench.host, streams=STREAMS, tokens=tokens, spread=1.0
            )
            host = bench.system.hosts['host-1']
            host.terminate()
            await host.wait_ended()
        pstats.Stats(out.name).sort_stats('tottime').print_stats(45)


async def _idle(bench: system.Bench) -> list[list[typing.Any]]:
    """Measure the time to first token with a single stream."""
    await bench.set_token_interval(0.1)
    results: dict[str, list[float]] = {'direct': [], 'host': []}
    cpu_used = 0.0
    for _ in range(4):
        for name, target in _labeled_targets(bench):
            before = _cpu_seconds(target)
            result = await system.load(
                dataclasses.replace(target, ports=target.ports[:1]),
                streams=1,
                tokens=1,
                rounds=IDLE_REQUESTS,
            )
            results[name] += result['first']
            cpu_used += (
                _cpu_seconds(target) - before if name == 'host' else 0.0
            )
    cpu_ms_per_request = round(cpu_used / len(results['host']) * 1000, 2)
    rows = _first_token_rows('idle', results, '<= 3 added')
    return [
        *rows,
        ['CPU a request of one token, ms', '', cpu_ms_per_request, ''],
    ]


async def _paced(bench: system.Bench) -> list[list[typing.Any]]:
    """Measure at the design size: 125 streams, 36 ms between tokens."""
    await bench.set_token_interval(PACED_TOKEN_INTERVAL_MS)
    rows: list[list[typing.Any]] = []
    results: dict[str, system.Result] = {}
    idle_memory = _resident_kb(bench.host.pids[0])
    for name, target in _labeled_targets(bench):
        results[name] = await _run_measured(
            target,
            streams=STREAMS,
            tokens=PACED_TOKENS,
            spread=1.0,
            window=PACED_WINDOW_S,
        )
    first_token_times = {
        name: result['first'] for name, result in results.items()
    }
    rows += _first_token_rows('125 streams', first_token_times, '')
    for label, quantile in (('p50', 0.5), ('p99', 0.99), ('p99.9', 0.999)):
        rows.append(
            [
                f'125 streams: gap between tokens {label}, ms',
                *(
                    _quantile_ms(results[n]['gaps'], quantile)
                    for n in ('direct', 'host')
                ),
                '36',
            ]
        )
    rows.append(_row('125 streams: tokens/s', results, _rate, '3470'))
    rows.append(['125 streams: cores', '', results['host']['cores'], '<= 0.5'])
    rows.append(_cpu_row('125 streams', results))
    memory_growth = results['host']['memory'] - idle_memory
    rows.append(
        [
            'memory per open stream, KB',
            '',
            round(memory_growth / STREAMS, 1),
            '',
        ]
    )
    rows.append(['memory idle, MB', '', round(idle_memory / 1024, 1), ''])
    return rows


async def _flood(bench: system.Bench) -> list[list[typing.Any]]:
    """Measure with engines that are faster than the host can relay."""
    await bench.set_token_interval(1.0)
    results = {
        name: await _run_measured(
            target,
            streams=STREAMS,
            tokens=FLOOD_TOKENS,
            window=FLOOD_WINDOW_S,
            stop_after=FLOOD_WINDOW_S[1] + 0.2,
        )
        for name, target in _labeled_targets(bench)
    }
    per_read = {
        n: round(r['tokens'] / r['reads'], 1) for n, r in results.items()
    }
    return [
        _row('saturated: tokens/s', results, _rate, '>= 7000'),
        ['saturated: cores', '', results['host']['cores'], ''],
        _cpu_row('saturated', results),
        [
            'saturated: tokens a read',
            per_read['direct'],
            per_read['host'],
            '',
        ],
    ]


async def _run_measured(
    target: system.Target, **plan: typing.Any
) -> system.Result:
    """Run a load plan and measure CPU and memory in its window."""
    result: system.Result = {}
    begin, end = plan['window']

    async def watch() -> None:
        await trio.sleep(begin + 0.3)
        cpu, started = _cpu_seconds(target), time.perf_counter()
        await trio.sleep(end - begin - 0.6)
        cpu_used = _cpu_seconds(target) - cpu
        result['cores'] = round(cpu_used / (time.perf_counter() - started), 3)
        result['memory'] = _resident_kb(target.pids[0])

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch)
        result |= await system.load(target, **plan)
    return result


def _labeled_targets(bench: system.Bench) -> list[tuple[str, system.Target]]:
    return [('direct', bench.engines), ('host', bench.host)]


def _first_token_rows(
    load: str, results: dict[str, list[float]], target: str
) -> list[list[typing.Any]]:
    rows = []
    for label, quantile in (('p50', 0.5), ('p99', 0.99)):
        direct, host = (
            _quantile_ms(results[n], quantile) for n in ('direct', 'host')
        )
        limit = target if label == 'p50' else ''
        rows.append([f'{load}: first token {label}, ms', direct, host, ''])
        rows.append(
            [
                f'{load}: added first token {label}, ms',
                '',
                round(host - direct, 2),
                limit,
            ]
        )
    return rows


def _row(
    label: str,
    results: dict[str, system.Result],
    figure: typing.Callable[[system.Result], typing.Any],
    target: str,
) -> list[typing.Any]:
    return [label, figure(results['direct']), figure(results['host']), target]


def _cpu_row(load: str, results: dict[str, system.Result]) -> list[typing.Any]:
    host = results['host']
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


def _quantile_ms(values: list[float], quantile: float) -> float:
    if len(values) < 2:
        return 0.0
    cut_points = statistics.quantiles(values, n=1000, method='inclusive')
    return round(cut_points[round(quantile * 1000) - 1] * 1000, 2)


def _cpu_seconds(target: system.Target) -> float:
    """Return the CPU seconds used by the processes."""
    fields = [
        pathlib.Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
        for pid in target.pids
    ]
    ticks = [int(n) for text in fields for n in text.split()[11:13]]
    return sum(ticks) / CLOCK_TICKS_PER_S


def _resident_kb(pid: int) -> int:
    """Return the resident memory of a process, in KB."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    line = next(li for li in status.splitlines() if li.startswith('VmRSS'))
    return int(line.split()[1])


if __name__ == '__main__':
    fire.Fire(main)
