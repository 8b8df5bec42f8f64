"""``python -m tests.soak --seeds 0-49 --length 8``."""

import dataclasses
import functools
import pathlib
import random
import tempfile
import time

import fire
import trio

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
SETTLE = 1.0  # s, after the last fault
LOOK_INTERVAL = 0.005  # s, between two looks at keys and servers
LEAST_DELAY = 0.02  # s; a loop on time is late by a few ms


@dataclasses.dataclass
class Played:
    """One run, as it was seen from outside.

    Attributes
    ----------
    broken : list of str
        A line for each broken promise.
    noted : list of Noted
        Requests that ended, as their callers saw them.
    runs : list of (Seen, str, float)
        Requests that ran, with server and time.
    log : list
        Faults, as the script noted them.
    delays : list of (float, float)
        When the loop of this process, which plays the store and the servers,
        ran late, and by how many seconds.
    """

    broken: list
    noted: list
    runs: list
    log: list
    delays: list

    def late_before(self, at, within):
        """Return how late the store and the servers ran, in seconds.

        Parameters
        ----------
        at : float
            End of the span that is looked at.
        within : float
            Its length in seconds.
        """
        return sum(
            late for seen, late in self.delays if at - within <= seen <= at
        )

    @property
    def served(self):
        """Number of requests with a whole answer and status 200."""
        return sum(one.status == 200 and one.whole for one in self.noted)


async def play(seed, directory, script, **deployment):
    """Play one run.

    Parameters
    ----------
    seed : int
        Seed of callers and script.
    directory : Path
        Holds settings and logs of the hosts.
    script : coroutine function
        Injects faults; takes the stage, a random source and a log.
    **deployment
        Sizes and bounds, as of `stage.Stage`.
    """
    stage = environment.Stage(pathlib.Path(directory), **deployment)
    noted, log = [], []
    try:
        async with trio.open_nursery() as nursery:
            await stage.start(nursery)
            _date_runs(stage)
            watch = _Watch(stage)
            nursery.start_soon(watch.run)
            for number in range(CALLERS):
                source = random.Random(seed * 1000 + number)
                nursery.start_soon(callers.call_for_ever, stage, source, noted)
            await script(stage, random.Random(seed), log)
            await trio.sleep(SETTLE)
            nursery.cancel_scope.cancel()
    finally:
        stage.end()
    done = [one for one in noted if one.took]
    runs = _runs(stage)
    broken = checks.broken(
        done,
        {one.request_id for one in noted} | gateway.sent_ids,
        runs,
        watch.keys,
        watch.drains,
        {host.name: host.pauses for host in stage.hosts},
        stage.bounds,
    )
    return Played(broken, done, runs, log, watch.delays)


def faults_for(length):
    """Return a script that injects random faults for so many seconds."""

    async def script(stage, rng, log):
        with trio.move_on_after(length):
            await _inject(stage, rng, log)

    return script


class _Watch:
    """Dates the changes of keys and the leaving of servers."""

    def __init__(self, stage):
        self._stage = stage
        self.keys = [(trio.current_time(), set(stage.keys))]
        self.drains = []
        self.delays = []

    async def run(self):
        """Look for ever."""
        leaving = {}
        due = trio.current_time()
        while True:
            now = trio.current_time()
            if now - due > LEAST_DELAY:
                self.delays.append((now, now - due))
            if self._stage.keys != self.keys[-1][1]:
                self.keys.append((now, set(self._stage.keys)))
            for engine in self._stage.engines:
                item = self._stage.store.store.items.get(
                    f'servers/{engine.engine_id}'
                )
                drains = item is not None and b'draining' in item.value
                since = leaving.get(engine.engine_id)
                if drains and since is None:
                    leaving[engine.engine_id] = now
                elif not drains and since is not None:
                    del leaving[engine.engine_id]
                    self.drains.append((engine.engine_id, since, now))
            due = trio.current_time() + LOOK_INTERVAL
            await trio.sleep(LOOK_INTERVAL)


def _date_runs(stage):
    """Let each server note when a request ran."""
    for engine in stage.engines:
        engine.seen = _Dated()


class _Dated(list):
    def append(self, seen):
        seen.at = trio.current_time()
        super().append(seen)


def _runs(stage):
    return [
        (seen, engine.engine_id, seen.at)
        for engine in stage.engines
        for seen in engine.seen
        if 'corianderloft-attempt-id' in seen.headers
    ]


async def _inject(stage, rng, log):
    """Inject faults in series that overlap."""
    async with trio.open_nursery() as nursery:
        while True:
            await trio.sleep(rng.expovariate(1 / 0.5))
            inject = rng.choice(faults.FAULTS)
            log.append((round(trio.current_time(), 2), inject.__name__))
            source = random.Random(rng.random())
            nursery.start_soon(_contained, inject, stage, source)


async def _contained(inject, stage, rng):
    """Let a fault end as it must even when the run is over."""
    with trio.CancelScope(shield=True):
        await inject(stage, rng)


def main(seeds='0-2', length=6.0, keep='', fleet='small'):
    """Play seeds and print what was broken.

    Parameters
    ----------
    seeds : str
        First and last seed; ``fresh`` for one that was never played.
    length : float
        Length of each run in seconds.
    keep : str
        Folder for the logs of the hosts; empty keeps none.
    fleet : str
        ``small``, or ``large``: hosts follow others there.
    """
    deployment = FLEETS[fleet]
    if seeds == 'fresh':
        seeds = f'{int(time.time())}-{int(time.time())}'
    first, _, last = str(seeds).partition('-')
    failed = []
    for seed in range(int(first), int(last or first) + 1):
        with tempfile.TemporaryDirectory() as made:
            directory = pathlib.Path(keep or made) / str(seed)
            directory.mkdir(parents=True, exist_ok=True)
            script = faults_for(length)
            played = trio.run(
                functools.partial(play, seed, directory, script, **deployment)
            )
        print(
            f'seed {seed}: {played.served} of {len(played.noted)} served, '
            f'{len(played.broken)} broken'
        )
        for line in played.broken[:10]:
            print(f'  {line}')
        if played.broken:
            failed.append(seed)
            print(f'  faults: {played.log}')
    print(f'failed seeds: {failed}')
    return 1 if failed else 0


if __name__ == '__main__':
    raise SystemExit(fire.Fire(main, serialize=lambda _: None) or 0)
