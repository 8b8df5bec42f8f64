"""A gateway host with stand-ins of the platform, on loopback."""

import contextlib
import dataclasses
import functools

import h11
import orjson
import trio

from corianderloft._internal.gateway import host
from corianderloft._internal.gateway import settings
from corianderloft._internal.models import ids
from corianderloft._internal.platform import address_query
from corianderloft._internal.platform import daemon
from corianderloft._internal.platform import headers
from corianderloft._internal.platform import store
from corianderloft._internal.standin import http
from tests.lib import platform_engine
from tests.lib import platform_store
from tests.lib import ports
from tests.lib import processes

HOST = 'desk.example'
KEY = 'key-of-aswan'

ROUTES = (
    {
        'name': 'r-look',
        'path_prefix': '/look/',
        'kind': 'idempotent',
        'timeout_ms': 2000,
        'target_latency_ms': 100,
        'service': 'desk',
        'attempts': 2,
    },
    {
        'name': 'r-book',
        'path_prefix': '/book/',
        'kind': 'non_idempotent',
        'timeout_ms': 2000,
        'target_latency_ms': 100,
        'service': 'desk',
        'attempts': 1,
    },
    {
        'name': 'r-chat',
        'path_prefix': '/chat/',
        'kind': 'streaming',
        'timeout_ms': 9000,
        'target_latency_ms': 250,
        'target_gap_ms': 200,
        'service': 'desk',
        'attempts': 1,
    },
    {
        'name': 'r-quote',
        'path_prefix': '/quote/',
        'kind': 'streaming',
        'stream_resume': True,
        'timeout_ms': 3000,
        'target_latency_ms': 250,
        'target_gap_ms': 100,
        'service': 'desk',
        'attempts': 2,
    },
)


BOUNDS = settings.Bounds(
    revocation_time=3.0,
    termination_grace=4.0,
    retry_ratio=0.2,
    retry_slack=50.0,
    retry_window=10.0,
    max_address_ttl=5.0,
    recovery_time=3.0,
    drain_time=2.0,
    apply_time=2.0,
)


def configuration(version=1, keys=(KEY,), routes=ROUTES, **changes):
    """Return the operator's configuration document."""
    document = {
        'version': version,
        'routes': [{'host': HOST, 'priority': 1} | r for r in routes],
        'services': [
            {
                'name': 'desk',
                'health_path': '/healthz',
                'max_connections': 50,
            }
        ],
        'limits': {
            'max_header_bytes': 4096,
            'max_body_bytes': 10000,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 5000,
        },
        'tenants': [{'name': 'aswan', 'api_keys': list(keys), 'priority': 0}],
    }
    return orjson.dumps(document | changes)


@dataclasses.dataclass
class Answer:
    """A response; ``complete`` is false if it was truncated."""

    status: int
    headers: dict
    body: bytes
    complete: bool = True


class System:
    """A gateway host with its store and backend servers.

    Attributes
    ----------
    store : PlatformStore
        Stand-in of the store.
    engines : list of PlatformEngine
        The backend servers.
    cfg : GatewaySettings
        Settings of the host.
    next_cfg : GatewaySettings, optional
        Settings that the host reads on a reload.
    platform_api : PlatformApi or None
        Settings of the platform's API for hosts that are started.
    duty_bounds : DutyBounds or None
        Set together with ``platform_api``.
    host_done : Event
        Set when the host has ended.
    """

    def __init__(self, nursery, platform, store_port):
        self._nursery = nursery
        self.store = platform
        self.store_port = store_port
        self.engines = []
        self.cfg = None
        self.next_cfg = None
        self.platform_api = None
        self.duty_bounds = None
        self.host_done = trio.Event()
        self._host_scope = trio.CancelScope()

    async def add_engine(self, mode='whole', register=True, **attributes):
        """Start a backend server and register it."""
        number = len(self.engines)
        engine = platform_engine.PlatformEngine(f'e-{number}', mode)
        for name, value in attributes.items():
            setattr(engine, name, value)
        await self._nursery.start(engine.serve)
        self.engines.append(engine)
        if register:
            self.register(engine)
        return engine

    def register(self, engine, state='ready', **changes):
        """Write the registration of a backend server."""
        entry = {
            'service': 'desk',
            'address': f'127.0.0.1:{engine.port}',
            'zone': 'cairo-a',
            'version': 'v1',
            'slots': 8,
            'state': state,
            'cold_remaining_ms': 0,
            'sequence': 1,
            'born': 1000,
        }
        key = f'servers/{engine.engine_id}'
        self.store.put(key, orjson.dumps(entry | changes))

    def bounds(self):
        """Return the bounds of the deployment."""
        return BOUNDS

    async def start_host(
        self,
        host_id='edge-1',
        wait=True,
        store_port=None,
        hedge_extra_work=0.0,
        **bounds,
    ):
        """Start a host in this process and return its settings.

        Waits until it is ready, unless ``wait`` is false. Requests go to the
        host that was started last.

        Parameters
        ----------
        host_id : str
            ID of the host.
        wait : bool
            Whether to wait until it is ready.
        store_port : int or None
            Port of the store, if it is not reached directly.
        hedge_extra_work : float
            Share of extra work for second attempts.
        bounds
            Bounds that differ from those of the system.
        """
        store_port = store_port or self.store_port
        self.cfg = settings.GatewaySettings(
            host_id=ids.HostId(host_id),
            address='127.0.0.1',
            caller_port=ports.reserve(),
            ready_port=ports.reserve(),
            address_port=ports.reserve(),
            metrics_port=ports.reserve(),
            peer_port=ports.reserve(),
            failure_domain=ids.FailureDomain('cairo-a'),
            max_open_files=1000,
            bounds=dataclasses.replace(self.bounds(), **bounds),
            store=settings.Store('127.0.0.1', store_port),
            hedge_extra_work=hedge_extra_work,
            platform_api=self.platform_api,
            duty_bounds=self.duty_bounds,
        )
        dependencies = host.Dependencies(
            cfg=self.cfg,
            store=store.PlatformStore('127.0.0.1', store_port),
            store_layout=daemon.LAYOUT,
            header_dialect=headers.PlatformDialect(),
            decode_domain=address_query.decode_domain,
            read_settings=lambda cfg=self.cfg: self.next_cfg or cfg,
            platform_api=daemon.platform_api(self.cfg),
        )
        self._host_scope = trio.CancelScope()
        self._nursery.start_soon(
            self._run_host, host.Host(dependencies), self._host_scope
        )
        if wait:
            await processes.wait_for(self.is_ready, 'the host is ready')
        return self.cfg

    def kill_host(self):
        """End the host that was started last, without a shutdown."""
        self._host_scope.cancel()

    async def _run_host(self, gateway, scope):
        with scope:
            await gateway.run()
            self.host_done.set()

    async def is_ready(self):
        """Return whether the readiness check succeeds."""
        answer = await fetch(self.cfg.ready_port, 'GET', '/readyz')
        return answer is not None and answer.status == 200

    async def request(self, method='GET', target='/look/1', **options):
        """Send a request to the callers' port and return the response."""
        return await fetch(self.cfg.caller_port, method, target, **options)

    def runs(self):
        """Return the requests executed by all backend servers."""
        return [seen for engine in self.engines for seen in engine.seen]


@contextlib.asynccontextmanager
async def running(engines=('whole',), document=None, start=True):
    """Run a system and wait until its host is ready."""
    async with trio.open_nursery() as nursery:
        platform = platform_store.PlatformStore()
        platform.put('op/config', document or configuration())
        port = await nursery.start(
            functools.partial(http.serve, platform.app(), 0)
        )
        system = System(nursery, platform, port)
        for mode in engines:
            await system.add_engine(mode)
        if start:
            await system.start_host()
        yield system
        nursery.cancel_scope.cancel()


_request_numbers = iter(range(1, 10**9))

sent_ids = set()
"""Ids of all requests sent by `fetch`."""


async def fetch(
    port,
    method,
    target,
    body=b'',
    key=KEY,
    headers=(),
    deadline_ms=2000,
    host_name=HOST,
    timeout_s=8.0,
    stream=None,
):
    """Send one request; return None if the connection fails."""
    try:
        stream = stream or await trio.open_tcp_stream('127.0.0.1', port)
    except OSError:
        return None
    request_id = f'a{next(_request_numbers)}'
    sent_ids.add(request_id)
    fields = [
        ('Host', host_name),
        ('Corianderloft-Attempt-Id', request_id),
        ('Corianderloft-Deadline-Ms', str(deadline_ms)),
        *headers,
    ]
    if key is not None:
        fields.append(('Authorization', f'Bearer {key}'))
    if method != 'GET':
        fields.append(('Content-Length', str(len(body))))
    conn = h11.Connection(h11.CLIENT)
    data = conn.send(h11.Request(method=method, target=target, headers=fields))
    if body:
        data += conn.send(h11.Data(data=body))
    data += conn.send(h11.EndOfMessage())
    with trio.fail_after(timeout_s):
        async with stream:
            await stream.send_all(data)
            return await _read_answer(stream, conn)


async def _read_answer(stream, conn):
    answer = Answer(0, {}, b'', complete=False)
    while True:
        try:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                conn.receive_data(await stream.receive_some(65536))
                continue
        except (h11.RemoteProtocolError, trio.BrokenResourceError):
            return answer
        if isinstance(event, h11.Response):
            answer.status = event.status_code
            answer.headers = {n.decode(): v.decode() for n, v in event.headers}
        elif isinstance(event, h11.Data):
            answer.body += event.data
        elif isinstance(event, h11.EndOfMessage):
            answer.complete = True
            return answer
        else:
            return answer
