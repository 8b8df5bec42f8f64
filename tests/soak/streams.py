"""Soak of streams: ``python -m tests.soak.streams --seeds 0-9``.

Hosts and engines are processes. Callers check the order and the end of each
stream, and go on with ``Last-Event-Id`` after a cut.
"""

import dataclasses
import itertools
import json
import pathlib
import random
import re
import signal
import subprocess
import sys
import tempfile

import fire
import h11
import orjson
import trio

from corianderloft._internal.standin import http
from tests.lib import gateway
from tests.lib import platform_store
from tests.lib import stream_engine
from tests.soak import environment

CALLERS = 10
HOSTS = 2
ENGINES = 3
FAULT_INTERVAL_S = 1.0
DEADLINE_S = 6.0
EVENT = re.compile(rb'id: (\d+)\ndata: (\S+) (\d+) x*\n\n')
ROUTES = [
    route | {'attempts': 3, 'timeout_ms': 6000}
    for route in gateway.ROUTES
    if route['name'] in ('r-chat', 'r-quote')
]
NUMBERS = itertools.count(1)
FAULTS = {}
STATUSES = ['302', '400', '404', '409', '413']


@dataclasses.dataclass
class Trial:
    """Engines, faults and callers of a run.

    Attributes
    ----------
    faults : tuple of str
        Names of the faults that are drawn.
    engine : dict
        Fields of `stream_engine.Behaviour`.
    http_1_0 : float
        Share of requests of callers that speak HTTP/1.0.
    slow : float
        Longest pause of a caller between two reads, in seconds.
    routes : tuple of str
        Prefixes of the paths that callers ask for.
    overlap : float
        Share of streams whose rest the caller asks another host for before
        the first one has ended.
    pipeline : int
        Number of requests that a caller sends at once on one connection.
    busy : int
        Number of processes that take processor time.
    """

    faults: tuple = ('kill',)
    engine: dict = dataclasses.field(default_factory=dict)
    http_1_0: float = 0.0
    slow: float = 0.0
    routes: tuple = ('/chat/', '/quote/')
    overlap: float = 0.0
    pipeline: int = 1
    busy: int = 0


TRIALS = {
    'kill': Trial(),
    **{
        f'second-{status}': Trial(engine={'resumed': [status]})
        for status in (*STATUSES, '204')
    },
    **{
        f'second-{name}': Trial(engine={'resumed': [name]})
        for name in ('anew', 'repeat', 'skip', 'empty', 'other_id', 'unsigned')
    },
    'steps': Trial(engine={'step': 6}),
    'steps-skip': Trial(engine={'step': 6, 'resumed': ['skip']}),
    'unframed-kill': Trial(engine={'unframed': 1.0}),
    'unframed-drain': Trial(('drain',), {'unframed': 1.0}),
    'unframed-back': Trial(('back',), {'unframed': 1.0}),
    'unframed-connections': Trial(('connections',), {'unframed': 1.0}),
    'unframed-frozen-host': Trial(('back_while_frozen',), {'unframed': 1.0}),
    'connections': Trial(('connections',)),
    'http-1.0': Trial(http_1_0=1.0),
    'http-1.0-unframed': Trial(engine={'unframed': 1.0}, http_1_0=1.0),
    'frozen': Trial(('freeze_host', 'freeze_engine', 'kill')),
    'restarts': Trial(('restart_host', 'kill_host', 'kill')),
    'copies': Trial(('kill', 'freeze_host'), {'copies': 0.5}),
    'slow': Trial(('kill',), {'padding': 3000}, slow=0.2),
    'http-1.0-restarts': Trial(
        ('restart_host', 'kill_host', 'kill'), http_1_0=1.0
    ),
    'gaps': Trial(engine={'gaps': True}),
    'overlap': Trial(('kill', 'freeze_host'), overlap=0.5),
    'pipelined': Trial(('kill', 'connections'), pipeline=3),
    'busy': Trial(('kill', 'back', 'freeze_host'), {'unframed': 0.5}, busy=24),
    'mixed': Trial(
        (
            'kill',
            'kill_all_but_one',
            'drain',
            'back',
            'connections',
            'back_while_frozen',
            'freeze_host',
            'freeze_engine',
            'restart_host',
            'kill_host',
        ),
        {
            'unframed': 0.4,
            'copies': 0.1,
            'resumed': ['rest'] * 8
            + ['anew', 'repeat', 'skip', '404', '500', '503', 'other_id'],
        },
        http_1_0=0.1,
        overlap=0.1,
    ),
    'two-lost': Trial(('kill', 'kill_all_but_one', 'connections')),
}


@dataclasses.dataclass
class Stream:
    """One response to a caller.

    Attributes
    ----------
    asked_after : int
        ID after which the caller asked, or -1.
    ids : list of int
        IDs of the events that came.
    complete : bool
        Whether the response looks complete.
    """

    request_id: str
    path: str
    asked_after: int
    http: str
    status: int = 0
    ids: list = dataclasses.field(default_factory=list)
    body: bytes = b''
    complete: bool = False

    def faults(self, numbering, denies_events):
        """Yield what is wrong with the response.

        A host knows no better than an engine that denies to have any event
        after the one that a caller has.
        """
        if self.status != 200:
            return
        ids = [int(event_id) for event_id, _, _ in EVENT.findall(self.body)]
        first = stream_engine.number_after(self.asked_after, *numbering)
        if ids != [
            stream_engine.event_id(first + number, *numbering)
            for number in range(len(ids))
        ]:
            yield 'order'
        whole = b''.join(event.group(0) for event in EVENT.finditer(self.body))
        if self.complete and whole != self.body:
            yield 'bytes that are no event'
        if any(
            path.decode() != self.path
            or stream_engine.event_id(int(number), *numbering) != int(event_id)
            for event_id, path, number in EVENT.findall(self.body)
        ):
            yield 'event of another stream'
        last = stream_engine.event_id(stream_engine.EVENTS - 1, *numbering)
        if self.asked_after >= 0 and denies_events and not ids:
            return
        if self.complete and (ids[-1] if ids else self.asked_after) != last:
            yield 'complete before its last event'


class Engine:
    """An engine process and its entry in the store."""

    def __init__(self, system, number):
        self._system = system
        self._number = number
        self._starts = itertools.count(1)
        self.process = None
        self.port = 0

    def start(self):
        """Start the process and list it under a new start."""
        self.end()
        start = next(self._starts)
        engine_id = f's-{self._number}-{start}'
        settings = self._system.trial.engine | {
            'engine_id': engine_id,
            'seed': self._system.seed * 1000 + self._number * 100 + start,
        }
        self.process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'tests.lib.stream_engine',
                json.dumps(settings),
            ],
            stdout=subprocess.PIPE,
        )
        self.port = json.loads(self.process.stdout.readline())['port']
        self._key = f'servers/{engine_id}'
        self._entry = {
            'service': 'desk',
            'address': f'127.0.0.1:{self.port}',
            'zone': 'cairo-a',
            'slots': 16,
            'born': start,
        }
        self.list_as('ready')

    def list_as(self, state):
        """Write the entry with a state."""
        entry = self._entry | {'state': state}
        self._system.store.put(self._key, orjson.dumps(entry))

    def end(self):
        """Kill the process and remove its entry."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.process.stdout.close()
            self._system.store.remove(self._key)


class System:
    """A store, hosts and engines."""

    def __init__(self, trial, seed, directory):
        self.trial = trial
        self.seed = seed
        self.store = platform_store.PlatformStore()
        self.store.era = 1
        self.streams = []
        self.engines = [Engine(self, number) for number in range(ENGINES)]
        self.hosts = []
        self._directory = directory

    async def start(self, nursery):
        """Start everything and wait until the hosts are ready."""
        port = await nursery.start(http.serve, self.store.app(), 0)
        self.store.put('op/config', gateway.configuration(routes=ROUTES))
        for engine in self.engines:
            await trio.to_thread.run_sync(engine.start)
        for number in range(HOSTS):
            host = environment.Host(
                f'edge-{number}',
                self._directory,
                port,
                environment.BOUNDS,
                1000,
            )
            await nursery.start(host.store_relay.run)
            self.hosts.append(host)
            host.start()
        for host in self.hosts:
            await _wait_ready(host)

    def end(self):
        """End all processes."""
        for process in (*self.hosts, *self.engines):
            process.end()


async def _wait_ready(host):
    with trio.fail_after(30):
        while True:
            answer = await gateway.fetch(host.ready_port, 'GET', '/readyz')
            if answer is not None and answer.status == 200:
                return
            await trio.sleep(0.05)


def fault(inject):
    """Register a coroutine function of (system, random generator)."""
    FAULTS[inject.__name__] = inject
    return inject


async def _restart(engine):
    await trio.to_thread.run_sync(engine.start)


@fault
async def kill(system, rng):
    await _restart(rng.choice(system.engines))


@fault
async def kill_all_but_one(system, rng):
    for engine in rng.sample(system.engines, ENGINES - 1):
        await _restart(engine)
        await trio.sleep(rng.uniform(0.0, 0.2))


@fault
async def drain(system, rng):
    engine = rng.choice(system.engines)
    engine.list_as('draining')
    await trio.sleep(rng.uniform(0.1, 0.6))
    await _restart(engine)


@fault
async def back(system, rng):
    rng.choice(system.engines).process.send_signal(signal.SIGUSR2)


@fault
async def connections(system, rng):
    rng.choice(system.engines).process.send_signal(signal.SIGUSR1)


@fault
async def back_while_frozen(system, rng):
    host = rng.choice(system.hosts)
    host.send(signal.SIGSTOP)
    await trio.sleep(0.05)
    rng.choice(system.engines).process.send_signal(signal.SIGUSR2)
    await trio.sleep(rng.uniform(0.2, 0.6))
    host.send(signal.SIGCONT)


@fault
async def freeze_host(system, rng):
    host = rng.choice(system.hosts)
    host.send(signal.SIGSTOP)
    await trio.sleep(rng.uniform(0.1, 1.2))
    host.send(signal.SIGCONT)


@fault
async def freeze_engine(system, rng):
    process = rng.choice(system.engines).process
    process.send_signal(signal.SIGSTOP)
    await trio.sleep(rng.uniform(0.1, 1.2))
    process.send_signal(signal.SIGCONT)


@fault
async def restart_host(system, rng):
    host = rng.choice(system.hosts)
    host.send(signal.SIGTERM)
    with trio.move_on_after(5):
        while host.running():
            await trio.sleep(0.05)
    host.end()
    host.start()
    await _wait_ready(host)


@fault
async def kill_host(system, rng):
    host = rng.choice(system.hosts)
    host.end()
    host.start()
    await _wait_ready(host)


async def _call_until_cancelled(system, rng):
    """Ask for streams; go on after a cut where the route allows it."""
    trial = system.trial
    while True:
        if trial.pipeline > 1:
            await _receive(_pipelined(system, rng), system, rng)
            continue
        route = rng.choice(trial.routes)
        path = f'{route}{next(NUMBERS)}'
        version = '1.0' if rng.random() < trial.http_1_0 else '1.1'
        after = -1
        for _ in range(4):
            stream = Stream(f't{next(NUMBERS)}', path, after, version)
            system.streams.append(stream)
            overlaps = route == '/quote/' and rng.random() < trial.overlap
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_receive, [stream], system, rng)
                if overlaps:
                    nursery.start_soon(_overtake, stream, system, rng)
            if stream.ids:
                after = stream.ids[-1]
            if stream.complete or route == '/chat/':
                break
        await trio.sleep(rng.uniform(0.0, 0.05))


def _pipelined(system, rng):
    streams = [
        Stream(f't{next(NUMBERS)}', f'{route}{next(NUMBERS)}', -1, '1.1')
        for route in rng.choices(system.trial.routes, k=system.trial.pipeline)
    ]
    system.streams += streams
    return streams


async def _overtake(first, system, rng):
    """Ask another host for the rest of a stream that is under way."""
    await trio.sleep(rng.uniform(0.1, 0.9))
    ids = [int(i) for i, _, _ in EVENT.findall(first.body)]
    if ids:
        rest = Stream(f't{next(NUMBERS)}', first.path, ids[-1], first.http)
        system.streams.append(rest)
        await _receive([rest], system, rng)


async def _receive(streams, system, rng):
    """Send requests on one connection and read their responses."""
    host = rng.choice(system.hosts)
    data = b''.join(map(_request, streams))
    with trio.move_on_after(DEADLINE_S + 2.0):
        try:
            tcp = await trio.open_tcp_stream('127.0.0.1', host.port)
            async with tcp:
                await tcp.send_all(data)
                rest = b''
                for stream in streams:
                    rest = await _read(stream, tcp, rest, rng, system.trial)
                    if not stream.complete:
                        break
        except (OSError, trio.BrokenResourceError, h11.RemoteProtocolError):
            pass
    for stream in streams:
        stream.ids = [int(i) for i, _, _ in EVENT.findall(stream.body)]


def _fields(stream):
    headers = [
        ('Host', gateway.HOST),
        ('Corianderloft-Attempt-Id', stream.request_id),
        ('Corianderloft-Deadline-Ms', str(int(DEADLINE_S * 1000))),
        ('Authorization', f'Bearer {gateway.KEY}'),
        ('Content-Length', '0'),
    ]
    if stream.asked_after >= 0:
        headers.append(('Last-Event-Id', str(stream.asked_after)))
    return h11.Request(method='POST', target=stream.path, headers=headers)


def _request(stream):
    data = h11.Connection(h11.CLIENT).send(_fields(stream))
    return data.replace(b'HTTP/1.1', f'HTTP/{stream.http}'.encode(), 1)


async def _read(stream, tcp, received, rng, trial):
    """Read one response; return what came after it."""
    http_connection = h11.Connection(h11.CLIENT)
    http_connection.send(_fields(stream))
    http_connection.send(h11.EndOfMessage())
    if received:
        http_connection.receive_data(received)
    while True:
        event = http_connection.next_event()
        if event is h11.NEED_DATA:
            if trial.slow:
                await trio.sleep(rng.uniform(0.0, trial.slow))
            http_connection.receive_data(await tcp.receive_some(65536))
        elif isinstance(event, h11.Response):
            stream.status = event.status_code
        elif isinstance(event, h11.Data):
            stream.body += event.data
        elif isinstance(event, h11.EndOfMessage):
            stream.complete = True
            return http_connection.trailing_data[0]
        else:
            return b''


async def run(name, seed, directory, length):
    """Play one trial and return its streams and the broken ones."""
    trial = TRIALS[name]
    system = System(trial, seed, directory)
    rng = random.Random(seed)
    busy = [
        subprocess.Popen([sys.executable, '-c', 'while True: pass'])
        for _ in range(trial.busy)
    ]
    try:
        async with trio.open_nursery() as nursery:
            await system.start(nursery)
            with trio.move_on_after(length):
                async with trio.open_nursery() as running:
                    for number in range(CALLERS):
                        source = random.Random(seed * 1000 + number)
                        running.start_soon(
                            _call_until_cancelled, system, source
                        )
                    while True:
                        await trio.sleep(
                            rng.uniform(0.5, 1.5) * FAULT_INTERVAL_S
                        )
                        inject = FAULTS[rng.choice(trial.faults)]
                        with trio.CancelScope(shield=True):
                            await inject(system, rng)
            nursery.cancel_scope.cancel()
    finally:
        system.end()
        for process in busy:
            process.kill()
            process.wait()
    numbering = trial.engine.get('step', 1), trial.engine.get('gaps', False)
    denies_events = 'empty' in trial.engine.get('resumed', ())
    answered = [s for s in system.streams if s.status == 200]
    broken = [
        (f'error in the log of {host.name}', system.streams[0])
        for host in system.hosts
        if host.logged_errors()
    ]
    broken += [
        (fault_found, stream)
        for stream in answered
        for fault_found in stream.faults(numbering, denies_events)
    ]
    return answered, broken


def main(seeds='0-0', trials='all', length=15.0, keep=''):
    """Play trials and print the streams that break the order.

    Parameters
    ----------
    seeds : str
        First and last seed.
    trials : str
        Names of `TRIALS` with commas between them, or ``all``.
    length : float
        Length of each run in seconds.
    keep : str
        Directory to keep the logs of the hosts in.
    """
    if isinstance(trials, (tuple, list)):
        names = list(trials)
    else:
        names = list(TRIALS) if trials == 'all' else trials.split(',')
    first, _, last = str(seeds).partition('-')
    failed = False
    for seed, name in itertools.product(
        range(int(first), int(last or first) + 1), names
    ):
        directory = pathlib.Path(keep or tempfile.mkdtemp()) / f'{name}-{seed}'
        directory.mkdir(parents=True, exist_ok=True)
        streams, broken = trio.run(run, name, seed, directory, length)
        complete = sum(stream.complete for stream in streams)
        print(
            f'{name} seed {seed}: {len(streams)} streams, {complete} '
            f'complete, {len({id(s) for _, s in broken})} broken',
            flush=True,
        )
        for fault_found, stream in broken[:3]:
            print(
                f'  {fault_found}: {stream.request_id} {stream.path} HTTP/'
                f'{stream.http} after {stream.asked_after}: {stream.ids}'
            )
        if broken:
            failed = True
            print(f'  logs of the hosts: {directory}')
    return 1 if failed else 0


if __name__ == '__main__':
    raise SystemExit(fire.Fire(main, serialize=lambda _: None) or 0)
