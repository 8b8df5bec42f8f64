"""Claims of idempotency keys after a restore of the service."""

import contextlib
import random

import trio

from corianderloft._internal.kv import connections
from corianderloft._internal.kv import etcd
from corianderloft._internal.models import ids
from corianderloft._internal.models import requests
from corianderloft._internal.models import states
from corianderloft._internal.settings import kv as kv_settings
from corianderloft._internal.shared.claims import claims
from corianderloft._internal.shared import interface
from corianderloft._internal import standin

TTL_S = 600.0


class Scene:
    """A service and the claims of two hosts."""

    def __init__(self, nursery, endpoint):
        self.clients = [
            etcd.EtcdClient(kv_settings.KvSettings(endpoint=endpoint))
            for _ in range(2)
        ]
        self.hosts = [
            claims.Claims(
                client,
                _host(f'host-{number}'),
                TTL_S,
                lambda: 0.0,
                lambda host_id, incarnation: True,
                random.Random(number),
            )
            for number, client in enumerate(self.clients)
        ]
        for host in self.hosts:
            nursery.start_soon(host.run)

    async def control(self, path):
        result = await self.clients[0]._connections.call(
            'POST', f'/control/{path}', b'{}'
        )
        assert isinstance(result, connections.Reply)

    async def claim(self, number, key):
        return await self.hosts[number].claim('w', 'desk', key, 'hash')

    async def claim_settled(self, number, key):
        """Claim a key, waiting while claims are refused after a restore."""
        with trio.fail_after(2 * claims.RESTORE_GRACE_S):
            while True:
                result = await self.claim(number, key)
                if not _is_refused_for_restore(result):
                    return result
                await trio.sleep(0.1)


def _is_refused_for_restore(result):
    return (
        isinstance(result, requests.Refused)
        and result.run is states.RunState.NOT_RUN
    )


def _host(name):
    return interface.Host(
        ids.HostId(name),
        ids.Incarnation(1),
        '127.0.0.1',
        1,
        2,
        ids.FailureDomain('a'),
        states.HostState.LIVE,
    )


@contextlib.asynccontextmanager
async def running():
    async with trio.open_nursery() as nursery:
        port = await nursery.start(standin.serve_kv, standin.KvSettings())
        scene = Scene(nursery, f'http://127.0.0.1:{port}')
        # The era is stated from the first restore on.
        await scene.control('restore')
        for number in range(2):
            first = await scene.claim(number, f'first-{number}')
            assert isinstance(first, interface.Claimed)
        await scene.control('copy')
        yield scene
        nursery.cancel_scope.cancel()


async def test_call_that_is_running_is_not_claimed_again_after_a_restore():
    async with running() as scene:
        assert isinstance(await scene.claim(0, 'k'), interface.Claimed)
        await scene.control('restore')
        assert not isinstance(await scene.claim(1, 'k'), interface.Claimed)
        # The first host notices the restore with its next call.
        await scene.claim(0, 'other')
        result = await scene.claim_settled(1, 'k')
        assert isinstance(result, requests.Refused)
        assert result.run is states.RunState.UNKNOWN


async def test_response_that_the_service_lost_is_stored_again():
    async with running() as scene:
        claimed = await scene.claim(0, 'k')
        await scene.hosts[0].finish(claimed, 200, 'text/plain', b'done')
        await scene.control('restore')
        await scene.claim(0, 'other')
        result = await scene.claim_settled(1, 'k')
        assert result == interface.AlreadyDone(200, 'text/plain', b'done')


async def test_response_replaces_the_claim_that_the_copy_holds():
    async with running() as scene:
        claimed = await scene.claim(0, 'k')
        await scene.control('copy')
        await scene.hosts[0].finish(claimed, 200, 'text/plain', b'done')
        await scene.control('restore')
        await scene.claim(0, 'other')

        with trio.fail_after(2 * claims.RESTORE_GRACE_S):
            while True:
                result = await scene.claim(1, 'k')
                if isinstance(result, interface.AlreadyDone):
                    break
                assert isinstance(result, requests.Refused)
                await trio.sleep(0.1)


async def test_call_that_ends_after_the_restore_stores_its_response():
    async with running() as scene:
        claimed = await scene.claim(0, 'k')
        await scene.control('restore')
        await scene.hosts[0].finish(claimed, 200, 'text/plain', b'done')
        await scene.claim(0, 'other')
        result = await scene.claim_settled(1, 'k')
        assert result == interface.AlreadyDone(200, 'text/plain', b'done')
