"""Stand-ins of the platform for the scripts under review/.

Only the standard library is used. A store, backend servers, callers and the
host processes of the project, all on loopback addresses.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
LOOPBACK = '127.0.0.1'
HOSTNAME = 'desk.example'
KEY = 'key-of-aswan'
_held = []

# The bounds of the site nileknot-prod.
BOUNDS = {
    'seed_lag_s': 3,
    'addr_reuse_s': 2,
    'stable_ms': 3000,
    'ack_ms': 4000,
    'catch_up_s': 4,
    'drain_ms': 2000,
    'grace_s': 8,
    'loss_slack_ms': 200,
    'config_apply_ms': 2000,
    'rollback_slack_ms': 250,
    'max_stretch_ms': 5000,
    'fail_closed': True,
    'revoke_ms': 5000,
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'budget_slack': 56,
    'recovery_s': 12,
    'pass_ms': 120,
    'reuse_window_s': 7.8,
    'ttl_max_s': 5,
}

# The kinds of request of the site nileknot-prod.
MODEL_ROUTES = (
    ('catalogue-quote', '/quote/', 'streaming', 5000, 1200, 600, 1, 2, False),
    ('stock-ask', '/ask/', 'streaming', 3000, 400, 250, 2, 1, True),
    ('sales-chat', '/chat/', 'streaming', 15000, 250, 150, 1, 0, False),
)
PLAIN_ROUTES = (
    ('order-book', '/book/', 'non_idempotent', 2000, 300, None, 1, 2, False),
    ('order-look', '/look/', 'idempotent', 2000, 300, None, 2, 2, False),
)


def reserve_port():
    """Return a port that the kernel gives to no other program."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((LOOPBACK, 0))
    _held.append(sock)
    return sock.getsockname()[1]


def configuration(version=2):
    """Return the operator's configuration document."""
    routes = []
    for service, rows in (
        ('lace-model', MODEL_ROUTES),
        ('order-desk', PLAIN_ROUTES),
    ):
        for name, prefix, kind, timeout, target, gap, n, tier, res in rows:
            route = {
                'name': name,
                'host': HOSTNAME,
                'path_prefix': prefix,
                'kind': kind,
                'timeout_ms': timeout,
                'target_latency_ms': target,
                'attempts': n,
                'priority': tier,
                'service': service,
            }
            if gap:
                route['target_gap_ms'] = gap
                route['session_affinity'] = True
            if res:
                route['stream_resume'] = True
            routes.append(route)
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': 'lace-model',
                'health_path': '/healthz',
                'max_connections': 370,
                'engine': {'slots': 64, 'kv_capacity_tokens': 438022},
            },
            {
                'name': 'order-desk',
                'health_path': '/healthz',
                'max_connections': 110,
            },
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'aswan', 'api_keys': [KEY]}],
    }


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._start = time.monotonic()

    def __call__(self, text):
        now = time.monotonic() - self._start
        self._file.write(f'{now:8.3f} {text}\n')
        self._file.flush()


class Message:
    """A request or a response as it was read."""

    def __init__(self, first, headers, body=b''):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name, default=None):
        return self.headers.get(name, default)


async def read_head(reader):
    """Return the head of a message; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode('latin-1')[:-4].split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers.setdefault(name.strip().lower(), value.strip())
    return Message(first, headers)


async def read_chunks(reader):
    """Yield the chunks of a chunked body."""
    while True:
        line = await reader.readuntil(b'\r\n')
        size = int(line.split(b';')[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


async def read_request(reader):
    """Return a complete request; None at the end of the connection."""
    message = await read_head(reader)
    if message is None:
        return None
    if 'chunked' in message.get('transfer-encoding', ''):
        message.body = b''.join([c async for c in read_chunks(reader)])
    else:
        length = int(message.get('content-length', '0'))
        message.body = await reader.readexactly(length)
    message.method, message.target, _ = message.first.split(' ')
    return message


def response(status, headers=(), body=b''):
    """Return the bytes of a response with a length."""
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {value}' for name, value in headers]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


class Store:
    """The platform's store, as PROTOCOL.md describes it.

    `on_txn`, if set, is called with each transaction and returns None, or
    the seconds after which it is executed without a reply. `era` is stated
    in all answers unless it is None.
    """

    def __init__(self, era=None):
        self.era = era
        self.away = False
        self._writers = set()
        self.items = {}
        self.events = []
        self.revision = 10
        self.leases = {}
        self._next_lease = 100
        self._changed = asyncio.Event()
        self.on_txn = None

    async def start(self):
        self.port = reserve_port()
        self.server = await asyncio.start_server(
            self._serve, LOOPBACK, self.port, limit=2**22
        )
        self._expiry = asyncio.create_task(self._expire())

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [k for k, v in self.leases.items() if v[1] <= now]:
                self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        gone = [k for k, item in self.items.items() if item[3] == lease]
        if gone:
            self.write([], gone)

    def write(self, puts, removals=()):
        """Apply a change with one revision."""
        self.revision += 1
        for key, value, lease in puts:
            known = self.items.get(key)
            created = known[2] if known else self.revision
            self.items[key] = (value, self.revision, created, lease)
            self.events.append((self.revision, key, self.items[key]))
        for key in removals:
            if self.items.pop(key, None) is not None:
                self.events.append((self.revision, key, None))
        self._changed.set()
        self._changed = asyncio.Event()

    def put(self, key, value):
        """Write a key as the operator or a backend server."""
        self.write([(key, json.dumps(value).encode(), 0)])

    def _item(self, key, item):
        value, revision, created, lease = item
        return {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': revision,
            'created': created,
            'lease': lease,
        }

    def copy(self):
        """Return a copy of what the store holds now."""
        leases = {key: list(value) for key, value in self.leases.items()}
        return dict(self.items), list(self.events), self.revision, leases

    def leave(self):
        """Be away: all connections are closed, and new ones at once."""
        self.away = True
        for writer in self._writers:
            writer.transport.abort()

    def come_back(self, copy):
        """Come back from a copy, with the next era."""
        items, events, self.revision, leases = copy
        self.items, self.events = dict(items), list(events)
        now = time.monotonic()
        self.leases = {k: [ttl, now + ttl / 1e3] for k, (ttl, _) in leases.items()}
        self.era += 1
        self.away = False

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await self._serve_all(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _serve_all(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (req := await read_request(reader)) is not None:
                if self.away:
                    break
                answer = await self._answer(req)
                if answer is None or self.away:
                    break
                status, body = answer
                head = [('Content-Type', 'application/json')]
                if self.era is not None:
                    head.append(('Store-Era', str(self.era)))
                writer.write(response(status, head, json.dumps(body).encode()))
                await writer.drain()
        writer.close()

    async def _answer(self, req):
        path, _, query = req.target.partition('?')
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        body = json.loads(req.body) if req.body else {}
        if path == '/kv-key':
            item = self.items.get(fields['key'])
            found = self._item(fields['key'], item) if item else {}
            found['current_rev'] = self.revision
            return (200 if item else 404), found
        if path == '/kv-range':
            prefix, after = fields['path_prefix'], fields.get('after', '')
            keys = [k for k in sorted(self.items) if k.startswith(prefix)]
            keys = [k for k in keys if k > after]
            return 200, {
                'items': [self._item(k, self.items[k]) for k in keys[:500]],
                'has_more': len(keys) > 500,
                'current_rev': self.revision,
            }
        if path == '/kv-watch':
            return await self._watch(fields)
        if path == '/kv-txn':
            return await self._txn(body)
        if path == '/kv-lease':
            self._next_lease += 1
            ttl = max(1000, body['ttl_ms'])
            self.leases[self._next_lease] = [ttl, time.monotonic() + ttl / 1e3]
            return 200, {'lease': self._next_lease, 'ttl_ms': ttl}
        lease = int(path.rpartition('/')[2])
        if lease not in self.leases:
            return 404, {}
        if path.startswith('/kv-keep/'):
            ttl = self.leases[lease][0]
            self.leases[lease][1] = time.monotonic() + ttl / 1e3
            return 200, {'lease': lease, 'ttl_ms': ttl}
        self._end_lease(lease)
        return 200, {}

    async def _watch(self, fields):
        after, prefix = int(fields['after']), fields['path_prefix']
        if after > self.revision:
            return 410, {}
        until = time.monotonic() + int(fields['wait_ms']) / 1000
        while True:
            events = [
                e for e in self.events if e[0] > after and e[1].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                break
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
        rows = [
            (
                self._item(key, item)
                if item
                else {'key': key, 'revision': rev, 'deleted': True}
            )
            for rev, key, item in events
        ]
        return 200, {'events': rows, 'current_rev': self.revision}

    async def _txn(self, body):
        late = self.on_txn(body) if self.on_txn else None
        if late is not None:
            asyncio.create_task(self._execute_late(body, late))
            return None
        return self._execute(body)

    async def _execute_late(self, body, delay):
        await asyncio.sleep(delay)
        self._execute(body)

    def _execute(self, body):
        for row in body.get('expected_revision', ()):
            item = self.items.get(row['key'])
            if (item[1] if item else 0) != row['revision']:
                return 412, {'items': [], 'current_rev': self.revision}
        puts = [
            (w['key'], base64.b64decode(w['value']), w.get('lease') or 0)
            for w in body.get('writes', ())
        ]
        if any(lease and lease not in self.leases for _, _, lease in puts):
            return 404, {}
        self.write(puts, body.get('remove', ()))
        return 200, {'revision': self.revision}


class Engine:
    """A backend server.

    `handle(engine, request, writer)` writes the answer of a request that
    runs; it returns whether the connection stays open. The default gives a
    whole answer.
    """

    def __init__(self, engine_id, service, record, handle=None):
        self.engine_id = engine_id
        self.service = service
        self.record = record
        self.handle = handle or answer_whole
        self.ran = []
        self.left = []

    async def start(self, store):
        self.port = reserve_port()
        self.server = await asyncio.start_server(
            self._serve, LOOPBACK, self.port, limit=2**22
        )
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self._writers = set()
        self.register(store)
        self._heartbeat = asyncio.create_task(self._beat(store))

    async def _beat(self, store):
        """Write the entry of this server every `heartbeat_ms`."""
        while True:
            await asyncio.sleep(1.2)
            if not store.away:
                self.register(store, self.state)

    def leave_unannounced(self, store):
        """Stop writing; the store removes the entry, and this serves on."""
        self._heartbeat.cancel()
        store.write([], [f'servers/{self.engine_id}'])

    def exit(self):
        """End as a process does: all connections are reset."""
        self._heartbeat.cancel()
        self.server.close()
        for writer in self._writers:
            writer.transport.abort()

    def register(self, store, state='ready'):
        self.state = state
        self.sequence += 1
        entry = {
            'service': self.service,
            'address': f'{LOOPBACK}:{self.port}',
            'zone': 'cairo-a',
            'version': 1,
            'slots': 64 if self.service == 'lace-model' else 6,
            'state': state,
            'cold_remaining_ms': 0,
            'sequence': self.sequence,
            'born': self.born,
        }
        store.put(f'servers/{self.engine_id}', entry)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            await self._serve_all(reader, writer)
        finally:
            self._writers.discard(writer)

    async def _serve_all(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while (req := await read_request(reader)) is not None:
                target = req.get('corianderloft-target-instance')
                if target not in (None, self.engine_id):
                    writer.write(response(421, self.head(req, run=False)))
                    continue
                name = req.get('corianderloft-attempt-id', '')
                self.ran.append(name)
                self.record(f'{self.engine_id} runs {name} {req.target}')
                try:
                    keep = await self.handle(self, req, writer)
                    await writer.drain()
                except ConnectionError:
                    self.left.append(name)
                    self.record(f'{self.engine_id}: the system left {name}')
                    break
                if not keep:
                    break
        writer.close()

    def head(self, req, run=True):
        """Return the headers of an answer."""
        head = [
            (
                'Corianderloft-Attempt-Id',
                req.get('corianderloft-attempt-id', ''),
            )
        ]
        if run:
            name = f'signed-by-{self.engine_id}'
            head.append(('Corianderloft-Response-Signature', name))
        else:
            head.append(('Corianderloft-Not-Executed', '1'))
        return head


async def answer_whole(engine, req, writer):
    """Answer after 60 ms of work, the mean of the site."""
    await asyncio.sleep(0.06)
    body = f'{engine.engine_id} did {req.target}'.encode()
    writer.write(response(200, engine.head(req), body))
    return True


async def answer_stream(engine, req, writer, events=10, pause=0.05):
    """Answer with a complete stream of events."""
    start_stream(engine, req, writer)
    first = int(req.get('last-event-id', '-1')) + 1
    for number in range(first, events):
        await write_event(writer, number)
        await asyncio.sleep(pause)
    writer.write(b'0\r\n\r\n')
    return True


def start_stream(engine, req, writer):
    """Write the head of a stream."""
    head = engine.head(req) + [
        ('Content-Type', 'text/event-stream'),
        ('Transfer-Encoding', 'chunked'),
    ]
    lines = ''.join(f'{name}: {value}\r\n' for name, value in head)
    writer.write(f'HTTP/1.1 200 OK\r\n{lines}\r\n'.encode())


async def write_event(writer, number):
    """Write one event of a stream as one chunk."""
    data = b'id: %d\ndata: tokens of %d\n\n' % (number, number)
    writer.write(b'%x\r\n%b\r\n' % (len(data), data))
    await writer.drain()


class Host:
    """A host process of the project, as the deploy file starts it."""

    def __init__(self, name, zone, store_port, directory, bounds=BOUNDS):
        self.name = name
        self.front, self.ready, self.list, self.peer = (
            reserve_port() for _ in range(4)
        )
        self._path = pathlib.Path(directory) / f'{name}.yaml'
        self.log_path = pathlib.Path(directory) / f'{name}.log'
        self.process = None
        self._settings = {
            'node': name,
            'role': 'entry',
            'machine_class': 'edge',
            'serves': ['edge', 'registry'],
            'ip': LOOPBACK,
            'zone': zone,
            'region': 'cairo',
            'zones': {z: 'cairo' for z in ('cairo-a', 'cairo-b')},
            'listen': {
                'front': f'{LOOPBACK}:{self.front}',
                'ready': f'{LOOPBACK}:{self.ready}',
                'directory': f'{LOOPBACK}:{self.list}',
            },
            'internal_ports': [self.peer, self.peer],
            'seeds': [],
            'bootstrap': True,
            'limits': {
                'cpu_share': 0.537,
                'cores': 2,
                'memory_mb': 300,
                'max_fds': 4100,
                'link_mbps': 1000.0,
                'disk_mb': 0,
            },
            'data_dir': None,
            'discovery': 'platform',
            'entry': 'registry',
            'heartbeat_ms': 1200,
            'bounds': bounds,
            'platform': {
                'address': f'{LOOPBACK}:{store_port}',
                'form': 'kv',
                'writes_per_s': 400,
                'reads_per_s': 2000,
                'history_s': 20,
                'value_bytes': 1048576,
                'min_ttl_ms': 1000,
            },
        }

    def start(self):
        """Start the process."""
        self._path.write_text(json.dumps(self._settings))
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['CORIANDERLOFT_CONFIG'] = str(self._path)
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-S', 'deploy/entry_host.py'],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env=env,
            )

    def running(self):
        return self.process is not None and self.process.poll() is None

    def end(self):
        if self.running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def is_ready(self):
        """Ask as the platform does."""
        answer = await ask(self.ready, 'GET', '/readyz', timeout=1.0)
        return answer is not None and answer.status == 200

    async def wait_ready(self, timeout=20.0):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f'{self.name} is not ready: {self.tail()}')

    def tail(self):
        return self.log_path.read_text(errors='replace')[-2000:]


class CannotRun(Exception):
    """The case could not run."""


class Caller:
    """A caller's connection, which is kept for many requests."""

    def __init__(self, port):
        self._port = port
        self._reader = None

    async def request(
        self, name, method, path, headers=(), body=b'', timeout=4.0, key=KEY
    ):
        """Send one request and return its answer.

        The answer has status 0 if the connection ended before its head, and
        `complete` tells whether the whole answer came. It is None if nothing
        came in time.
        """
        answer = Message('', {})
        answer.status, answer.complete, answer.sent = 0, False, False
        started = time.monotonic()
        try:
            async with asyncio.timeout(timeout):
                await self._exchange(
                    answer, name, method, path, headers, body, key
                )
        except TimeoutError:
            self.close()
            answer.timed_out = True
        except (OSError, asyncio.IncompleteReadError, ValueError):
            self.close()
            answer.timed_out = False
        else:
            answer.timed_out = False
        answer.took = time.monotonic() - started
        return answer

    async def _exchange(
        self, answer, name, method, path, headers, body, key
    ):
        if self._reader is None:
            self._reader, self._writer = await asyncio.open_connection(
                LOOPBACK, self._port, limit=2**22
            )
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {HOSTNAME}',
            f'Authorization: Bearer {key}',
            f'Corianderloft-Attempt-Id: {name}',
        ]
        lines += [f'{key}: {value}' for key, value in headers]
        if method != 'GET':
            lines.append(f'Content-Length: {len(body)}')
        self._writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        await self._writer.drain()
        answer.sent = True
        message = await read_head(self._reader)
        if message is None:
            raise ConnectionResetError
        answer.headers = message.headers
        answer.status = int(message.first.split(' ')[1])
        if 'chunked' in message.get('transfer-encoding', ''):
            async for chunk in read_chunks(self._reader):
                answer.body += chunk
        else:
            length = int(message.get('content-length', '0'))
            answer.body = await self._reader.readexactly(length)
        answer.complete = True
        if message.get('connection', '').lower() == 'close':
            self.close()

    def close(self):
        if self._reader is not None:
            self._writer.close()
            self._reader = None


async def ask(port, method, path, timeout=1.0):
    """Send one request on a connection of its own."""
    caller = Caller(port)
    answer = await caller.request('-', method, path, timeout=timeout)
    caller.close()
    return answer if answer.complete else None


def chat_headers(prompt, output, deadline_ms, parts=''):
    """Return the headers of a request to the model."""
    return [
        ('Corianderloft-Model', 'm'),
        ('Corianderloft-Token-Usage', f'{prompt},{output}'),
        ('Corianderloft-Prefix-Hash', parts or f'5c1e07a2:{prompt}'),
        ('Corianderloft-Deadline-Ms', str(deadline_ms)),
    ]


class System:
    """A store, backend servers and hosts, ended on exit."""

    def __init__(self, case, engines, hosts=2, era=None):
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.record = Record(pathlib.Path(case) / 'record.txt')
        self.record(f'TROUBLE={int(self.trouble)}')
        self._engines = engines
        self._host_count = hosts
        self.hosts = []
        self._era = era

    async def __aenter__(self):
        self._directory = tempfile.TemporaryDirectory()
        self.store = Store(self._era)
        await self.store.start()
        self.store.put('op/config', configuration())
        self.engines = [Engine(*row[:2], self.record, *row[2:]) for row in self._engines]
        for engine in self.engines:
            await engine.start(self.store)
        zones = ('cairo-a', 'cairo-b')
        try:
            for number in range(self._host_count):
                zone = zones[number % 2]
                host = Host(
                    f'edge-{zone}-{number + 1}',
                    zone,
                    self.store.port,
                    self._directory.name,
                )
                self.hosts.append(host)
                host.start()
            for host in self.hosts:
                await host.wait_ready()
            # The hosts learn of each other.
            await asyncio.sleep(3.0)
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_):
        for host in self.hosts:
            host.end()
            log = host.log_path.read_text(errors='replace').splitlines()
            bad = [line for line in log if not line.startswith('{')]
            for line in bad[-25:]:
                text = line.replace(f'{ROOT}/', '')
                self.record(f'{host.name} printed: {text}')
        self._directory.cleanup()


def run(main):
    """Run a case and exit as issue 30 asks it.

    `main` returns a text on how the rule was broken, or nothing.
    """
    try:
        broken = asyncio.run(_run(main))
        status = 1 if broken else 0
        print(broken or 'the rule held')
    except (Exception, asyncio.CancelledError) as exc:
        status = 2
        print(f'the case could not run: {exc!r}')
    sys.stdout.flush()
    # Connections that are still open need no orderly end.
    os._exit(status)


async def _run(main):
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda *_: None)
    # The processes are ended also if the case is told to stop.
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, asyncio.current_task().cancel)
    async with asyncio.timeout(110):
        return await main()
