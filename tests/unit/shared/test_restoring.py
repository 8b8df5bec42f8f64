"""Configuration of the entry hosts after a restore of the service."""

import contextlib
import random

import trio

from corianderloft._internal.kv import connections
from corianderloft._internal.kv import etcd
from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from corianderloft._internal.models import states
from corianderloft._internal.settings import kv as kv_settings
from corianderloft._internal.shared import changes
from corianderloft._internal.shared.configuration import edit
from corianderloft._internal.shared.configuration import follow
from corianderloft._internal.shared.configuration import freshness
from corianderloft._internal.shared.configuration import layout
from corianderloft._internal.shared import mirror
from corianderloft._internal import standin


class Scene:
    """A service, a client and a host that follows the configuration."""

    def __init__(self, client):
        self.client = client
        self.freshness = freshness.FreshnessTracker()
        self.host = self.new_host()

    def new_host(self):
        return follow.ConfigurationFollower(
            self.client,
            mirror.Mirror(layout.CONFIG_PREFIX),
            lambda entries: None,
            random.Random(1),
            self.freshness,
        )

    async def control(self, path):
        result = await self.client._connections.call(
            'POST', f'/control/{path}', b'{}'
        )
        assert isinstance(result, connections.Reply)

    async def submit(self, change_id, *services, removed=()):
        """Submit a change and return its revision."""
        stored = await edit.read_configuration(self.client)
        templates = tuple(
            catalog.ServiceTemplate(name, states.ServiceKind.PLAIN, (), ())
            for name in services
        )
        accepted = await edit.submit_change(
            self.client,
            changes.ConfigurationChange(templates, removed),
            stored.revision,
            ids.ChangeId(change_id),
            'ann',
        )
        assert isinstance(accepted, changes.Accepted), accepted
        return accepted.revision

    async def services(self):
        """Return the names of the stored services."""
        stored = await edit.read_configuration(self.client)
        return [service.name for service in stored.catalog.services]


@contextlib.asynccontextmanager
async def running():
    async with trio.open_nursery() as nursery:
        port = await nursery.start(standin.serve_kv, standin.KvSettings())
        endpoint = f'http://127.0.0.1:{port}'
        client = etcd.EtcdClient(kv_settings.KvSettings(endpoint=endpoint))
        yield Scene(client)
        await client.aclose()
        nursery.cancel_scope.cancel()


async def settle(host):
    """Let a host read until it is current."""
    for _ in range(5):
        await host.verify()


async def test_confirmed_change_that_the_service_lost_is_written_back():
    async with running() as scene:
        await scene.submit('c1', 'first', 'second')
        await scene.control('copy')
        await scene.submit('c2', 'third', removed=('second',))
        await settle(scene.host)
        await scene.control('restore')
        assert await scene.services() == ['first', 'second']
        await settle(scene.host)
        assert await scene.services() == ['first', 'third']
        history = await edit.read_history(scene.client, 9)
        assert [r.change_id for r in history] == ['c2', 'c1']
        await scene.submit('c3', 'fourth')
        assert await scene.services() == ['first', 'fourth', 'third']


async def test_host_that_knows_less_does_not_undo_what_another_wrote_back():
    async with running() as scene:
        await scene.submit('c1', 'first')
        await scene.control('copy')
        await scene.submit('c2', 'second')
        behind = scene.new_host()
        await settle(behind)
        await scene.submit('c3', 'third')
        await settle(scene.host)
        await scene.control('restore')
        for host in (behind, scene.host, behind):
            await settle(host)
        assert await scene.services() == ['first', 'second', 'third']


async def test_change_made_after_the_restore_is_not_undone():
    async with running() as scene:
        await scene.submit('c1', 'first')
        await scene.control('copy')
        await scene.submit('c2', 'second')
        await scene.submit('c3', 'third')
        await settle(scene.host)
        await scene.control('restore')
        await scene.submit('c4', 'fourth')
        await settle(scene.host)
        assert await scene.services() == ['first', 'fourth']
