"""Processes of the benchmark: engines, one entry host, callers."""

import collections.abc
import contextlib
import dataclasses
import pathlib
import sys
import tempfile
import typing

import orjson
import trio

from tests.lib import calls
from tests.lib import processes
from tests.lib import system as test_system

ENGINES = 4
SLOTS = 64
STEP_TIME_S = 0.001
SERVICE = 'relay-desk'
DECLARATIONS = pathlib.Path(__file__).parent / 'declarations'

Result = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Target:
    """Ports that callers send to, and processes whose CPU is measured."""

    ports: list[int]
    pids: list[int]


@dataclasses.dataclass(frozen=True)
class Bench:
    """Running processes of the benchmark."""

    system: test_system.System
    host: Target
    engines: Target

    async def set_token_interval(self, interval_ms: float) -> None:
        """Make each engine generate a token every ``interval_ms``."""
        for engine in self.system.backends.values():
            faults = {'slow_factor': interval_ms}
            await calls.post(engine.port, '/control/faults', faults)


@contextlib.asynccontextmanager
async def running(
    flags: tuple[str, ...] = (),
) -> collections.abc.AsyncGenerator[Bench]:
    with tempfile.TemporaryDirectory() as directory:
        async with processes.running() as started:
            kv = await started.standin('kv')
            system = test_system.System(started, pathlib.Path(directory), kv)
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
    system: test_system.System, flags: tuple[str, ...]
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


async def _add_engine(system: test_system.System, engine_id: str) -> None:
    engine = await system.started.standin(
        'engine',
        engine_id=engine_id,
        slots=SLOTS,
        step_time=STEP_TIME_S,
        step_time_per_request=0,
        prefill_time_per_token=0,
    )
    system.backends[engine_id] = engine
    await system.put(
        f'platform/backends/{engine_id}',
        {
            'engine_id': engine_id,
            'service': SERVICE,
            'supplier': 'bench',
            'model': 'model-1',
            'address': test_system.ADDRESS,
            'port': engine.port,
            'failure_domain': test_system.FAILURE_DOMAINS[0],
            'slots': SLOTS,
            'state': 'live',
        },
    )


async def _warm_up(bench: Bench) -> None:
    async def host_responds() -> bool:
        with contextlib.suppress(AssertionError):
            await load(bench.host, streams=8, tokens=4)
            return True
        return False

    await processes.wait_for(host_responds, 'the host answers')


async def load(target: Target, **plan: typing.Any) -> Result:
    """Run one caller process and return its results."""
    encoded = orjson.dumps({'ports': target.ports, **plan}).decode()
    completed = await trio.run_process(
        [sys.executable, '-m', 'bench.relay.load', encoded],
        capture_stdout=True,
        capture_stderr=True,
        check=False,
    )
    assert completed.returncode == 0, completed
    result: Result = orjson.loads(completed.stdout)
    return result
