"""Shared state of host processes through kills, pauses and outages.

After each fault all hosts must agree on the live hosts and the configuration
revision, and no host may return to an older revision.
"""

import contextlib
import json
import signal

import httpcore
import pytest
import trio

from bench.control import fleet as fleets
from corianderloft._internal.models import catalog
from corianderloft._internal.models import states
from corianderloft._internal.shared import changes
from corianderloft._internal.shared.configuration import edit

HOST_COUNT = 4
PAUSE_S = 10.0


@contextlib.asynccontextmanager
async def running():
    async with trio.open_nursery() as nursery:
        fleet = fleets.Fleet(nursery)
        try:
            await fleet.start_kv()
            for number in range(HOST_COUNT):
                await fleet.start_node(f'h{number}', number)
            await until_known(fleet, lambda k: len(k['live']) == HOST_COUNT)
            yield fleet
        finally:
            fleet.kill_all()
            nursery.cancel_scope.cancel()


async def until_known(fleet, holds):
    await fleet.wait_until(
        lambda: all(
            node.known and holds(node.known[-1][1])
            for node in fleet.nodes.values()
        )
    )


async def set_faults(fleet, **faults):
    async with httpcore.AsyncConnectionPool() as pool:
        reply = await pool.request(
            'POST',
            f'{fleet.endpoint}/control/faults',
            content=json.dumps(faults).encode(),
        )
    assert reply.status == 200


async def submit(fleet, change_id, expected, name='desk'):
    template = catalog.ServiceTemplate(name, states.ServiceKind.PLAIN, (), ())
    return await edit.submit_change(
        fleet.kv,
        changes.ConfigurationChange((template,)),
        expected,
        change_id,
        'ann',
    )


def reverted(fleet):
    rows = [[k['revision'] for _, k in n.known] for n in fleet.nodes.values()]
    return any(row != sorted(row) for row in rows)


@pytest.mark.timeout(120)
async def test_change_with_a_killed_and_a_paused_host():
    async with running() as fleet:
        first = await submit(fleet, 'c1', 0)
        await until_known(fleet, lambda k: k['revision'] == first.revision)
        paused = fleet.nodes.pop('h1')
        paused.process.send_signal(signal.SIGSTOP)
        await fleet.kill('h2')
        second = await submit(fleet, 'c2', first.revision)
        await until_known(
            fleet,
            lambda k: k['live'] == ['h0', 'h3']
            and k['revision'] == second.revision,
        )
        await trio.sleep(PAUSE_S)
        paused.process.send_signal(signal.SIGCONT)
        fleet.nodes['h1'] = paused
        await until_known(
            fleet,
            lambda k: k['live'] == ['h0', 'h1', 'h3']
            and k['revision'] == second.revision,
        )
        assert not reverted(fleet)


@pytest.mark.timeout(120)
async def test_change_after_a_store_outage():
    async with running() as fleet:
        first = await submit(fleet, 'c1', 0)
        await until_known(fleet, lambda k: k['revision'] == first.revision)
        await set_faults(fleet, outage='refuse')
        await fleet.kill('h2')
        await until_known(fleet, lambda k: len(k['live']) == HOST_COUNT - 1)
        await set_faults(fleet, outage='none', read_age=3.0)
        second = await submit(fleet, 'c2', first.revision)
        while not isinstance(second, changes.Accepted):
            second = await submit(fleet, 'c2', first.revision)
        await until_known(fleet, lambda k: k['revision'] == second.revision)
        assert not reverted(fleet)


@pytest.mark.timeout(120)
async def test_concurrent_edits_with_a_lost_reply():
    async with running() as fleet:
        await set_faults(fleet, lose_replies=1)
        results = {}

        async def operate(change_id):
            results[change_id] = await submit(fleet, change_id, 0, change_id)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(operate, 'c1')
            nursery.start_soon(operate, 'c2')
        kinds = {type(result) for result in results.values()}
        assert kinds == {changes.Accepted, changes.EditConflict}
        accepted = next(
            result
            for result in results.values()
            if isinstance(result, changes.Accepted)
        )
        await until_known(fleet, lambda k: k['revision'] == accepted.revision)
        stored = await edit.read_configuration(fleet.kv)
        assert len(stored.catalog.services) == 1
