"""Requests that crash each backend server that runs them, and come again.

Guards against a request without a prompt, or whose prompt shares its parts
with sound requests, that ends one server after the other.
"""

import pytest
import trio

from tests.lib import gateway
from tests.lib import processes

CRASHES_UNTIL_KNOWN = 3
RETRIES_AFTER_KNOWN = 3
"""After this many crashes at most so many retries of the request may reach
backend servers; stated by the users' rules."""

BAD = b'bad'


async def start_engines(system, count=14, **attributes):
    """Start backend servers that crash on the body ``bad``."""
    for _ in range(count):
        await system.add_engine('by_path', crash_body=BAD, **attributes)

    async def served():
        return (await ask(system, b'first')).status == 200

    await processes.wait_for(served, 'the servers are known')


async def ask(system, body=BAD, target='/look/1', cfg=None, **options):
    """Send a request to one of the hosts."""
    port = (cfg or system.cfg).caller_port
    return await gateway.fetch(port, 'POST', target, body, **options)


def sends(system):
    """Return how often the request reached backend servers."""
    return sum(seen.body == BAD for seen in system.runs())


def crashed(system):
    """Return how many servers have ended."""
    return sum(engine.crashed for engine in system.engines)


async def crash_some(system, target, **options):
    """Send the request until it has crashed enough servers."""
    while crashed(system) < CRASHES_UNTIL_KNOWN:
        await ask(system, target=target, **options)
    await trio.sleep(1.0)
    return sends(system)


@pytest.mark.parametrize('target', ['/look/1', '/book/1', '/chat/1'])
async def test_a_request_that_crashes_servers_stops_reaching_them(target):
    async with gateway.running(()) as system:
        await start_engines(system)
        known = await crash_some(system, target)
        refused = [await ask(system, target=target) for _ in range(8)]
        sound = await ask(system, b'sound', target)
        assert sends(system) - known <= RETRIES_AFTER_KNOWN
    assert refused[-1].status == 503
    assert float(refused[-1].headers['retry-after']) > 0
    assert sound.status == 200


async def test_a_stream_that_crashes_servers_after_some_events_is_stopped():
    async with gateway.running(()) as system:
        await start_engines(system, crash_events=2)
        known = await crash_some(system, '/quote/1')
        refused = [await ask(system, target='/quote/1') for _ in range(8)]
        assert sends(system) - known <= RETRIES_AFTER_KNOWN
    assert refused[-1].status == 503


async def test_parts_that_sound_requests_share_do_not_hide_the_request():
    headers = [
        ('Corianderloft-Token-Usage', '900,20'),
        ('Corianderloft-Prefix-Hash', 'route:300,session:300,own:300'),
    ]
    async with gateway.running(()) as system:
        await start_engines(system)
        for _ in range(CRASHES_UNTIL_KNOWN):
            await ask(system, target='/chat/1', headers=headers)
            await ask(system, b'sound', '/chat/1', headers=headers)
        await trio.sleep(1.0)
        known = sends(system)
        for _ in range(8):
            await ask(system, target='/chat/1', headers=headers)
        sound = await ask(system, b'sound', '/chat/1', headers=headers)
        assert sends(system) - known <= RETRIES_AFTER_KNOWN
    assert sound.status == 200


async def test_hosts_tell_each_other_which_requests_crash_servers():
    async with gateway.running(()) as system:
        first = system.cfg
        await system.start_host('edge-2')
        second = system.cfg
        await start_engines(system)
        await processes.wait_for(
            lambda: {'hosts/edge-1', 'hosts/edge-2'}
            <= system.store.store.items.keys(),
            'both are listed',
        )
        known = await crash_some(system, '/book/1', cfg=first)
        for _ in range(8):
            await ask(system, target='/book/1', cfg=second)
        sound = await ask(system, b'sound', '/book/1', cfg=second)
        assert sends(system) - known <= RETRIES_AFTER_KNOWN
    assert sound.status == 200


async def test_a_restarted_host_knows_the_requests_that_crash_servers():
    async with gateway.running(()) as system:
        await start_engines(system)
        known = await crash_some(system, '/book/1')
        await processes.wait_for(
            lambda: any(
                key.startswith('crashes/') for key in system.store.store.items
            ),
            'the request is stored',
        )
        system.kill_host()
        await system.start_host('edge-2')
        for _ in range(8):
            await ask(system, target='/book/1')
        assert sends(system) - known <= RETRIES_AFTER_KNOWN


async def test_the_same_body_of_another_caller_or_path_is_served():
    document = gateway.configuration(
        tenants=[
            {'name': 'aswan', 'api_keys': [gateway.KEY]},
            {'name': 'luxor', 'api_keys': ['luxor-key']},
        ]
    )
    async with gateway.running((), document=document) as system:
        await start_engines(system)
        await crash_some(system, '/book/1')
        for engine in system.engines:
            engine.crash_body = None
        assert (await ask(system, target='/book/1')).status == 503
        other_path = await ask(system, target='/book/2')
        other_caller = await ask(system, target='/book/1', key='luxor-key')
    assert other_path.status == other_caller.status == 200


async def test_no_data_of_a_caller_is_stored_with_a_crash():
    async with gateway.running(()) as system:
        await start_engines(system)
        await crash_some(system, '/book/secret-path')
        items = system.store.store.items

        def stored():
            return [k for k in items if k.startswith('crashes/')]

        await processes.wait_for(stored, 'the request is stored')
        (key,) = stored()
        text = key.encode() + items[key].value
    for secret in (BAD, b'secret-path', gateway.KEY.encode(), b'aswan'):
        assert secret not in text
