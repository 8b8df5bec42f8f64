"""Runs the soak test: ``python -m tests.soak --seeds 0-49 --length 8``."""

import dataclasses
import functools
import pathlib
import random
import shutil
import tempfile
import time

import fire
import trio

from corianderloft._internal.platform import store
from tests.lib import gateway
from tests.soak import callers
from tests.soak import checks
from tests.soak import environment
from tests.soak import faults

FLEETS = {
    'small': {},
    'large': {
        'hosts': environment.LARGE_FLEET,
        'bounds': environment.LARGE_BOUNDS,
    },
}
CALLERS = 12
SETTLE_S = 1.0  # after the last fault
POLL_INTERVAL_S = 0.005  # of keys and backend servers
MIN_LOOP_DELAY_S = 0.02  # an idle event loop is late by a few ms


@dataclasses.dataclass
class SoakResult:
    """Result of one soak run, as observed from outside the hosts.

    Attributes
    ----------
    violations : list of str
        One line per violated guarantee.
    records : list of RequestRecord
        Finished requests, as their callers saw them.
    executions : list of (ExecutedRequest, str, float)
        Requests that backend servers executed, with engine id and time.
    log : list
        Entries that the script logged, such as the injected faults.
    loop_delays : list of (float, float)
        Times at which the event loop of this process ran late, and by how
        many seconds. It serves the stand-ins of the store and the backend
        servers.
    """

    violations: list
    records: list
    executions: list
    log: list
    loop_delays: list

    def loop_delay_before(self, at, within):
        """Return the total delay of the stand-ins in a span, in seconds.

        Parameters
        ----------
        at : float
            End of the span.
        within : float
            Length of the span in seconds.
        """
        return sum(
            late
            for seen, late in self.loop_delays
            if at - within <= seen <= at
        )

    def store_was_late(self, refused):
        """Return whether a request was refused since the store ran late.

        A host that cannot confirm the API keys in time has to refuse the
        request. The stand-in of the store runs in this process.
        """
        if b'stale_keys' not in refused.body:
            return False
        at = refused.sent_at + refused.took
        late = self.loop_delay_before(at, environment.KEY_LIFE_MS / 1000)
        return late > store.WATCH_REPLY_MARGIN_S

    def unexplained_failures(self):
        """Return status and body of failed requests without a reason."""
        return [
            (record.status, record.body)
            for record in self.records
            if record.complete
            and record.status != 200
            and not self.store_was_late(record)
        ]

    @property
    def served(self):
        """Number of requests with status 200 and a complete answer."""
        return sum(
            record.status == 200 and record.complete for record in self.records
        )


async def run(seed, directory, script, **deployment):
    """Run the hosts under load while a script injects faults.

    Parameters
    ----------
    seed : int
        Seed of the callers and the script.
    directory : Path
        Directory for settings and logs of the hosts.
    script : coroutine function
        Injects faults; takes the environment, a random generator and a log.
    **deployment
        Sizes and bounds, passed to `environment.Environment`.
    """
    env = environment.Environment(pathlib.Path(directory), **deployment)
    records, log = [], []
    try:
        async with trio.open_nursery() as nursery:
            await env.start(nursery)
            _record_execution_times(env)
            recorder = _StateRecorder(env)
            nursery.start_soon(recorder.run)
            for number in range(CALLERS):
                source = random.Random(seed * 1000 + number)
                nursery.start_soon(
                    callers.call_until_cancelled, env, source, records
                )
            await script(env, random.Random(seed), log)
            await trio.sleep(SETTLE_S)
            nursery.cancel_scope.cancel()
    finally:
        env.end()
    finished = [record for record in records if record.took]
    executions = _executions(env)
    violations = checks.violations(
        finished,
        {record.request_id for record in records} | gateway.sent_ids,
        executions,
        recorder.keys,
        recorder.drains,
        {host.name: host.pauses for host in env.hosts},
        env.bounds,
    )
    return SoakResult(
        violations, finished, executions, log, recorder.loop_delays
    )


def fault_script(length):
    """Return a script that injects random faults for ``length`` seconds."""

    async def script(env, rng, log):
        with trio.move_on_after(length):
            await _inject_faults(env, rng, log)

    return script


class _StateRecorder:
    """Records when API keys change, servers drain and the loop is late."""

    def __init__(self, env):
        self._env = env
        self.keys = [(trio.current_time(), set(env.keys))]
        self.drains = []
        self.loop_delays = []

    async def run(self):
        """Poll until cancelled."""
        draining_since = {}
        due = trio.current_time()
        while True:
            now = trio.current_time()
            if now - due > MIN_LOOP_DELAY_S:
                self.loop_delays.append((now, now - due))
            if self._env.keys != self.keys[-1][1]:
                self.keys.append((now, set(self._env.keys)))
            for engine in self._env.engines:
                item = self._env.store.store.items.get(
                    f'servers/{engine.engine_id}'
                )
                is_draining = item is not None and b'draining' in item.value
                since = draining_since.get(engine.engine_id)
                if is_draining and since is None:
                    draining_since[engine.engine_id] = now
                elif not is_draining and since is not None:
                    del draining_since[engine.engine_id]
                    self.drains.append((engine.engine_id, since, now))
            due = trio.current_time() + POLL_INTERVAL_S
            await trio.sleep(POLL_INTERVAL_S)


def _record_execution_times(env):
    """Make each backend server record when it executes a request."""
    for engine in env.engines:
        engine.seen = _TimestampedList()


class _TimestampedList(list):
    def append(self, seen):
        seen.at = trio.current_time()
        super().append(seen)


def _executions(env):
    return [
        (seen, engine.engine_id, seen.at)
        for engine in env.engines
        for seen in engine.seen
        if 'corianderloft-attempt-id' in seen.headers
    ]


async def _inject_faults(env, rng, log):
    """Start random faults at random intervals; they may overlap."""
    # Restores draw from a source of their own: a seed keeps its other faults.
    restores = random.Random(repr(rng.getstate()))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_restore_store, env, restores, log)
        while True:
            await trio.sleep(rng.expovariate(1 / 0.5))
            inject = rng.choice(faults.FAULTS)
            log.append((round(trio.current_time(), 2), inject.__name__))
            source = random.Random(rng.random())
            nursery.start_soon(_run_shielded, inject, env, source)


async def _restore_store(env, rng, log):
    """Let the store come back from an older copy, again and again."""
    while True:
        copied = env.store.store.copy()
        await trio.sleep(rng.uniform(0.5, 4.0))
        log.append((round(trio.current_time(), 2), 'restore_store'))
        source = random.Random(rng.random())
        await _run_shielded(faults.restore_store(copied), env, source)


async def _run_shielded(inject, env, rng):
    """Run a fault to its end, with its cleanup, even after the run."""
    with trio.CancelScope(shield=True):
        await inject(env, rng)


def main(seeds='0-2', length=6.0, keep='', fleet='small'):
    """Run the soak test for a range of seeds and print violations.

    Parameters
    ----------
    seeds : str
        First and last seed; ``fresh`` uses the current time as the seed.
    length : float
        Length of each run in seconds.
    keep : str
        Directory to keep the logs of the hosts in; if empty, only those of
        failed seeds are kept, in a temporary directory.
    fleet : str
        ``small`` or ``large``. In a large fleet only some hosts watch the
        store, and the others follow them.
    """
    deployment = FLEETS[fleet]
    if seeds == 'fresh':
        seeds = f'{int(time.time())}-{int(time.time())}'
    first, _, last = str(seeds).partition('-')
    failed = []
    for seed in range(int(first), int(last or first) + 1):
        directory = pathlib.Path(keep or tempfile.mkdtemp()) / str(seed)
        directory.mkdir(parents=True, exist_ok=True)
        script = fault_script(length)
        result = trio.run(
            functools.partial(run, seed, directory, script, **deployment)
        )
        print(
            f'seed {seed}: {result.served} of {len(result.records)} served, '
            f'{len(result.violations)} broken'
        )
        for line in result.violations[:10]:
            print(f'  {line}')
        if result.violations:
            failed.append(seed)
            print(f'  faults: {result.log}')
            print(f'  delays of the test process: {result.loop_delays}')
            print(f'  logs of the hosts: {directory}')
        elif not keep:
            shutil.rmtree(directory.parent)
    print(f'failed seeds: {failed}')
    return 1 if failed else 0


if __name__ == '__main__':
    raise SystemExit(fire.Fire(main, serialize=lambda _: None) or 0)
