"""Prompt parts that crash backend servers, with real host processes."""

import itertools

import orjson
import trio

from tests.lib import gateway
from tests.lib import processes
from tests.soak import environment

CRASHES_UNTIL_KNOWN = 5
SENDS_AFTER_KNOWN = 3
"""After this many crashes at most so many requests with the part may reach
backend servers; stated by the users' rules."""

LAST_PARTS = itertools.count()


async def ask(host, *parts):
    """Send a streaming request whose prompt has the parts and a last one."""
    names = [*parts, f'{next(LAST_PARTS):x}']
    return await gateway.fetch(
        host.port,
        'POST',
        '/chat/1',
        key='key-0',
        headers=[
            ('Corianderloft-Token-Usage', f'{300 * len(names)},20'),
            (
                'Corianderloft-Prefix-Hash',
                ','.join(f'{name}:300' for name in names),
            ),
        ],
    )


class DirectEnvironment(environment.Environment):
    """Hosts connect to the servers, whose crashes relays would hide."""

    def register(self, number, state='ready'):
        """Write the registration of a backend server."""
        engine = self.engines[number]
        entry = {
            'service': 'desk',
            'address': f'127.0.0.1:{engine.port}',
            'zone': 'cairo-a',
            'slots': 8,
            'state': state,
            'born': 1000,
        }
        self.store.put(f'servers/{engine.engine_id}', orjson.dumps(entry))


def crashes(env):
    return sum(engine.crashed for engine in env.engines)


async def wait_served(env):
    """Wait until every host serves a sound request."""

    async def served():
        answers = [await ask(host, 'route') for host in env.hosts]
        return all(a is not None and a.status == 200 for a in answers)

    await processes.wait_for(served, 'all hosts serve')


async def test_harmful_parts_are_known_after_all_hosts_were_killed(tmp_path):
    env = DirectEnvironment(tmp_path, hosts=3, engines=16)
    for engine in env.engines:
        engine.crash_part = 'bad'
    async with trio.open_nursery() as nursery:
        try:
            await env.start(nursery)
            await wait_served(env)
            for number in range(CRASHES_UNTIL_KNOWN):
                await ask(env.hosts[number % 3], 'route', 'session', 'bad')
                await ask(env.hosts[number % 3], 'route')
            await processes.wait_for(
                lambda: 'crashes/bad' in env.store.store.items,
                'the part is stored',
            )
            known = crashes(env)
            for host in env.hosts:
                host.end()
            for host in env.hosts:
                host.start()
            for host in env.hosts:
                assert await env.wait_ready(host)
            for _ in range(4):
                for host in env.hosts:
                    await ask(host, 'route', 'session', 'bad')
            assert known <= CRASHES_UNTIL_KNOWN
            assert crashes(env) - known <= SENDS_AFTER_KNOWN
            await wait_served(env)
        finally:
            env.end()
            nursery.cancel_scope.cancel()
