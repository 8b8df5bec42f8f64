"""Machines are lost; the one that is left takes no new connection.

CLIENTS clients keep a connection open, each to one of HOSTS hosts, and send a
small request on it each PERIOD_S seconds. All hosts but one are killed and
don't come back. The clients that lost their connection open a new one.
"""

import asyncio
import os
import pathlib
import random
import resource
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_2 as lib  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HOSTS = 8
CLIENTS = 480
PERIOD_S = 6.0
CALM_S = 14.0
AFTER_S = 36.0
STABLE_S = lib.BOUNDS['stable_ms'] / 1000
MIN_CLIENTS = 7
DEADLINE_MS = 1500
READ_S = 0.5  # a third of the deadline; then a client gives the attempt up
LIMITS = {
    'cpu_share': 0.537, 'cores': 2, 'memory_mb': 150, 'max_fds': 4100,
    'link_mbps': 1000.0, 'disk_mb': 0,
}


class World:
    """What the clients and the platform's check have seen."""

    def __init__(self, deployment, record):
        self.deployment, self.record = deployment, record
        self.attempts = []  # new connections: at, address, client, taken
        self.checks = []  # at, whether the surviving host says it is ready
        self.answers = {}
        self.killed_at = None

    def count(self, status):
        self.answers[status] = self.answers.get(status, 0) + 1


async def resolve(world, failed):
    """Ask up to three hosts for addresses, as a client does."""
    hosts = random.sample(world.deployment.hosts, HOSTS)
    for host in hosts[:3]:
        try:
            status, body = await asyncio.wait_for(
                lib.fetch(host.directory, 'GET',
                          f'/resolve?name={lib.NAME}&region=punjab'
                          f'&zone={host.zone}', ['Connection: close']), 1.0)
        except (OSError, asyncio.TimeoutError, EOFError):
            continue
        if status == 200:
            return lib.json.loads(body)['addresses']
    return None


async def open_and_ask(world, number, address):
    """Open a connection and send the first request; None if not taken."""
    at = time.monotonic()
    taken, pair = False, None
    try:
        pair = await asyncio.wait_for(lib.connect(address), 1.0)
        _, fields = lib.caller_fields(DEADLINE_MS)
        status, _ = await asyncio.wait_for(
            lib.exchange(*pair, 'GET', f'/rug-status/{number}', fields),
            READ_S)
        taken = True
        world.count(status)
        return pair
    except asyncio.TimeoutError:
        world.count('not read' if pair else 'not connected')
        return None
    except (OSError, EOFError):
        taken = pair is not None  # the host closed it, so it had taken it
        world.count('failed')
        return None
    finally:
        world.attempts.append((at, address, number, taken))
        if world.killed_at:
            world.record.note(
                f'client {number} opens a connection to {address}: '
                f'{"taken" if taken else "not taken"}')
        if pair is not None and not taken:
            pair[1].close()


async def client(world, number):
    """Keep one connection open and send requests on it."""
    await asyncio.sleep(random.uniform(0, PERIOD_S))
    addresses, failed = None, {}
    while True:
        now = time.monotonic()
        failed = {a: t for a, t in failed.items() if now - t < 5.0}
        addresses = await resolve(world, failed) or addresses
        usable = [a for a in addresses or () if a not in failed]
        if not usable:
            # All that it knows have failed it; it tries again soon.
            failed = {}
            await asyncio.sleep(0.5)
            continue
        address = random.choice(usable)
        pair = await open_and_ask(world, number, address)
        if pair is None:
            failed[address] = time.monotonic()
            await asyncio.sleep(0.3)
            continue
        try:
            while True:
                await asyncio.sleep(random.uniform(0.9, 1.1) * PERIOD_S)
                _, fields = lib.caller_fields(DEADLINE_MS)
                status, _ = await asyncio.wait_for(
                    lib.exchange(
                        *pair, 'GET', f'/rug-status/{number}', fields),
                    DEADLINE_MS / 1000)
                world.count(status)
        except (OSError, EOFError, asyncio.TimeoutError):
            failed[address] = time.monotonic()
            world.count('cut')
        finally:
            pair[1].close()


async def check_ready(world, host):
    """Ask the surviving host once a second whether it is ready."""
    while True:
        ready = await host.is_ready()
        world.checks.append((time.monotonic(), ready))
        if world.killed_at:
            world.record.note(f'{host.name} says ready: {ready}')
        await asyncio.sleep(1.0)


def broken_span(world, host, begin, end):
    """Return a span of STABLE_S in which the rule is broken, or None."""
    at = begin
    while at + STABLE_S <= end:
        until = at + STABLE_S
        # The attempts have to be over within the span, too.
        tries = [a for a in world.attempts
                 if a[1] == host.front and at <= a[0] < until]
        ready = [r for t, r in world.checks if at - 1 <= t <= until + 1]
        if (len({a[2] for a in tries}) >= MIN_CLIENTS
                and not any(a[3] for a in tries) and ready and all(ready)):
            return at, len(tries), len({a[2] for a in tries})
        at += 0.25
    return None


async def main():
    record = lib.Record(FOLDER / 'record.txt')
    deployment = lib.Deployment(record, HOSTS, LIMITS)
    try:
        engines = [lib.Engine(f'i-{n}', 'yard-counter', z) for n, z in
                   enumerate(('sialkot', 'lahore', 'gujranwala', 'okara'))]
        for engine in engines:
            engine.work_s = 0.02
        routes = [lib.route('rug-status', 'idempotent', 'yard-counter',
                            1500, 125, attempts=2)]
        if not await deployment.start(routes, engines):
            record.note('the hosts did not become ready')
            return 2
        world = World(deployment, record)
        host = deployment.hosts[0]
        tasks = [asyncio.create_task(client(world, n))
                 for n in range(CLIENTS)]
        tasks.append(asyncio.create_task(check_ready(world, host)))
        await asyncio.sleep(CALM_S)
        record.note(f'before: {world.answers}')
        world.answers.clear()
        begin = world.killed_at = time.monotonic()
        if TROUBLE:
            for other in deployment.hosts[1:]:
                other.send(signal.SIGKILL)
            record.note(f'{HOSTS - 1} hosts are killed for good')
        await asyncio.sleep(AFTER_S)
        end = time.monotonic() - 1.5
        for task in tasks:
            task.cancel()
        record.note(f'after: {world.answers}')
        runs = sum(len(e.runs) for e in engines)
        record.note(f'engines ran {runs} requests')
        if host.process.poll() is not None:
            record.note('the surviving host has ended')
            return 2
        found = broken_span(world, host, begin + STABLE_S, end)
        tried = [a for a in world.attempts if a[1] == host.front
                 and begin + STABLE_S <= a[0] < end]
        record.note(f'new connections to {host.name} from {STABLE_S} s after'
                    f' the loss: {len(tried)}, taken '
                    f'{sum(a[3] for a in tried)}')
        if found is None:
            record.note('held')
            return 0
        record.note(
            f'broken: from {found[0] - begin:.2f} s after the loss '
            f'{host.name} said that it is ready and took none of {found[1]} '
            f'new connections of {found[2]} clients in {STABLE_S} s')
        return 1
    finally:
        deployment.end()


if __name__ == '__main__':
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 8192), hard))
    try:
        code = asyncio.run(main())
    except Exception as exc:  # the case could not run
        print(f'the case could not run: {exc!r}', file=sys.stderr)
        code = 2
    sys.exit(code)
