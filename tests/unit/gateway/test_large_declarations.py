"""Declarations that take long to arrive on a narrow link.

Guards against replies that are cut while they arrive, against retries that
begin from nothing, and against final refusals by outdated declarations.
"""

import contextlib
import functools

import trio

from corianderloft._internal.gateway import outages
from corianderloft._internal.kv import interface as kv
from corianderloft._internal.platform import store as platform_store
from corianderloft._internal.standin import http
from tests.lib import gateway
from tests.lib import platform_store as stand_in
from tests.lib import processes
from tests.lib import relay

NARROW_BYTES_PER_S = 10e6 / 8
LARGE_BYTES = 2**20
"""Largest value that the platform accepts; 1.1 s on such a link."""

ADDED_ROUTE = {
    'name': 'r-added',
    'path_prefix': '/added/',
    'kind': 'idempotent',
    'timeout_ms': 1000,
    'service': 'desk',
    'attempts': 1,
}


@contextlib.asynccontextmanager
async def narrow_store():
    """Run a store behind a narrow link; yield it and a client."""
    async with trio.open_nursery() as nursery:
        platform = stand_in.PlatformStore()
        port = await nursery.start(http.serve, platform.app(), 0)
        link = relay.TcpRelay(port)
        link.to_client.bytes_per_s = NARROW_BYTES_PER_S
        await nursery.start(link.run)
        client = platform_store.PlatformStore('127.0.0.1', link.port)
        yield platform, client
        await client.aclose()
        nursery.cancel_scope.cancel()


async def test_a_read_is_not_cut_while_its_reply_arrives():
    async with narrow_store() as (platform, client):
        platform.put('op/config', b'x' * LARGE_BYTES)
        found = await client.get_prefix('')
    assert isinstance(found, kv.Found)


async def test_a_watch_is_not_cut_while_its_reply_arrives():
    async with narrow_store() as (platform, client):
        platform.put('op/config', b'x' * LARGE_BYTES)
        async with client.watch('', 0, lambda: 0.2) as items:
            item = await anext(items)
    assert isinstance(item, kv.WatchEvent)


async def test_a_lost_watch_costs_no_read_of_everything():
    async with gateway.running() as system:
        reads = system.store.calls['kv-range']
        system.store.down = True
        await trio.sleep(1.0)
        system.store.down = False
        document = gateway.configuration(2, routes=(ADDED_ROUTE,))
        system.store.put('op/config', document)

        async def added():
            return (await system.request(target='/added/1')).status == 200

        await processes.wait_for(added, 'the change is in force', 5)
        assert system.store.calls['kv-range'] == reads


async def test_a_route_is_not_denied_by_a_view_that_nobody_confirms():
    async with gateway.running() as system:
        assert (await system.request(target='/none/')).status == 404
        system.store.down = True

        async def unconfirmed():
            answer = await system.request(target='/look/1')
            return answer.status == 503

        await processes.wait_for(unconfirmed, 'the view is old', 6)
        answer = await system.request(target='/none/')
    assert answer.status == 503
    assert float(answer.headers['retry-after']) > 0


@contextlib.asynccontextmanager
async def two_hosts():
    """Run a second host whose link to the store can be cut; yield both."""
    async with gateway.running() as system:
        first = system.cfg
        link = relay.TcpRelay(system.store_port)
        async with trio.open_nursery() as nursery:
            await nursery.start(link.run)
            await system.start_host('edge-2', store_port=link.port)
            await processes.wait_for(
                lambda: {'hosts/edge-1', 'hosts/edge-2'}
                <= system.store.store.items.keys(),
                'both are listed',
            )
            await trio.sleep(2 * outages.BACKLOG_S)
            yield system, first, link
            nursery.cancel_scope.cancel()


async def test_a_route_is_not_denied_if_another_host_has_later_declarations():
    async with two_hosts() as (system, first, link):
        link.silence_open()
        link.cut()
        routes = (*gateway.ROUTES, ADDED_ROUTE)
        document = gateway.configuration(2, routes=routes)
        system.store.put('op/config', document)
        fetch = functools.partial(gateway.fetch, method='GET')

        async def in_force():
            answer = await fetch(first.caller_port, target='/added/1')
            return answer.status == 200

        await processes.wait_for(in_force, 'the other host has it', 3)
        await trio.sleep(0.7)
        answer = await system.request(target='/added/1')
    assert answer.status == 503
    assert b'outdated_declarations' in answer.body
