"""A host whose store comes back from an older copy."""

import contextlib
import dataclasses
import logging
import os
import signal

import orjson
import pytest
import trio

from tests.lib import gateway
from tests.lib import processes

APPLY_S = gateway.BOUNDS.apply_time


@contextlib.asynccontextmanager
async def running(era=1, **options):
    """Run a system whose store states its era."""
    async with gateway.running(start=False, **options) as system:
        system.store.era = era
        system.store.states_first_era = True
        await system.start_host()
        yield system


def declare(system, version, *prefixes, **changes):
    """Write declarations with the usual routes and ``prefixes``."""
    added = [
        dict(gateway.ROUTES[0], name=prefix, path_prefix=prefix)
        for prefix in prefixes
    ]
    document = gateway.configuration(
        version, routes=[*gateway.ROUTES, *added], **changes
    )
    system.store.put('op/config', document)


async def wait_served(system, target, status=200):
    """Wait until a request is answered with a status."""

    async def served():
        return (await system.request(target=target)).status == status

    await processes.wait_for(served, f'{target} gives {status}', APPLY_S)


async def test_change_at_a_revision_given_out_again_takes_effect():
    async with running() as system:
        copied = system.store.store.copy()
        for version in (2, 3, 4):
            declare(system, version, '/first/')
        await wait_served(system, '/first/1')
        system.store.restore(copied)
        revision = system.store.store.revision
        await trio.sleep(0.5)
        declare(system, 5, '/first/', '/second/')
        assert system.store.store.revision <= revision + 2
        await wait_served(system, '/second/1')


async def test_change_takes_effect_after_the_revisions_have_caught_up():
    async with running() as system:
        copied = system.store.store.copy()
        for version in (2, 3, 4, 5):
            declare(system, version, '/first/')
        await wait_served(system, '/first/1')
        await trio.sleep(1)
        system.store.down = True
        await trio.sleep(0.3)
        system.store.restore(copied)
        declare(system, 6, '/first/', '/second/')
        while system.store.store.revision < 9:
            system.store.put('servers/other', b'{}')
        system.store.down = False
        await wait_served(system, '/second/1')


async def test_store_is_not_read_without_end_after_it_was_restored():
    async with running() as system:
        copied = system.store.store.copy()
        for version in range(2, 9):
            declare(system, version, '/first/')
        await wait_served(system, '/first/1')
        await trio.sleep(1)
        system.store.restore(copied)
        await trio.sleep(1)
        system.store.calls.clear()
        await trio.sleep(2)
        assert system.store.calls['kv-range'] <= 1


async def test_server_that_came_in_the_lost_time_is_used():
    async with running(engines=()) as system:
        copied = system.store.store.copy()
        declare(system, 2)
        declare(system, 3)
        await system.add_engine('whole')
        await wait_served(system, '/look/1')
        gone = system.engines[0]
        system.store.restore(copied, rewrite=False)
        declare(system, 3)
        await system.add_engine('whole')
        system.store.remove(f'servers/{gone.engine_id}')

        async def used():
            await system.request()
            return bool(system.engines[1].seen)

        await processes.wait_for(used, 'the server is used', APPLY_S + 2.3)


async def test_key_revoked_after_the_restore_is_refused():
    async with running() as system:
        copied = system.store.store.copy()
        for version in (2, 3, 4, 5):
            declare(system, version, '/first/')
        await wait_served(system, '/first/1')
        await trio.sleep(1)
        system.store.restore(copied)
        await trio.sleep(0.3)
        declare(system, 6, tenants=[{'name': 'aswan', 'api_keys': ['new']}])
        await wait_served(system, '/look/1', 401)


async def test_older_declarations_of_the_copy_are_not_taken():
    async with running() as system:
        copied = system.store.store.copy()
        declare(system, 2, '/first/')
        await wait_served(system, '/first/1')
        system.store.restore(copied, rewrite=False)
        until = trio.current_time() + 2 * APPLY_S
        while trio.current_time() < until:
            answer = await system.request(target='/first/1')
            assert answer.status in (200, 503)
            await trio.sleep(0.05)


async def test_host_registers_again_after_the_restore():
    async with running() as system:
        key = f'hosts/{system.cfg.host_id}'
        await processes.wait_for(
            lambda: key in system.store.store.items, 'the host is registered'
        )
        entry = system.store.store.items[key]
        copied = system.store.store.copy()
        copied = (copied[0] - 1, *copied[1:])
        del copied[1][key]
        del copied[2][entry.lease_id]
        system.store.restore((*copied[:3], entry.lease_id))
        # Another host is given the ID of the lost lease.
        other = system.store.store.new_lease(60.0)
        assert other == entry.lease_id
        system.store.put('hosts/other', orjson.dumps({}), other)
        await processes.wait_for(
            lambda: key in system.store.store.items,
            'the host is registered again',
            2.3,
        )
        assert system.store.store.items[key].lease_id != other


async def test_host_that_stops_after_the_restore_removes_its_entry():
    async with running() as system:
        key = f'hosts/{system.cfg.host_id}'
        await processes.wait_for(
            lambda: key in system.store.store.items, 'the host is registered'
        )
        copied = system.store.store.copy()
        # The lease is lost, the entry is not.
        system.store.restore((*copied[:2], {}, copied[3]))
        system.store.store.items[key] = dataclasses.replace(
            system.store.store.items[key], lease_id=None
        )
        os.kill(os.getpid(), signal.SIGTERM)
        await system.host_done.wait()
        assert key not in system.store.store.items


async def test_host_that_starts_on_the_copy_honours_no_revoked_key():
    async with running() as system:
        copied = system.store.store.copy()
        declare(system, 2, tenants=[{'name': 'aswan', 'api_keys': ['new']}])
        await wait_served(system, '/look/1', 401)
        system.store.restore(copied, rewrite=False)
        key = f'hosts/{system.cfg.host_id}'
        await processes.wait_for(
            lambda: key in system.store.store.items, 'the host is registered'
        )
        cfg = await system.start_host('edge-2', wait=False)
        until = trio.current_time() + APPLY_S
        while trio.current_time() < until:
            answer = await gateway.fetch(cfg.caller_port, 'GET', '/look/1')
            assert answer is None or answer.status == 503
            await trio.sleep(0.05)
        declare(system, 2, tenants=[{'name': 'aswan', 'api_keys': ['new']}])
        await wait_served(system, '/look/1', 401)


@pytest.mark.parametrize('era', [0, 1])
async def test_server_of_the_copy_that_had_left_gets_no_requests(era, caplog):
    # A first era of 0 was taken for none, so the restore was not noticed.
    caplog.set_level(logging.INFO)
    async with running(era, engines=('whole', 'whole')) as system:
        left, other = system.engines
        await processes.wait_for(
            lambda: _reaches(system, left), 'it gets requests'
        )
        copied = system.store.store.copy()
        system.store.remove(f'servers/{left.engine_id}')

        def is_known():
            return any(
                record.message == 'backend server changed'
                and left.engine_id in record.key
                and record.entry == 'gone'
                for record in caplog.records
            )

        await processes.wait_for(is_known, 'the host knows that it left')
        count = len(left.seen)
        for _ in range(6):
            await system.request()
        assert len(left.seen) == count
        system.store.restore(copied, rewrite=False)
        until = trio.current_time() + APPLY_S / 2
        while trio.current_time() < until:
            assert (await system.request()).status == 200
        assert len(left.seen) == count
        assert len(other.seen) > count


async def _reaches(system, engine):
    await system.request()
    return bool(engine.seen)
