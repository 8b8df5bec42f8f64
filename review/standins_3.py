"""Stand-ins of the platform, its engines and its clients, on loopback.

They use only the standard library. The hosts are separate processes that are
started with the command of the deploy file.
"""

import asyncio
import base64
import collections
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
NAME = 'desk.example'
KEY = 'n2ctnfzs989anu6wsjnb'
TENANT = 'hule930'

PROCESSES = []
"""Hosts that were started; see `end_early`."""


def end_early(signum, frame):
    """End the hosts of a script that is ended before its time."""
    for process in PROCESSES:
        process.kill()
    os._exit(2)


signal.signal(signal.SIGTERM, end_early)


def free_port():
    """Return a TCP port that is free now."""
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()[1]


class Record:
    """Lines of record.txt, with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._start = time.monotonic()

    def __call__(self, text):
        self._file.write(f'{time.monotonic() - self._start:8.3f} {text}\n')
        self._file.flush()


async def read_head(reader):
    """Return the first line and the headers (lower case) of a message."""
    raw = await reader.readuntil(b'\r\n\r\n')
    first, *lines = raw.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Return the body of a message with a length or in chunks."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return body
    return await reader.readexactly(int(headers.get('content-length', 0)))


class HttpServer:
    """Serves HTTP/1.1 on a loopback port."""

    def __init__(self):
        self.port = 0
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(
            self._connection, '127.0.0.1', 0, limit=2**20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def _connection(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(' ')
                body = await read_body(reader, headers)
                if not await self.handle(
                    method, target, headers, body, reader, writer
                ):
                    break
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Store(HttpServer):
    """The platform's metadata store."""

    def __init__(self):
        super().__init__()
        self.revision = 1
        self.items = {}
        self.events = []
        self.leases = {}
        self._next_lease = 100
        self._changed = asyncio.Event()

    def put(self, key, value, lease=0):
        """Write a key as the operator or an engine does."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        self._set(key, base64.b64encode(value).decode(), lease)
        self._notify()

    def remove(self, key):
        """Remove a key as the platform does."""
        self.revision += 1
        self._delete(key)
        self._notify()

    def _set(self, key, text, lease):
        old = self.items.get(key)
        item = {
            'key': key,
            'value': text,
            'revision': self.revision,
            'created': old['created'] if old else self.revision,
            'lease': lease,
        }
        self.items[key] = item
        self.events.append(item)

    def _delete(self, key):
        if self.items.pop(key, None) is not None:
            self.events.append(
                {'key': key, 'revision': self.revision, 'deleted': True}
            )

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def expire(self):
        """End the leases that were not renewed."""
        now = time.monotonic()
        for lease, (_, until) in list(self.leases.items()):
            if until <= now:
                self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        keys = [k for k, i in self.items.items() if i['lease'] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._delete(key)
            self._notify()

    async def handle(self, method, target, headers, body, reader, writer):
        path, _, text = target.partition('?')
        query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
        self.expire()
        status, reply = await self._answer(method, path, query, body)
        data = json.dumps(reply).encode()
        writer.write(
            b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\n'
            b'Content-Length: %d\r\n\r\n%b' % (status, len(data), data)
        )
        await writer.drain()
        return True

    async def _answer(self, method, path, query, body):
        if path == '/kv-key':
            item = self.items.get(query['key'])
            rev = {'current_rev': self.revision}
            return (200, item | rev) if item else (404, rev)
        if path == '/kv-range':
            keys = sorted(
                k
                for k in self.items
                if k.startswith(query['path_prefix'])
                and k > query.get('after', '')
            )
            return 200, {
                'items': [self.items[k] for k in keys[:500]],
                'has_more': len(keys) > 500,
                'current_rev': self.revision,
            }
        if path == '/kv-watch':
            return await self._watch(query)
        if path == '/kv-txn':
            return self._txn(json.loads(body))
        if path == '/kv-lease':
            ttl = json.loads(body)['ttl_ms']
            self._next_lease += 1
            self.leases[self._next_lease] = (ttl, time.monotonic() + ttl / 1e3)
            return 200, {'lease': self._next_lease, 'ttl_ms': ttl}
        lease = int(path.rpartition('/')[2])
        if lease not in self.leases:
            return 404, {}
        if path.startswith('/kv-keep/'):
            ttl, _ = self.leases[lease]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1e3)
            return 200, {'ttl_ms': ttl}
        self.end_lease(lease)
        return 200, {}

    async def _watch(self, query):
        after = int(query['after'])
        until = time.monotonic() + int(query['wait_ms']) / 1e3
        while True:
            events = [
                e
                for e in self.events
                if e['revision'] > after
                and e['key'].startswith(query['path_prefix'])
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'current_rev': self.revision}
            try:
                async with asyncio.timeout(min(left, 0.2)):
                    await self._changed.wait()
            except TimeoutError:
                self.expire()

    def _txn(self, body):
        rows = body.get('expected_revision') or []
        for row in rows:
            item = self.items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                found = [
                    self.items[r['key']] for r in rows if r['key'] in self.items
                ]
                return 412, {'items': found}
        writes = body.get('writes') or []
        if any(w.get('lease') and w['lease'] not in self.leases for w in writes):
            return 404, {}
        self.revision += 1
        for write in writes:
            self._set(write['key'], write['value'], write.get('lease') or 0)
        for key in body.get('remove') or []:
            self._delete(key)
        self._notify()
        return 200, {'revision': self.revision}


class Engine(HttpServer):
    """An engine: one request a connection, events in chunks.

    ``trouble`` is None or a coroutine function that answers in place of the
    sound answer; it gets the engine, the request's headers, its target, the
    reader and the writer, and returns whether the connection goes on, or None
    for the sound answer.
    """

    def __init__(self, engine_id, service, zone='zone-a', slots=64):
        super().__init__()
        self.engine_id = engine_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.running = 0
        self.trouble = None
        self.runs = collections.Counter()
        self.ran = []
        self.events = 40
        self.pause = 0.05
        self.work = 0.02
        self._sequence = 1

    def entry(self, **changes):
        self._sequence += 1
        return {
            'service': self.service,
            'address': f'127.0.0.1:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'sequence': self._sequence,
            'born': 1700000000000,
        } | changes

    async def handle(self, method, target, headers, body, reader, writer):
        request_id = headers.get('corianderloft-attempt-id', '')
        if target == '/healthz':
            await self._plain(writer, 200, [], b'')
            return True
        if headers.get('corianderloft-target-instance') not in (
            None,
            self.engine_id,
        ):
            await self._plain(
                writer, 421, [f'Corianderloft-Attempt-Id: {request_id}'], b''
            )
            return True
        if self.running >= self.slots:
            await self._plain(
                writer,
                503,
                [
                    f'Corianderloft-Attempt-Id: {request_id}',
                    'Corianderloft-Not-Executed: 1',
                ],
                b'',
            )
            return True
        self.running += 1
        self.runs[request_id] += 1
        self.ran.append((request_id, method, target, headers, body))
        try:
            if self.trouble is not None:
                goes_on = await self.trouble(
                    self, headers, target, reader, writer
                )
                if goes_on is not None:
                    return goes_on
            if target.startswith('/chat/'):
                await self._stream(writer, request_id, headers)
            else:
                await asyncio.sleep(self.work)
                await self._plain(
                    writer,
                    200,
                    [
                        f'Corianderloft-Attempt-Id: {request_id}',
                        f'Corianderloft-Response-Signature: s-{request_id}',
                    ],
                    f'answer to {request_id}'.encode(),
                )
            return True
        finally:
            self.running -= 1

    def load(self):
        return f'Corianderloft-Engine-Load: {self.running},0,{self.slots}'

    async def _plain(self, writer, status, fields, body):
        lines = [f'HTTP/1.1 {status} X', *fields, self.load()]
        lines.append(f'Content-Length: {len(body)}')
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        await writer.drain()

    def stream_head(self, request_id):
        lines = [
            'HTTP/1.1 200 OK',
            'Content-Type: text/event-stream',
            f'Corianderloft-Attempt-Id: {request_id}',
            f'Corianderloft-Response-Signature: s-{request_id}',
            self.load(),
            'Transfer-Encoding: chunked',
        ]
        return '\r\n'.join(lines).encode() + b'\r\n\r\n'

    @staticmethod
    def event(number):
        event = b'id: %d\ndata: token %d\n\n' % (number, number)
        return b'%x\r\n%b\r\n' % (len(event), event)

    async def _stream(self, writer, request_id, headers):
        first = int(headers.get('last-event-id', 0)) + 1
        writer.write(self.stream_head(request_id))
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.pause)
            writer.write(self.event(number))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()


class Host:
    """One process of the system, started as the deploy file says."""

    def __init__(self, name, store_port, directory, zone='zone-a', **limits):
        self.name = name
        self.directory = pathlib.Path(directory)
        self.front, self.ready, self.control, self.resolve = (
            free_port() for _ in range(4)
        )
        self.internal = free_port()
        self.settings = {
            'node': name,
            'role': 'entry',
            'machine_class': 'edge',
            'serves': ['edge', 'registry'],
            'ip': '127.0.0.1',
            'zone': zone,
            'region': 'punjab',
            'zones': {zone: 'punjab'},
            'listen': {
                'front': f'127.0.0.1:{self.front}',
                'ready': f'127.0.0.1:{self.ready}',
                'control': f'127.0.0.1:{self.control}',
                'directory': f'127.0.0.1:{self.resolve}',
            },
            'internal_ports': [self.internal, self.internal],
            'seeds': [],
            'bootstrap': True,
            'limits': {
                'cpu_share': 0.537,
                'cores': 2,
                'memory_mb': 150,
                'max_fds': 4100,
                'link_mbps': 1000.0,
                'disk_mb': 0,
            }
            | limits,
            'data_dir': None,
            'discovery': 'platform',
            'entry': 'registry',
            'heartbeat_ms': 1200,
            'contracts': [
                'base', 'drain', 'config', 'cost', 'retry', 'recover',
                'engine', 'stream', 'tenants', 'platform',
            ],
            'bounds': {
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
                'reuse_window_s': 6.2,
                'ttl_max_s': 5,
            },
            'platform': {
                'address': f'127.0.0.1:{store_port}',
                'form': 'kv',
                'writes_per_s': 400,
                'reads_per_s': 2000,
                'history_s': 20,
                'value_bytes': 1048576,
                'min_ttl_ms': 1000,
            },
        }
        self.process = None
        self.started_at = 0.0

    def start(self):
        """Start the process; JSON is YAML too."""
        path = self.directory / f'{self.name}.yaml'
        path.write_text(json.dumps(self.settings))
        log = open(self.directory / f'{self.name}.log', 'ab')
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['CORIANDERLOFT_CONFIG'] = str(path)
        self.started_at = time.monotonic()
        self.process = subprocess.Popen(
            ['python3', '-S', 'deploy/entry_host.py'],
            cwd=ROOT, env=env, stdout=log, stderr=log,
        )
        PROCESSES.append(self.process)

    @property
    def alive(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, signum):
        if self.alive:
            self.process.send_signal(signum)

    def stop(self):
        """End the process for good."""
        if self.process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.process.wait()

    def private_memory(self):
        """Return the bytes of anonymous memory of the process; None if gone."""
        try:
            with open(f'/proc/{self.process.pid}/status') as status:
                for line in status:
                    if line.startswith('RssAnon:'):
                        return int(line.split()[1]) * 1024
        except OSError:
            pass
        return None

    async def is_ready(self):
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1', self.ready
                )
                writer.write(b'GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n')
                first, _ = await read_head(reader)
                writer.close()
                return ' 200 ' in first + ' '
        except (OSError, TimeoutError, EOFError):
            return False

    async def wait_ready(self, seconds=15):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready():
                return True
            if not self.alive:
                return False
            await asyncio.sleep(0.05)
        return False


class Answer:
    """What a client got: ``status`` 0 means none; ``error`` how it ended."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.complete = False
        self.error = ''


def request_head(method, path, request_id, deadline_ms, fields=(), length=0):
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {NAME}',
        f'Corianderloft-Attempt-Id: {request_id}',
        f'Corianderloft-Deadline-Ms: {deadline_ms}',
        f'Authorization: Bearer {KEY}',
        *fields,
    ]
    if method != 'GET':
        lines.append(f'Content-Length: {length}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n'


MODEL_FIELDS = (
    'Corianderloft-Model: m',
    'Corianderloft-Token-Usage: 715,280',
)


async def ask(port, method, path, request_id, deadline_ms, fields=(), body=b''):
    """Send one request on a new connection and read its answer."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1e3):
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(
                request_head(
                    method, path, request_id, deadline_ms, fields, len(body)
                )
                + body
            )
            first, answer.headers = await read_head(reader)
            answer.status = int(first.split(' ')[1])
            if 'chunked' in answer.headers.get('transfer-encoding', ''):
                while True:
                    size = int(await reader.readline(), 16)
                    answer.body += await reader.readexactly(size)
                    await reader.readexactly(2)
                    if not size:
                        break
            else:
                answer.body = await read_body(reader, answer.headers)
            answer.complete = True
    except TimeoutError:
        answer.error = 'deadline'
    except (OSError, EOFError, ValueError) as exc:
        answer.error = type(exc).__name__
    finally:
        if writer is not None:
            writer.close()
    return answer


def route(name, prefix, kind, service, timeout_ms, target_ms, **more):
    return {
        'name': name,
        'host': NAME,
        'path_prefix': prefix,
        'kind': kind,
        'service': service,
        'timeout_ms': timeout_ms,
        'target_latency_ms': target_ms,
        'attempts': 1,
        'priority': 0,
    } | more


def configuration(routes, services, version=1):
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': TENANT, 'api_keys': [KEY], 'priority': 0}],
    }


def directory():
    """Return a temporary folder for settings and logs."""
    return tempfile.TemporaryDirectory(prefix='review-')


def soft_files():
    """Allow this process as many descriptors as the machine does."""
    import resource

    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 65536), hard))
