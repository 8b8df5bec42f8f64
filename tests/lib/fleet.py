"""A fleet of hosts in one process, with a fake network and store."""

import random

import orjson
import trio

from corianderloft._internal.kv import interface as kv
from corianderloft._internal.models import catalog
from corianderloft._internal.models import states
from corianderloft._internal.settings import root
from corianderloft._internal.shared import changes
from corianderloft._internal.shared.configuration import edit
from corianderloft._internal.shared import interface
from corianderloft._internal.shared import state
from tests.lib import fake_kv
from tests.lib import fake_network

PEER_PORT = 7000
TIMEOUT_S = 120.0


class FleetHost:
    """One host with its shared state, store client and cancel scope."""

    def __init__(self, host, shared, client, transport, scope):
        self.host = host
        self.shared = shared
        self.kv = client
        self.transport = transport
        self.scope = scope
        self.revisions = []
        self._record_revisions()

    def _record_revisions(self):
        """Record each revision that takes effect, in order."""
        catalogs = self.shared._catalogs
        apply = catalogs.apply

        def record(revision, entries):
            apply(revision, entries)
            self.revisions.append(catalogs.current.revision)

        catalogs.apply = record

    def reverted(self):
        return self.revisions != sorted(self.revisions)

    @property
    def address(self):
        return self.transport.address


class Fleet:
    """Starts, stops and queries the hosts of a fleet.

    Parameters
    ----------
    nursery : trio.Nursery
        Nursery in which the hosts run.
    seed : int
        Seed of all random choices.
    settings : dict
        Sections of the settings other than ``host``.
    """

    def __init__(self, nursery, seed=0, **settings):
        self.nursery = nursery
        self.rng = random.Random(seed)
        self.store = fake_kv.FakeStore()
        self.operator = fake_kv.FakeKv(self.store)
        self.network = fake_network.FakeNetwork(nursery, self.rng)
        self.settings = settings
        self.hosts = {}
        self._starts = 0

    async def start(self, host_id, domain='fd-0', ip=None, listed=True):
        self._starts += 1
        ip = ip or f'10.0.0.{len(self.network.transports) + 1}'
        host = interface.Host(
            host_id, self._starts << 16, ip, 80, PEER_PORT, domain
        )
        if listed:
            await self.put(
                f'platform/hosts/{host_id}',
                {
                    'address': ip,
                    'caller_port': 80,
                    'peer_port': PEER_PORT,
                    'failure_domain': domain,
                    'state': 'live',
                },
            )
        transport = self.network.transport(ip, PEER_PORT)
        client = fake_kv.FakeKv(self.store, latency=0.002)
        client.down = self.operator.down
        settings = root.Settings(host={'host_id': host_id}, **self.settings)
        shared = state.HostSharedState(
            settings, client, host, transport, random.Random(self._starts)
        )
        scope = trio.CancelScope()
        started = FleetHost(host, shared, client, transport, scope)
        self.nursery.start_soon(self._run, scope, shared)
        self.hosts[host_id] = started
        return started

    async def start_many(self, count, domains=3):
        for n in range(count):
            await self.start(f'h{n}', f'fd-{n % domains}')
        names = set(self.hosts)
        await self.until(
            lambda: all(self.live(h) == names for h in self.hosts)
        )

    async def _run(self, scope, shared):
        with scope:
            await shared.run()

    def kill(self, host_id):
        """Stop a host without a clean shutdown, as SIGKILL does."""
        host = self.hosts.pop(host_id)
        host.scope.cancel()
        self.network.transports.pop(host.address, None)
        return host

    def outage(self, down):
        self.operator.down = down
        for host in self.hosts.values():
            host.kv.down = down

    def live(self, host_id):
        shared = self.hosts[host_id].shared
        return {host.host_id for host in shared.live_hosts()}

    def revision(self, host_id):
        return self.hosts[host_id].shared.current_catalog().revision

    async def put(self, key, value):
        await self.operator.transact([], [kv.Put(key, orjson.dumps(value))])

    async def put_backend(self, engine_id, backend_state='live'):
        await self.put(
            f'platform/backends/{engine_id}',
            {
                'engine_id': engine_id,
                'service': 'desk',
                'supplier': 's',
                'model': 'm',
                'address': '127.0.0.1',
                'port': 1,
                'failure_domain': 'fd-0',
                'state': backend_state,
            },
        )

    async def edit(self, name='desk'):
        """Submit a configuration change and return its revision."""
        stored = await edit.read_configuration(self.operator)
        template = catalog.ServiceTemplate(
            name, states.ServiceKind.MODEL, (), ()
        )
        accepted = await edit.submit_change(
            self.operator,
            changes.ConfigurationChange((template,)),
            stored.revision,
            f'change-{stored.revision}',
            'ann',
        )
        return accepted.revision

    async def until(self, holds):
        """Wait for a condition and return the seconds it took."""
        began = trio.current_time()
        with trio.fail_after(TIMEOUT_S):
            while not holds():
                await trio.sleep(0.05)
        return trio.current_time() - began

    async def settle(self, revision):
        """Wait until a revision is in force and confirmed on all hosts."""
        await self.until_in_force(revision)
        await self.until(
            lambda: all(
                host.shared.configuration_fresh()
                for host in self.hosts.values()
            )
        )

    async def until_in_force(self, revision, *host_ids):
        names = host_ids or tuple(self.hosts)
        return await self.until(
            lambda: all(self.revision(h) >= revision for h in names)
        )
