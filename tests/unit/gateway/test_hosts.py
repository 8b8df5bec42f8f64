"""A gateway host and the store: keys, draining, registration and shutdown."""

import dataclasses
import os
import signal

import orjson
import trio

from tests.lib import gateway
from tests.lib import processes


async def test_a_revoked_key_is_refused_at_once():
    async with gateway.running() as system:
        assert (await system.request()).status == 200
        system.store.put('op/config', gateway.configuration(2, keys=['new']))

        async def refused():
            return (await system.request()).status == 401

        await processes.wait_for(refused, 'the old key is refused', 2)
        assert (await system.request(key='new')).status == 200


async def test_keys_are_refused_while_the_store_is_unavailable():
    async with gateway.running() as system:
        system.store.down = True

        async def refused():
            return (await system.request()).status == 503

        await processes.wait_for(refused, 'keys are not honoured', 5)
        assert not await system.is_ready()
        system.store.down = False
        await processes.wait_for(system.is_ready, 'the host is ready', 5)
        assert (await system.request()).status == 200


async def test_public_routes_work_without_the_store():
    routes = [dict(r, public_access=True) for r in gateway.ROUTES]
    document = gateway.configuration(routes=routes)
    async with gateway.running(document=document) as system:
        system.store.down = True
        await processes.wait_for(
            lambda: _not_ready(system), 'the host is not ready', 6
        )
        assert (await system.request(key=None)).status == 200


async def _not_ready(system):
    return not await system.is_ready()


async def test_a_draining_server_gets_no_requests():
    async with gateway.running(('whole', 'whole')) as system:
        draining = system.engines[0]
        system.register(draining, state='draining')
        await trio.sleep(system.bounds().drain_time)
        before = len(draining.seen)
        for _ in range(10):
            assert (await system.request()).status == 200
        assert len(draining.seen) == before


async def test_changes_are_seen_after_compaction():
    async with gateway.running() as system:
        system.store.compacted = 10**6
        engine = await system.add_engine()
        system.store.remove('servers/e-0')

        async def uses_new_server():
            await system.request()
            return engine.seen

        await processes.wait_for(uses_new_server, 'the new server is used', 5)


async def test_a_host_that_lost_its_lease_registers_again():
    async with gateway.running() as system:
        store = system.store.store
        key = 'hosts/edge-1'
        await processes.wait_for(lambda: key in store.items, 'it registers')
        store.drop_lease(store.items[key].lease_id)
        await processes.wait_for(lambda: key in store.items, 'once more')


async def test_a_stream_completes_after_sigterm():
    async with gateway.running(('stream',)) as system:
        engine = system.engines[0]
        engine.events, engine.pause = 10, 0.1
        async with trio.open_nursery() as nursery:
            responses = []

            async def ask():
                responses.append(await system.request('POST', '/chat/1'))

            nursery.start_soon(ask)
            await processes.wait_for(lambda: engine.seen, 'it runs')
            os.kill(os.getpid(), signal.SIGTERM)
            await processes.wait_for(
                lambda: _not_ready(system), 'it is not ready'
            )
            late = await system.request('POST', '/chat/2')
        (response,) = responses
        assert response.complete
        assert late.complete
        assert late.headers['connection'] == 'close'
        assert 'hosts/edge-1' not in system.store.store.items
        with trio.fail_after(5):
            await system.host_done.wait()
    assert response.body.count(b'data: token') == 10


async def test_sighup_does_not_stop_the_host():
    async with gateway.running() as system:
        os.kill(os.getpid(), signal.SIGHUP)
        for _ in range(5):
            assert (await system.request()).status == 200


async def test_sighup_applies_changed_bounds():
    async with gateway.running() as system:
        bounds = dataclasses.replace(system.cfg.bounds, revocation_time=0.1)
        system.next_cfg = dataclasses.replace(system.cfg, bounds=bounds)
        os.kill(os.getpid(), signal.SIGHUP)
        await processes.wait_for(
            lambda: _not_ready(system), 'the shorter life is in force', 5
        )


async def test_a_malformed_entry_is_ignored():
    async with gateway.running() as system:
        system.store.put('servers/odd', orjson.dumps({'service': 3}))
        system.store.put('servers/bytes', b'\xff\x00')
        await trio.sleep(0.2)
        assert (await system.request()).status == 200
