"""Tests for a single host that has only the key-value service."""

import types

import orjson
import pytest
import trio
import trio.testing

from corianderloft._internal.kv import eras
from corianderloft._internal.kv import interface as kv
from corianderloft._internal.models import catalog
from corianderloft._internal.models import states
from corianderloft._internal import security
from corianderloft._internal.settings import root
from corianderloft._internal.shared import changes
from corianderloft._internal.shared.configuration import edit
from corianderloft._internal.shared import interface
from corianderloft._internal.shared.peers import messages
from corianderloft._internal.shared import start
from tests.lib import fake_kv

HOST = interface.Host('h1', 1, '127.0.0.1', 80, 81, 'fd-1')


@pytest.fixture
async def client(autojump_clock):
    return fake_kv.FakeKv()


@pytest.fixture
async def shared(client, nursery):
    settings = root.Settings(host={'host_id': 'h1'})
    return await nursery.start(start.run_shared, settings, client, HOST)


def put(client, key, value):
    return client.transact([], [kv.Put(key, orjson.dumps(value))])


async def test_applies_configuration_and_platform_lists(
    client, shared, autojump_clock
):
    assert not shared.configuration_fresh()
    workspace = catalog.Workspace('w1', (security.hash_key('k'),), ('desk',))
    template = catalog.ServiceTemplate(
        'desk', states.ServiceKind.MODEL, (), ()
    )
    accepted = await edit.submit_change(
        client,
        changes.ConfigurationChange((template,), (), (workspace,)),
        0,
        'c1',
        'ann',
    )
    with trio.fail_after(60):
        while shared.current_catalog().revision != accepted.revision:
            await shared.wait_change(0)
            await trio.sleep(0.1)
    assert shared.workspace_by_key('k') == workspace
    assert shared.configuration_fresh()
    backend = {
        'engine_id': 'e1',
        'service': 'desk',
        'supplier': 's',
        'model': 'm',
        'address': '127.0.0.1',
        'port': 1,
        'failure_domain': 'fd-1',
    }
    await put(client, 'platform/backends/e1', backend)
    with trio.fail_after(60):
        while not shared.current_backends():
            await trio.sleep(0.1)
    await put(client, 'platform/backends/e1', {**backend, 'state': 'leaving'})
    with trio.fail_after(60):
        while (
            shared.current_backends()[0].state
            is not states.BackendState.LEAVING
        ):
            await trio.sleep(0.1)


async def test_repeated_claim_gets_the_stored_response(
    client, shared, autojump_clock
):
    first = await shared.claim('w', 's', 'k', 'hash')
    assert isinstance(first, interface.Claimed)
    repeated = await shared.claim('w', 's', 'k', 'hash')
    assert repeated.reason.value == 'claim_in_progress'
    await shared.finish_claim(first, 200, 'text/plain', b'booked')
    done = await shared.claim('w', 's', 'k', 'hash')
    assert done == interface.AlreadyDone(200, 'text/plain', b'booked')
    other = await shared.claim('w', 's', 'k', 'another')
    assert other.reason.value == 'key_reused'


async def test_default_peer_keys_cause_a_warning(shared, caplog):
    assert 'peers.keys is not set' in caplog.text


async def test_service_is_called_when_a_peer_knows_of_a_restore(
    client, shared, autojump_clock
):
    await trio.sleep(0.1)
    client.store.calls.clear()
    told = types.SimpleNamespace(
        configuration=eras.qualify(1, 5), platform=eras.qualify(0, 0)
    )
    shared.on_message(messages.Address('127.0.0.1', 9), told)
    # Before time passes: a failed fetch from the peer leads to a call later.
    await trio.testing.wait_all_tasks_blocked()
    assert client.store.calls['transact'] == 1
