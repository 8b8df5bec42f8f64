"""Measure what an entry host adds to its engines, in one run.

``python -m bench.relay`` starts a key-value service, engines, one entry
host and callers as processes of their own, calls the engines directly and
through the host in turn, and prints one table.
"""

import contextlib
import dataclasses
import os
import pathlib
import pstats
import statistics
import sys
import tempfile
import time
import typing

import fire
import orjson
import tabulate
import trio

from tests.lib import calls
from tests.lib import processes
from tests.lib import system as whole

ENGINES = 4
SLOTS = 64
STREAMS = 125
STEP_TIME = 0.001
PACED_FACTOR = 36.0
IDLE_REQUESTS = 200
PACED_WINDOW = (2.0, 9.0)
PACED_TOKENS = 300
FLOOD_WINDOW = (1.0, 6.0)
FLOOD_TOKENS = 60000
CLOCK_TICKS = os.sysconf('SC_CLK_TCK')
SERVICE = 'relay-desk'
DECLARATIONS = pathlib.Path(__file__).parent / 'declarations'

Result = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Target:
    """Where callers send, and the process whose CPU is measured."""

    ports: list[int]
    pids: list[int]


@dataclasses.dataclass(frozen=True)
class Bench:
    """The running processes."""

    system: whole.System
    host: Target
    engines: Target

    async def pace(self, factor: float) -> None:
        """Let each engine make a token every ``factor`` milliseconds."""
        for engine in self.system.backends.values():
            faults = {'slow_factor': factor}
            await calls.post(engine.port, '/control/faults', faults)


def main(profile: float = 0.0) -> None:
    """Run the bench.

    Parameters
    ----------
    profile : float
        Instead, load the host that many seconds under a profiler and print
        where its time goes.
    """
    trio.run(_profiled if profile else _measure, profile)


async def _measure(_: float) -> None:
    async with _running() as bench:
        rows = await _idle(bench)
        rows += await _paced(bench)
        rows += await _flood(bench)
    print(tabulate.tabulate(rows, ('figure', 'direct', 'host', 'target')))


async def _profiled(seconds: float) -> None:
    with tempfile.NamedTemporaryFile() as out:
        flags = ('-m', 'cProfile', '-o', out.name)
        async with _running(flags) as bench:
            await bench.pace(PACED_FACTOR)
            tokens = int(seconds / (STEP_TIME * PACED_FACTOR))
            await _load(bench.host, streams=STREAMS, tokens=tokens, spread=1.0)
            host = bench.system.hosts['host-1']
            host.terminate()
            await host.wait_ended()
        pstats.Stats(out.name).sort_stats('tottime').print_stats(45)


@contextlib.asynccontextmanager
async def _running(
    flags: tuple[str, ...] = (),
) -> typing.AsyncIterator[Bench]:
    with tempfile.TemporaryDirectory() as directory:
        async with processes.running() as started:
            kv = await started.standin('kv')
            system = whole.System(started, pathlib.Path(directory), kv)
            await system.apply(DECLARATIONS)
            for number in range(ENGINES):
                await _add_engine(system, f'engine-{number}')
            host = await _add_host(system, flags)
            port = host.announced['caller_port']
            bench = Bench(
                system,
                Target([port], [host.pid]),
                Target(
                    [e.port for e in system.backends.values()],
                    [e.pid for e in system.backends.values()],
                ),
            )
            await _warm_up(bench)
            yield bench


async def _add_host(
    system: whole.System, flags: tuple[str, ...]
) -> processes.Process:
    path = system.directory / 'host-1.yaml'
    path.write_text(
        f'host: {{host_id: host-1}}\nkv: {{endpoint: "{system.kv_url}"}}\n'
        'peers: {answer_ttl_s: 0.1}\n'
    )
    host = await system.started.start(
        *flags, '-m', 'corianderloft', 'serve', str(path)
    )
    system.hosts['host-1'] = host
    return host


async def _add_engine(system: whole.System, engine_id: str) -> None:
    engine = await system.started.standin(
        'engine',
        engine_id=engine_id,
        slots=SLOTS,
        step_time=STEP_TIME,
        step_time_per_request=0,
    )
    system.backends[engine_id] = engine
    await system.put(
        f'platform/backends/{engine_id}',
        {
            'engine_id': engine_id,
            'service': SERVICE,
            'supplier': 'bench',
            'model': 'model-1',
            'address': whole.ADDRESS,
            'port': engine.port,
            'failure_domain': whole.FAILURE_DOMAINS[0],
            'slots': SLOTS,
            'state': 'live',
        },
    )


async def _warm_up(bench: Bench) -> None:
    async def answers() -> bool:
        with contextlib.suppress(AssertionError):
            await _load(bench.host, streams=8, tokens=4)
            return True
        return False

    await processes.wait_for(answers, 'the host answers')


async def _load(target: Target, **plan: typing.Any) -> Result:
    """Run one caller process."""
    encoded = orjson.dumps({'ports': target.ports, **plan}).decode()
    done = await trio.run_process(
        [sys.executable, '-m', 'bench.relay.load', encoded],
        capture_stdout=True,
        check=False,
    )
    assert done.returncode == 0, done
    result: Result = orjson.loads(done.stdout)
    return result


async def _idle(bench: Bench) -> list[list[typing.Any]]:
    """First token of one caller at a time, direct and relayed in turn."""
    await bench.pace(0.1)
    seen: dict[str, list[float]] = {'direct': [], 'host': []}
    for _ in range(4):
        for name, target in _targets(bench):
            result = await _load(
                dataclasses.replace(target, ports=target.ports[:1]),
                streams=1,
                tokens=1,
                rounds=IDLE_REQUESTS,
            )
            seen[name] += result['first']
    return _first_rows('idle', seen, '<= 3 added')


async def _paced(bench: Bench) -> list[list[typing.Any]]:
    """The design size: 125 streams with 36 ms between tokens."""
    await bench.pace(PACED_FACTOR)
    rows: list[list[typing.Any]] = []
    seen: dict[str, Result] = {}
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


async def _flood(bench: Bench) -> list[list[typing.Any]]:
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


async def _measured(target: Target, **plan: typing.Any) -> Result:
    """Run a plan and measure CPU and memory in its window."""
    result: Result = {}
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
        result |= await _load(target, **plan)
    return result


def _targets(bench: Bench) -> list[tuple[str, Target]]:
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
    seen: dict[str, Result],
    figure: typing.Callable[[Result], typing.Any],
    target: str,
) -> list[typing.Any]:
    return [label, figure(seen['direct']), figure(seen['host']), target]


def _cpu_row(load: str, seen: dict[str, Result]) -> list[typing.Any]:
    host = seen['host']
    rate: float = host['tokens'] / host['seconds']
    return [
        f'{load}: CPU a relayed token, us',
        '',
        round(host['cores'] / rate * 1e6, 1),
        '',
    ]


def _rate(result: Result) -> int:
    rate: float = result['tokens'] / result['seconds']
    return round(rate)


def _ms(values: list[float], part: float) -> float:
    if len(values) < 2:
        return 0.0
    cut = statistics.quantiles(values, n=1000, method='inclusive')
    return round(cut[round(part * 1000) - 1] * 1000, 2)


def _cpu(target: Target) -> float:
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
