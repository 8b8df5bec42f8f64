"""Requests with a prompt part on which backend servers crash."""

import trio

from tests.lib import gateway
from tests.lib import processes

CRASHES_UNTIL_KNOWN = 5
SENDS_AFTER_KNOWN = 3
"""After this many crashes at most so many requests with the part may reach
backend servers; stated by the users' rules."""

LAST_PARTS = iter(range(10**9))


async def ask(system, *parts, target='/chat/1', cfg=None):
    """Send a streaming request whose prompt has the parts and a last one."""
    names = [*parts, f'{next(LAST_PARTS):x}']
    prefix = ','.join(f'{name}:300' for name in names)
    headers = [
        ('Corianderloft-Token-Usage', f'{300 * len(names)},20'),
        ('Corianderloft-Prefix-Hash', prefix),
    ]
    port = (cfg or system.cfg).caller_port
    return await gateway.fetch(port, 'POST', target, headers=headers)


async def start_engines(system, count):
    """Start backend servers that crash on the part ``bad``."""
    for _ in range(count):
        await system.add_engine('stream', crash_part='bad')

    async def served():
        return (await ask(system, 'first')).status == 200

    await processes.wait_for(served, 'the servers are known')


def sends_with_part(system, part='bad'):
    """Return the requests with a part that reached backend servers."""
    return sum(
        part in seen.headers.get('corianderloft-prefix-hash', '')
        for seen in system.runs()
    )


def hosts_listed(system):
    """Return the keys of the registered hosts."""
    return [k for k in system.store.store.items if k.startswith('hosts/')]


async def test_requests_with_a_part_that_crashes_servers_stop_reaching_them():
    async with gateway.running(()) as system:
        await start_engines(system, 14)
        for _ in range(CRASHES_UNTIL_KNOWN):
            await ask(system, 'route', 'session', 'bad')
            await ask(system, 'route')
        await trio.sleep(1.0)
        known = sends_with_part(system)
        refused = [
            await ask(system, 'route', f'other-{n}', 'bad') for n in range(8)
        ]
        sound = [await ask(system, 'route', 'session') for _ in range(8)]
        assert sends_with_part(system) - known <= SENDS_AFTER_KNOWN
    assert {response.status for response in sound} == {200}
    assert refused[-1].status == 503
    assert float(refused[-1].headers['retry-after']) > 0


async def test_hosts_tell_each_other_which_parts_crash_servers():
    async with gateway.running(()) as system:
        first = system.cfg
        await system.start_host('edge-2')
        second = system.cfg
        await start_engines(system, 14)
        await processes.wait_for(
            lambda: len(hosts_listed(system)) == 2, 'both are listed'
        )
        for number in range(CRASHES_UNTIL_KNOWN):
            cfg = second if number % 2 else first
            await ask(system, 'route', 'session', 'bad', cfg=cfg)
            await ask(system, 'route', cfg=cfg)
        await trio.sleep(1.0)
        known = sends_with_part(system)
        for _ in range(4):
            await ask(system, 'route', 'session', 'bad', cfg=first)
            await ask(system, 'route', 'session', 'bad', cfg=second)
        sound = await ask(system, 'route', 'session', cfg=first)
        assert sends_with_part(system) - known <= SENDS_AFTER_KNOWN
    assert sound.status == 200


async def test_a_restarted_host_knows_the_parts_that_crash_servers():
    async with gateway.running(()) as system:
        await start_engines(system, 14)
        for _ in range(CRASHES_UNTIL_KNOWN):
            await ask(system, 'route', 'session', 'bad')
            await ask(system, 'route')
        await trio.sleep(1.0)
        known = sends_with_part(system)
        system.kill_host()
        await system.start_host('edge-2')
        for _ in range(6):
            await ask(system, 'route', 'session', 'bad')
        assert sends_with_part(system) - known <= SENDS_AFTER_KNOWN


async def test_a_part_that_proves_sound_is_removed_from_the_store():
    async with gateway.running(()) as system:
        await start_engines(system, 14)
        items = system.store.store.items
        for _ in range(CRASHES_UNTIL_KNOWN):
            await ask(system, 'route', 'session', 'bad')
            await ask(system, 'route')
        await processes.wait_for(
            lambda: {'crashes/session', 'crashes/bad'} <= items.keys(),
            'both parts are stored',
        )
        sound = await ask(system, 'route', 'session')
        await processes.wait_for(
            lambda: 'crashes/session' not in items, 'the part is removed'
        )
        assert 'crashes/bad' in items
    assert sound.status == 200


async def test_crashes_are_stored_once_the_store_is_back():
    async with gateway.running(()) as system:
        await start_engines(system, 14)
        system.store.down = True
        for _ in range(CRASHES_UNTIL_KNOWN):
            await ask(system, 'route', 'bad')
            await ask(system, 'route')
        await trio.sleep(1.0)
        system.store.down = False
        await processes.wait_for(
            lambda: 'crashes/bad' in system.store.store.items,
            'the part is stored',
        )


async def test_an_unreadable_report_in_the_store_is_ignored():
    async with gateway.running(()) as system:
        await start_engines(system, 1)
        system.store.put('crashes/route', b'{"route": 3}')
        response = await ask(system, 'route')
    assert response.status == 200


async def test_requests_are_held_while_a_quarantine_settles():
    async with gateway.running(()) as system:
        await start_engines(system, 14)
        while sends_with_part(system) < 3:
            await ask(system, 'route', 'bad')
            await ask(system, 'route')
        crashed = sends_with_part(system)
        for _ in range(4):
            await ask(system, 'route', 'bad')
        assert sends_with_part(system) == crashed


async def test_a_restored_store_gets_the_stored_and_cleared_parts_again():
    async with gateway.running(()) as system:
        store = system.store
        store.era = 1
        await start_engines(system, 14)
        empty = store.store.copy()
        for _ in range(CRASHES_UNTIL_KNOWN):
            await ask(system, 'route', 'session', 'bad')
            await ask(system, 'route')
        await processes.wait_for(
            lambda: {'crashes/session', 'crashes/bad'}
            <= store.store.items.keys(),
            'both parts are stored',
        )
        both = store.store.copy()
        store.restore(empty)
        await processes.wait_for(
            lambda: 'crashes/bad' in store.store.items,
            'the part is stored again',
        )
        await ask(system, 'route', 'session')
        await processes.wait_for(
            lambda: 'crashes/session' not in store.store.items,
            'the cleared part is removed',
        )
        store.restore(both)
        assert 'crashes/session' in store.store.items
        await processes.wait_for(
            lambda: 'crashes/session' not in store.store.items,
            'the cleared part is removed again',
        )
        assert 'crashes/bad' in store.store.items
