"""The processes of the bench: engines, one entry host, callers."""

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
from tests.lib import system as whole

ENGINES = 4
SLOTS = 64
STEP_TIME = 0.001  # s
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


@contextlib.asynccontextmanager
async def running(
    flags: tuple[str, ...] = (),
) -> collections.abc.AsyncGenerator[Bench]:
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
            await load(bench.host, streams=8, tokens=4)
            return True
        return False

    await processes.wait_for(answers, 'the host answers')


async def load(target: Target, **plan: typing.Any) -> Result:
    """Run one caller process."""
    encoded = orjson.dumps({'ports': target.ports, **plan}).decode()
    done = await trio.run_process(
        [sys.executable, '-m', 'bench.relay.load', encoded],
        capture_stdout=True,
        capture_stderr=True,
        check=False,
    )
    assert done.returncode == 0, done
    result: Result = orjson.loads(done.stdout)
    return result
