"""Hosts that perform duties, in one process and in virtual time."""

import collections
import dataclasses
import random

import trio

from corianderloft._internal.gateway.duties import host_duties
from corianderloft._internal.gateway.duties import interface
from corianderloft._internal.gateway.duties import true_time
from corianderloft._internal.gateway import settings
from corianderloft._internal.kv import connections
from corianderloft._internal.models import members
from corianderloft._internal.platform import store
from tests.lib import platform_api
from tests.lib import platform_store

WINDOW_S = 5.0
DELAY_S = 10.0
LEASE_S = 3.0

EPOCH_S = 1_767_225_600.0
"""Time of day at the start; a window begins then."""

API = settings.PlatformApi(
    '127.0.0.1', 1, frozenset({settings.DutyKind.USAGE}), 50.0
)
DUTY_BOUNDS = settings.DutyBounds(LEASE_S, WINDOW_S, DELAY_S, False)


class DirectConnections:
    """Calls the ASGI application of a stand-in as one host."""

    def __init__(self, app, host):
        self.app = app
        self.host = host

    async def call(self, method, path, content, hold_time=0.0, **_):
        await self.host.thawed()
        until = trio.current_time() + store.CALL_TIMEOUT_S + hold_time
        if self.host.store_cut:
            await trio.sleep(store.CONNECT_TIMEOUT_S)
            return connections.NotSent('cut')
        await trio.sleep(0.002)
        reply = await self._reply(method, path, content)
        await trio.sleep(0.002)
        if reply is None or self.host.replies_cut:
            await trio.sleep(store.CALL_TIMEOUT_S)
            return connections.ReplyLost('no reply')
        await self.host.thawed()
        if trio.current_time() > until:
            return connections.ReplyLost('frozen')
        return reply

    async def _reply(self, method, path, content):
        target, _, query = path.partition('?')
        scope = {
            'type': 'http',
            'method': method,
            'path': target,
            'query_string': query.encode(),
            'headers': [],
        }
        sent = []

        async def receive():
            return {'type': 'http.request', 'body': content}

        async def send(message):
            sent.append(message)

        await self.app(scope, receive, send)
        if len(sent) < 2:
            return None
        return connections.Reply(
            sent[0]['status'], sent[1]['body'], sent[0]['headers']
        )


class DutyHost:
    """One run of a host.

    Attributes
    ----------
    store_cut, replies_cut : bool
        Whether its calls do not reach the store, or the replies do not
        arrive.
    loss : float
        Probability that a datagram from it is lost.
    wall_error : float
        Error of its wall clock in seconds.
    """

    def __init__(self, fleet, number, start, wall_error):
        self.fleet = fleet
        self.wall_error = wall_error
        self.store_cut = self.replies_cut = False
        self.loss = 0.0
        self._frozen = None
        self.stopping = trio.Event()
        self.scope = trio.CancelScope()
        self.member = members.Member(
            f'h{number}', '127.0.0.1', 1, 1, f'fd-{number % 3}', start
        )
        self.store = store.PlatformStore('127.0.0.1', 1)
        self.store._connections = DirectConnections(fleet.store.app(), self)
        cfg = dataclasses.make_dataclass(
            'Cfg', ['host_id', 'store', 'platform_api', 'duty_bounds']
        )(
            self.member.host_id,
            settings.Store('127.0.0.1', 1),
            API,
            DUTY_BOUNDS,
        )
        self.api = platform_api.ApiClient(
            fleet.api, self.member.host_id, self.thawed
        )
        self.duties = host_duties.HostDuties(
            cfg,
            self.store,
            'duties/',
            self.api,
            self.member,
            true_time.TrueTime(self.wall),
            self._send,
            random.Random(f'{number} {start}'),
        )
        self.duties.add('orders', self, self.order)

    def wall(self):
        return self.fleet.true_time() + self.wall_error

    def freeze(self):
        if self._frozen is None:
            self._frozen = trio.Event()

    def thaw(self):
        if self._frozen is not None:
            self._frozen.set()
            self._frozen = None

    async def thawed(self):
        while self._frozen is not None:
            await self._frozen.wait()

    @property
    def holds(self):
        return self.duties.duty.current() is not None

    async def _send(self, data, recipients):
        await self.thawed()
        await trio.sleep(0.001)
        for member in recipients:
            host = self.fleet.hosts.get(member.host_id)
            lost = self.fleet.rng.random() < self.loss
            if host and not lost and host._frozen is None:
                assert host.duties.exchange.receive(data)

    def encode(self):
        return None

    async def order(self):
        """Make a call whenever this host may, as for orders of engines."""
        while True:
            await self.thawed()
            held = self.duties.duty.current(interface.CALL_TIMEOUT_S)
            if held is not None:
                await self.api.order_engines(held)
            await trio.sleep(0.2)

    async def run(self):
        with self.scope:
            await self.duties.run(self.stopping.wait)


class DutyFleet:
    """Hosts with a store and an API.

    Attributes
    ----------
    truth : dict
        Requests that ran, by window and workspace.
    """

    def __init__(self, nursery, size=5, seed=0):
        self.nursery = nursery
        self.rng = random.Random(seed)
        self.store = platform_store.PlatformStore()
        self.api = platform_api.PlatformApi()
        self.hosts = {}
        self.truth = collections.defaultdict(collections.Counter)
        self._starts = 0
        for number in range(size):
            self.start(number, listed=False)
        self.list_members()

    def true_time(self):
        return EPOCH_S + trio.current_time()

    def start(self, number, wall_error=0.0, listed=True):
        self._starts += 1
        host = DutyHost(self, number, f's{self._starts}', wall_error)
        self.hosts[host.member.host_id] = host
        self.nursery.start_soon(host.run)
        if listed:
            self.list_members()
        return host

    def kill(self, host, listed=True):
        host.scope.cancel()
        del self.hosts[host.member.host_id]
        if listed:
            self.list_members()

    def list_members(self):
        current = [host.member for host in self.hosts.values()]
        for host in self.hosts.values():
            host.duties.use_members(current)

    async def holder(self):
        """Wait for a host that may act, and return it."""
        with trio.fail_after(60):
            while True:
                for host in self.hosts.values():
                    if host.holds:
                        return host
                await trio.sleep(0.05)

    def restore(self, copied):
        self.store.restore(copied, rewrite=False)

    async def serve(self, duration, rate=4.0):
        """Run requests on all hosts that are not frozen."""
        until = trio.current_time() + duration
        while trio.current_time() < until:
            await trio.sleep(self.rng.uniform(0.5, 1.5) / rate)
            running = [h for h in self.hosts.values() if h._frozen is None]
            if not running:
                continue
            host = self.rng.choice(running)
            workspace = self.rng.choice(['aswan', 'luxor'])
            host.duties.usage.run(workspace).began()
            window = int(self.true_time() // WINDOW_S)
            self.truth[window][workspace] += 1

    def windows(self, first_s, last_s):
        """Return the windows between two times since the start."""
        first = int((EPOCH_S + first_s) // WINDOW_S)
        return range(first, int((EPOCH_S + last_s) // WINDOW_S))

    def check(self):
        """Assert what must hold for any history; return correct windows."""
        self.api.check(LEASE_S)
        return {
            window
            for window, reported in self.api.reports().items()
            if reported[0] == dict(self.truth[window])
        }

    def on_time(self):
        """Return the windows whose report arrived before it was due."""
        return {
            call.body['window']
            for call in self.api.calls
            if call.path == '/usage'
            and EPOCH_S + call.at
            <= (call.body['window'] + 1) * WINDOW_S + DELAY_S
        }
