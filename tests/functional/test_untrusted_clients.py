"""Clients outside the limits, against processes of both request paths.

Each case guards against a process that grows beyond the memory of its host,
runs out of descriptors, ends, or no longer answers ordinary requests. Neither
times nor shares of served requests are checked.
"""

import contextlib
import dataclasses
import fcntl
import functools
import pathlib
import tempfile

import h11
import orjson
import pytest
import trio

from tests.lib import gateway
from tests.lib import platform_engine
from tests.lib import processes
from tests.lib import system
from tests.soak import environment

pytestmark = [
    pytest.mark.xdist_group('untrusted_clients'),
    pytest.mark.timeout(900),  # includes the wait for the lock
]

MIB = 2**20
MAX_BODY = 4 * MIB
MEMORY_MB = {'gateway': 128, 'serve': 192}
"""Memory of the host in the settings, in 10**6 bytes."""

MAX_FDS = 1000
CLIENTS = 48
SILENT_CLIENTS = 400
CROWD_S = 6.0  # time for which a crowd keeps its connections
SAMPLING_S = 0.05
ANSWER_BYTES = 8 * MIB
EVENTS = b'data: 0123456789abcdef\n\n' * 2048
LOCK = pathlib.Path(tempfile.gettempdir()) / 'corianderloft-untrusted.lock'

PATHS = ('gateway', 'serve')

ROUTES = tuple(
    {
        'name': f'r-{name}',
        'path_prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': 20000,
        'target_latency_ms': 1000,
        'target_gap_ms': 1000,
        'service': 'desk',
        'attempts': 1,
    }
    for name, kind in (
        ('look', 'idempotent'),
        ('large', 'idempotent'),
        ('slow', 'idempotent'),
        ('chat', 'streaming'),
    )
)


@pytest.fixture(autouse=True)
def _alone():
    """Let only one test of this file run on the machine."""
    with LOCK.open('wb') as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


class Backend(platform_engine.PlatformEngine):
    """A backend server with large, slow and endless responses by path."""

    async def _run(self, stream, http, headers):
        target = self.seen.pop().target
        request_id = headers.get('corianderloft-attempt-id', '')
        fields = [
            ('Corianderloft-Attempt-Id', request_id),
            (platform_engine.SIGNATURE, 's'),
        ]
        if target.startswith('/chat/'):
            await self._stream_endlessly(stream, http, fields)
        if target.startswith('/slow/'):
            await trio.sleep(2.0)
        size = ANSWER_BYTES if target.startswith('/large/') else 16
        fields.append(('Content-Length', str(size)))
        data = http.send(h11.Response(status_code=200, headers=fields))
        data += http.send(h11.Data(data=bytes(size)))
        data += http.send(h11.EndOfMessage())
        await stream.send_all(data)
        return True

    async def _stream_endlessly(self, stream, http, fields):
        fields.append(('Content-Type', 'text/event-stream'))
        await stream.send_all(
            http.send(h11.Response(status_code=200, headers=fields))
        )
        while True:
            await stream.send_all(http.send(h11.Data(data=EVENTS)))


@dataclasses.dataclass
class Target:
    """The process under test and the form of requests to it.

    Attributes
    ----------
    pid : int
        Process id.
    port : int
        TCP port for callers.
    prefix : str
        Start of all paths.
    fields : bytes
        Headers of all requests.
    memory : int
        Memory of the host in bytes.
    ended : callable
        Returns whether the process has ended.
    """

    pid: int
    port: int
    prefix: str
    fields: bytes
    memory: int
    ended: object

    def head(self, method='GET', path='/look/1', fields=b''):
        """Return the head of a request."""
        line = f'{method} {self.prefix}{path} HTTP/1.1\r\n'.encode()
        return line + self.fields + fields + b'\r\n'

    async def status(self, body=b''):
        """Send an ordinary request and return the status; None if cut."""
        fields = b'Content-Length: %d\r\nConnection: close\r\n' % len(body)
        data = self.head('POST', fields=fields) + body
        http = h11.Connection(h11.CLIENT)
        http.send(
            h11.Request(method='GET', target='/', headers=[('Host', 'a')])
        )
        http.send(h11.EndOfMessage())
        status = None
        with contextlib.suppress(OSError, trio.BrokenResourceError):
            async with await trio.open_tcp_stream('127.0.0.1', self.port) as s:
                await s.send_all(data)
                while True:
                    event = http.next_event()
                    if event is h11.NEED_DATA:
                        http.receive_data(await s.receive_some(65536))
                    elif isinstance(event, h11.Response):
                        status = event.status_code
                    elif isinstance(event, h11.EndOfMessage):
                        return status
                    elif not isinstance(event, h11.Data):
                        return None
        return None


@contextlib.asynccontextmanager
async def running(path, directory):
    """Run one path with a backend server in this process."""
    async with trio.open_nursery() as nursery:
        backend = Backend('counter-2')
        await nursery.start(backend.serve)
        run = running_gateway if path == 'gateway' else running_serve
        async with run(nursery, backend, directory) as target:
            yield target
        nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def running_gateway(nursery, backend, directory):
    """Run a gateway process that states the memory of its host."""
    env = environment.Environment(
        directory,
        hosts=1,
        engines=0,
        limits={'max_fds': MAX_FDS, 'memory_mb': MEMORY_MB['gateway']},
    )
    limits = orjson.loads(gateway.configuration())['limits']
    document = gateway.configuration(
        2, ['key-0'], ROUTES, limits=limits | {'max_body_bytes': MAX_BODY}
    )
    entry = {
        'service': 'desk',
        'address': f'127.0.0.1:{backend.port}',
        'zone': 'cairo-a',
        'slots': 200,
        'state': 'ready',
        'born': 1000,
    }
    env.configure()
    env.store.put('op/config', document)
    env.store.put('servers/counter-2', orjson.dumps(entry))
    env.configure = lambda: None
    try:
        await env.start(nursery)
        (host,) = env.hosts
        yield Target(
            host.process.pid,
            host.port,
            '',
            f'Host: {gateway.HOST}\r\nAuthorization: Bearer key-0\r\n'
            'Corianderloft-Deadline-Ms: 20000\r\n'.encode(),
            MEMORY_MB['gateway'] * 10**6,
            lambda: not host.running(),
        )
    finally:
        env.end()


@contextlib.asynccontextmanager
async def running_serve(_, backend, __):
    """Run ``corianderloft serve`` with the memory of its host as a setting."""
    memory = MEMORY_MB['serve'] * 10**6
    async with system.running(
        hosts=1,
        engines=1,
        host={
            'host_id': 'host-1',
            'failure_domain': system.FAILURE_DOMAINS[0],
            'memory_bytes': memory,
        },
        callers={'max_body_bytes': MAX_BODY, 'max_connections': 300},
    ) as started:
        await started.register_backend(
            'counter-2', system.PLAIN_SERVICE, 'own-yard', port=backend.port
        )
        await started.register_backend(
            'counter-1', system.PLAIN_SERVICE, 'own-yard', 'draining'
        )
        # It may still get requests for a moment, and would answer 404.
        started.backends['counter-1'].kill()
        process = started.hosts['host-1']
        yield Target(
            process.pid,
            started.port('host-1'),
            f'/v1/services/{system.PLAIN_SERVICE}',
            f'Host: a\r\nAuthorization: Bearer clk_example_{system.WORKSPACE}'
            '\r\nX-Class: collection-lookup\r\n'.encode(),
            memory,
            lambda: process.returncode is not None,
        )


class Usage:
    """Largest memory and number of descriptors of a process so far.

    Attributes
    ----------
    resident : int
        Largest resident memory in bytes.
    with_unread : int
        Largest sum of the resident memory and the bytes that the kernel has
        received for the process and that it has not read yet.
    descriptors : int
        Largest number of open descriptors.
    """

    def __init__(self, pid):
        self._proc = pathlib.Path('/proc') / str(pid)
        self.resident = 0
        self.with_unread = 0
        self.descriptors = 0

    async def watch(self):
        """Sample until cancelled."""
        while True:
            self.sample()
            await trio.sleep(SAMPLING_S)

    def sample(self):
        """Read the present values."""
        fields = dict(
            line.split(':', 1)
            for line in (self._proc / 'status').read_text().splitlines()
        )
        resident, self.resident = (
            int(fields[name].split()[0]) * 1024 for name in ('VmRSS', 'VmHWM')
        )
        links = set()
        for link in (self._proc / 'fd').iterdir():
            with contextlib.suppress(FileNotFoundError):
                links.add(str(link.readlink()))
        self.descriptors = max(self.descriptors, len(links))
        self.with_unread = max(
            self.with_unread, resident + self._unread(links)
        )

    def _unread(self, links):
        unread = 0
        lines = (self._proc / 'net/tcp').read_text().splitlines()
        for line in lines[1:]:
            parts = line.split()
            if parts[3] != '0A' and f'socket:[{parts[9]}]' in links:
                unread += int(parts[4].split(':')[1], 16)
        return unread


async def _send_in_pieces(stream, size):
    piece = bytes(65536)
    for _ in range(size // len(piece)):
        await stream.send_all(piece)


async def announced(target, stream):
    """Announce and send a body far over the limit."""
    length = b'Content-Length: %d\r\n' % (100 * MAX_BODY)
    await stream.send_all(target.head('POST', fields=length))
    await _send_in_pieces(stream, 4 * MAX_BODY)


async def chunked(target, stream):
    """Send chunks without end."""
    fields = b'Transfer-Encoding: chunked\r\n'
    await stream.send_all(target.head('POST', fields=fields))
    piece = b'10000\r\n' + bytes(65536) + b'\r\n'
    for _ in range(64):
        await stream.send_all(piece)


async def trickled(target, stream):
    """Send nearly a whole body, and then one byte now and then."""
    length = b'Content-Length: %d\r\n' % MAX_BODY
    await stream.send_all(target.head('POST', fields=length))
    await _send_in_pieces(stream, MAX_BODY - 65536)
    while True:
        await stream.send_all(b'.')
        await trio.sleep(0.05)


async def within(target, stream):
    """Send a body within the limit to a slow server."""
    length = b'Content-Length: %d\r\n' % MAX_BODY
    await stream.send_all(target.head('POST', '/slow/1', length))
    await _send_in_pieces(stream, MAX_BODY)


async def unread_stream(target, stream):
    """Ask for an endless stream and read nothing."""
    await stream.send_all(target.head('GET', '/chat/1'))


async def slow_stream(target, stream):
    """Ask for an endless stream and read some of it now and then."""
    await stream.send_all(target.head('GET', '/chat/1'))
    while True:
        await stream.receive_some(4096)
        await trio.sleep(0.2)


async def unread_answer(target, stream):
    """Ask for a large response and read nothing."""
    await stream.send_all(target.head('GET', '/large/1'))


async def slow_answer(target, stream):
    """Ask for a large response and read some of it now and then."""
    await stream.send_all(target.head('GET', '/large/1'))
    while True:
        await stream.receive_some(4096)
        await trio.sleep(0.2)


async def endless_head(target, stream):
    """Send headers without end."""
    await stream.send_all(target.head()[:-2])
    for _ in range(1024):
        await stream.send_all(b'X-Junk: ' + b'0' * 1024 + b'\r\n')


async def silent(target, stream):
    """Send nothing."""


async def pipelined(target, stream):
    """Send many requests at once and read nothing."""
    requests = target.head('GET', '/large/1') + target.head() * 4096
    await stream.send_all(requests)


CROWDS = {
    'announced': (announced, CLIENTS),
    'chunked': (chunked, CLIENTS),
    'trickled': (trickled, CLIENTS),
    'within': (within, CLIENTS),
    'unread-stream': (unread_stream, CLIENTS),
    'slow-stream': (slow_stream, CLIENTS),
    'unread-answer': (unread_answer, CLIENTS),
    'slow-answer': (slow_answer, CLIENTS),
    'endless-head': (endless_head, SILENT_CLIENTS),
    'silent': (silent, SILENT_CLIENTS),
    'pipelined': (pipelined, CLIENTS),
}


async def _client(behaviour, target):
    """Connect, behave, and hold the connection until cancelled."""
    with contextlib.suppress(OSError, trio.BrokenResourceError):
        async with await trio.open_tcp_stream(
            '127.0.0.1', target.port
        ) as stream:
            await behaviour(target, stream)
            await trio.sleep_forever()


async def _crowd(target, behaviour, count):
    with trio.move_on_after(CROWD_S):
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(_client, behaviour, target)


async def _observe(path, directory, behaviour, count):
    async with running(path, directory) as target:
        usage = Usage(target.pid)
        await processes.wait_for(
            functools.partial(_answers, target), 'the first answer'
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(usage.watch)
            await _crowd(target, behaviour, count)
            nursery.cancel_scope.cancel()
        assert not target.ended()
        await processes.wait_for(
            functools.partial(_answers, target), 'an ordinary request'
        )
        usage.sample()
        assert not target.ended()
        return usage


async def _answers(target):
    with trio.move_on_after(5.0):
        return await target.status() == 200


@pytest.mark.parametrize(
    ('path', 'crowd'),
    [
        (path, crowd)
        for path in PATHS
        for crowd in CROWDS
        # A plain service has no streams.
        if path == 'gateway' or not crowd.endswith('stream')
    ],
)
def test_a_crowd_outside_the_limits_exhausts_nothing(path, crowd, tmp_path):
    usage = trio.run(_observe, path, tmp_path, *CROWDS[crowd])
    memory = MEMORY_MB[path] * 10**6
    seen = f'{usage.resident=} {usage.with_unread=} {usage.descriptors=}'
    print(seen)
    assert usage.resident <= memory, seen
    assert usage.with_unread <= memory, seen
    assert usage.descriptors <= MAX_FDS, seen


@pytest.mark.parametrize('path', PATHS)
def test_a_single_request_with_the_largest_body_is_served(path, tmp_path):
    """Guards against a budget that is too small for one request."""

    async def run():
        async with running(path, tmp_path) as target:
            await processes.wait_for(
                functools.partial(_answers, target), 'the first answer'
            )
            usage = Usage(target.pid)
            with trio.fail_after(20.0):
                status = await target.status(bytes(MAX_BODY))
            usage.sample()
            return status, usage.resident

    status, resident = trio.run(run)
    assert status == 200
    assert resident <= MEMORY_MB[path] * 10**6
