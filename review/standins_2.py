"""Stand-ins of the platform for the scripts of this review.

Only the standard library is used: a store, engines, a client's connection and
the start of hosts with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
NAME = 'desk.example'
KEY = 'key-of-the-first-tenant'
SIGNATURE = 'Corianderloft-Response-Signature'
ATTEMPT_ID = 'corianderloft-attempt-id'

BOUNDS = {
    'seed_lag_s': 3, 'addr_reuse_s': 2, 'stable_ms': 3000, 'ack_ms': 4000,
    'catch_up_s': 4, 'drain_ms': 2000, 'grace_s': 8, 'loss_slack_ms': 200,
    'config_apply_ms': 2000, 'rollback_slack_ms': 250,
    'max_stretch_ms': 5000, 'fail_closed': True, 'revoke_ms': 5000,
    'retry_budget_ratio': 0.2, 'budget_window_s': 10, 'budget_slack': 56,
    'recovery_s': 12, 'pass_ms': 120, 'reuse_window_s': 6.2, 'ttl_max_s': 5,
}
"""The bounds on the sheet of qrl-sialkot."""


async def read_head(reader):
    """Return the first line and the headers (lower case), or None."""
    try:
        data = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError,
            ConnectionError):
        return None
    lines = data.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(':')
        if colon:
            headers.setdefault(name.strip().lower(), value.strip())
    return lines[0], headers


async def read_body(reader, headers):
    """Return the whole body of a message with a length or in chunks."""
    if 'chunked' in headers.get('transfer-encoding', ''):
        body = b''
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return body
            body += part[:-2]
    return await reader.readexactly(int(headers.get('content-length', 0)))


class Store:
    """The platform's store: items, leases, watches."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 10
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.port = 0

    def write(self, key, value, lease=0):
        """Write an item; None removes it."""
        self.revision += 1
        old = self.items.get(key)
        if value is None:
            self.items.pop(key, None)
            event = {'key': key, 'revision': self.revision, 'deleted': True}
        else:
            event = {
                'key': key, 'value': base64.b64encode(value).decode(),
                'revision': self.revision,
                'created': old['created'] if old else self.revision,
                'lease': lease,
            }
            self.items[key] = event
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def put_json(self, key, value):
        """Write an item with a JSON value."""
        self.write(key, json.dumps(value).encode())

    def _expire(self):
        now = time.monotonic()
        for lease in [n for n, (_, at) in self.leases.items() if at <= now]:
            self._end(lease)

    def _end(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i['lease'] == lease]:
            self.write(key, None)

    async def start(self, address):
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, address, 0)
        self.port = server.sockets[0].getsockname()[1]
        self._expiry = asyncio.create_task(self._expire_always())

    async def _expire_always(self):
        while True:
            self._expire()
            await asyncio.sleep(0.1)

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                body = await read_body(reader, headers)
                method, target, _ = line.split(' ')
                path, _, query = target.partition('?')
                fields = dict(urllib.parse.parse_qsl(query, True))
                document = json.loads(body) if body else {}
                status, reply = await self._call(
                    method, path, fields, document
                )
                data = json.dumps(reply).encode()
                writer.write(
                    b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\n'
                    b'Content-Length: %d\r\n\r\n' % (status, len(data)) + data
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _call(self, method, path, fields, document):
        self._expire()
        now = {'current_rev': self.revision}
        if path == '/kv-key':
            item = self.items.get(fields['key'])
            return (404, now) if item is None else (200, item | now)
        if path == '/kv-range':
            keys = sorted(
                k for k in self.items
                if k.startswith(fields['path_prefix'])
                and k > fields.get('after', '')
            )
            page = [self.items[k] for k in keys[:500]]
            return 200, {'items': page, 'has_more': len(keys) > 500} | now
        if path == '/kv-watch':
            return await self._watch(fields)
        if path == '/kv-txn':
            return self._transact(document)
        if path == '/kv-lease':
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            ttl = max(1000, document['ttl_ms'])
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {'lease': lease, 'ttl_ms': ttl}
        lease = int(path.rpartition('/')[2])
        if lease not in self.leases:
            return 404, {}
        if path.startswith('/kv-keep/'):
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {'ttl_ms': ttl}
        self._end(lease)
        return 200, {}

    async def _watch(self, fields):
        after, prefix = int(fields['after']), fields['path_prefix']
        until = time.monotonic() + min(30000, int(fields['wait_ms'])) / 1000
        while True:
            events = [
                e for e in self.events
                if e['revision'] > after and e['key'].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'current_rev': self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _transact(self, document):
        rows = document.get('expected_revision', [])
        for row in rows:
            item = self.items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                found = [self.items[r['key']] for r in rows
                         if r['key'] in self.items]
                return 412, {'items': found}
        writes = document.get('writes', [])
        if any(w.get('lease') and w['lease'] not in self.leases
               for w in writes):
            return 404, {}
        for w in writes:
            value = base64.b64decode(w['value'])
            self.write(w['key'], value, w.get('lease') or 0)
        for key in document.get('remove', []):
            if key in self.items:
                self.write(key, None)
        return 200, {'revision': self.revision}


class Engine:
    """A sound engine.

    A plain request gets a body of ``answer_bytes``, or of ``long_bytes`` if
    its path begins with /ledger/. A request whose path begins with /chat/ gets
    a stream of ``events`` events of ``event_bytes`` bytes, one each ``pause``
    seconds. If ``chunk_bytes`` is set, long bodies come in such chunks, one
    each ``chunk_pause`` seconds, without an announced length.
    """

    def __init__(self, engine_id, service, zone):
        self.engine_id = engine_id
        self.service = service
        self.zone = zone
        self.answer_bytes = 800
        self.long_bytes = 2**20
        self.chunk_bytes = 0
        self.chunk_pause = 0.0
        self.work_s = 0.0
        self.events = 40
        self.event_bytes = 60
        self.pause = 0.05
        self.slots = 64
        self.running = 0
        self.runs = []
        self.address = ''

    async def start(self, ip):
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, ip, 0)
        self.address = '%s:%d' % (ip, server.sockets[0].getsockname()[1])

    def entry(self, state='ready'):
        """Return the entry in the store."""
        return {
            'service': self.service, 'address': self.address,
            'zone': self.zone, 'version': '1', 'slots': self.slots,
            'state': state, 'cold_remaining_ms': 0, 'sequence': 1,
            'born': 1000,
        }

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                body = await read_body(reader, headers)
                method, path, _ = line.split(' ')
                target = headers.get('corianderloft-target-instance')
                fields = (
                    b'Corianderloft-Attempt-Id: %b\r\n'
                    % headers.get(ATTEMPT_ID, '').encode()
                )
                if target not in (None, self.engine_id):
                    writer.write(
                        b'HTTP/1.1 421 X\r\nContent-Length: 0\r\n'
                        + fields + b'\r\n'
                    )
                    continue
                self.runs.append(
                    (time.monotonic(), method, path, headers, len(body))
                )
                fields += b'%b: s\r\n' % SIGNATURE.encode()
                self.running += 1
                try:
                    await self._answer(writer, method, path, fields)
                finally:
                    self.running -= 1
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, writer, method, path, fields):
        load = b'Corianderloft-Engine-Load: %d,0,%d,100\r\n' % (
            self.running, self.slots
        )
        if path.startswith('/chat/'):
            writer.write(
                b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
                b'Transfer-Encoding: chunked\r\n' + fields + load + b'\r\n'
            )
            for number in range(self.events):
                event = b'id: %d\ndata: %b\n\n' % (
                    number, b'x' * self.event_bytes
                )
                writer.write(b'%x\r\n%b\r\n' % (len(event), event))
                await writer.drain()
                await asyncio.sleep(self.pause)
            writer.write(b'0\r\n\r\n')
        else:
            size = self.answer_bytes
            if path.startswith('/ledger/'):
                size = self.long_bytes
            await asyncio.sleep(self.work_s)
            if size > self.chunk_bytes > 0:
                await self._send_chunks(writer, size, fields + load)
                return
            writer.write(
                b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n'
                % size + fields + load + b'\r\n'
            )
            writer.write(b'x' * size)
        await writer.drain()


    async def _send_chunks(self, writer, size, fields):
        writer.write(
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n'
            + fields + b'\r\n'
        )
        while size:
            part = min(size, self.chunk_bytes)
            writer.write(b'%x\r\n%b\r\n' % (part, b'x' * part))
            await writer.drain()
            await asyncio.sleep(self.chunk_pause)
            size -= part
        writer.write(b'0\r\n\r\n')
        await writer.drain()


def route(name, kind, service, timeout_ms, target_ms, **more):
    """Return a route of the operator's configuration."""
    return {
        'name': name, 'host': NAME, 'path_prefix': f'/{name}/',
        'kind': kind, 'service': service, 'timeout_ms': timeout_ms,
        'target_latency_ms': target_ms, 'attempts': 1, 'priority': 1,
    } | more


def configuration(routes, services, max_body_bytes=4194304, version=1):
    """Return the operator's configuration."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': name, 'health_path': '/healthz', 'max_connections': 2000}
            for name in services
        ],
        'limits': {
            'max_header_bytes': 16384, 'max_body_bytes': max_body_bytes,
            'header_timeout_ms': 3000, 'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'first', 'api_keys': [KEY]}],
    }


def free_ports(addresses, count):
    """Return ports that are free at all addresses, not in use by others."""
    found = []
    while len(found) < count:
        port = random.randrange(20000, 32000)
        try:
            for ip in addresses:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as sock:
                        sock.bind((ip, port))
        except OSError:
            continue
        if port not in found:
            found.append(port)
    return found


class Host:
    """A host process, started with the command of the deploy file."""

    def __init__(self, number, ip, zone, ports, folder, store, limits):
        self.name = f'edge-{number}'
        self.ip, self.zone, self.folder = ip, zone, folder
        self.front, self.ready, self.control, self.directory = (
            f'{ip}:{port}' for port in ports[:4]
        )
        self._internal = [ports[4], ports[4]]
        self._store, self._limits = store, limits
        self.process = None

    def start(self):
        """Start the process."""
        path = self.folder / f'{self.name}.yaml'
        path.write_text(json.dumps({
            'node': self.name, 'role': 'entry', 'machine_class': 'edge',
            'serves': ['edge', 'registry'], 'ip': self.ip,
            'zone': self.zone, 'region': 'punjab',
            'zones': {z: 'punjab' for z in
                      ('sialkot', 'lahore', 'gujranwala', 'okara')},
            'listen': {
                'front': self.front, 'ready': self.ready,
                'control': self.control, 'directory': self.directory,
            },
            'internal_ports': self._internal, 'seeds': [],
            'bootstrap': True, 'count_in_tolerance': False,
            'limits': self._limits, 'data_dir': None,
            'discovery': 'platform', 'entry': 'registry',
            'heartbeat_ms': 1200,
            'contracts': ['base', 'drain', 'config', 'cost', 'retry',
                          'recover', 'engine', 'stream', 'tenants',
                          'platform'],
            'fault_tolerance': {'machines': 8, 'zones': 0, 'regions': 0},
            'bounds': BOUNDS,
            'platform': {
                'address': self._store, 'form': 'kv', 'writes_per_s': 400,
                'reads_per_s': 2000, 'history_s': 20,
                'value_bytes': 1048576, 'min_ttl_ms': 1000,
            },
        }))
        env = {
            k: os.environ[k] for k in ('PATH', 'HOME', 'LANG')
            if k in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['CORIANDERLOFT_CONFIG'] = str(path)
        with (self.folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-S', 'deploy/entry_host.py'], cwd=ROOT,
                env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
            )

    def send(self, number):
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        """Kill the process and wait for it."""
        if self.process is not None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            self.process.wait()

    async def is_ready(self):
        """Return whether the platform's check gets a 200."""
        try:
            status, _ = await asyncio.wait_for(
                fetch(self.ready, 'GET', '/readyz', []), 1.0
            )
        except (OSError, asyncio.TimeoutError, EOFError, ValueError):
            return False
        return status == 200


async def connect(address):
    """Open a connection to IP:PORT."""
    ip, _, port = address.rpartition(':')
    return await asyncio.open_connection(ip, int(port), limit=2**20)


async def fetch(address, method, path, fields, body=b''):
    """Send one request on a connection of its own."""
    reader, writer = await connect(address)
    try:
        return await exchange(reader, writer, method, path, fields, body)
    finally:
        writer.close()


async def exchange(reader, writer, method, path, fields, body=b''):
    """Send one request and return the status and the body."""
    lines = [f'{method} {path} HTTP/1.1', f'Host: {NAME}', *fields]
    if method != 'GET':
        lines.append(f'Content-Length: {len(body)}')
    writer.write('\r\n'.join([*lines, '', '']).encode() + body)
    await writer.drain()
    head = await read_head(reader)
    if head is None:
        raise EOFError('the connection ended')
    return int(head[0].split(' ')[1]), await read_body(reader, head[1])


_numbers = iter(range(1, 10**9))


def caller_fields(deadline_ms):
    """Return the headers of a client's request and its id."""
    attempt = 'a%015x' % next(_numbers)
    return attempt, [
        f'Corianderloft-Attempt-Id: {attempt}',
        f'Corianderloft-Deadline-Ms: {deadline_ms}',
        f'Authorization: Bearer {KEY}',
    ]


class Record:
    """Writes what happened to record.txt."""

    def __init__(self, path):
        self._file = open(path, 'w')
        self._start = time.monotonic()

    def note(self, text):
        """Write a line with the time since the start."""
        at = time.monotonic() - self._start
        self._file.write(f'{at:8.3f} {text}\n')
        self._file.flush()


class Deployment:
    """A store, engines and hosts on loopback addresses."""

    def __init__(self, record, hosts, limits):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.store = Store()
        self.engines = []
        self.hosts = []
        self._count, self._limits = hosts, limits

    async def start(self, routes, engines, **config):
        """Start everything; return whether all hosts became ready."""
        await self.store.start('127.0.0.1')
        for engine in engines:
            await engine.start('127.0.0.1')
            self.store.put_json(f'servers/{engine.engine_id}', engine.entry())
        self.engines = engines
        services = sorted({e.service for e in engines})
        self.store.put_json(
            'op/config', configuration(routes, services, **config)
        )
        zones = ('sialkot', 'lahore', 'gujranwala', 'okara')
        ips = [f'127.0.0.{11 + n}' for n in range(self._count)]
        ports = free_ports(ips, 5)
        for number, ip in enumerate(ips):
            host = Host(
                number, ip, zones[number % 4], ports, self.folder,
                f'127.0.0.1:{self.store.port}', self._limits,
            )
            self.hosts.append(host)
            host.start()
        until = time.monotonic() + 25
        while time.monotonic() < until:
            ready = [await host.is_ready() for host in self.hosts]
            if all(ready):
                self.record.note(f'{len(ready)} hosts are ready')
                return True
            await asyncio.sleep(0.2)
        return False

    def end(self):
        """End all processes and remove the folder."""
        for host in self.hosts:
            host.end()
        shutil.rmtree(self.folder, ignore_errors=True)


def span_without_connection(attempts, checks, address, begin, end):
    """Return a span of ``stable_ms`` that breaks the rule, or None.

    In it a host says that it is ready, seven clients or more try to connect
    to it, and it takes none of their connections. ``attempts`` has the time,
    the address, the client and whether the connection was taken; ``checks``
    the times and results of the platform's check. Returns the begin of the
    span, the connections and the clients.
    """
    stable = BOUNDS['stable_ms'] / 1000
    at = begin
    while at + stable <= end:
        until = at + stable
        tries = [a for a in attempts
                 if a[1] == address and at <= a[0] < until]
        ready = [r for t, r in checks if at - 1 <= t <= until + 1]
        clients = len({a[2] for a in tries})
        if (clients >= 7 and not any(a[3] for a in tries)
                and ready and all(ready)):
            return at, len(tries), clients
        at += 0.25
    return None
