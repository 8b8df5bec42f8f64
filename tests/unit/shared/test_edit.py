"""Tests for edits of the stored configuration."""

import trio

from corianderloft._internal.kv import interface as kv
from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from corianderloft._internal.models import states
from corianderloft._internal.shared import changes
from corianderloft._internal.shared.configuration import edit
from tests.lib import fake_kv


def workspace(name, *services):
    return catalog.Workspace(ids.WorkspaceId(name), (), services)


def change(name='desk', *workspaces):
    template = catalog.ServiceTemplate(name, states.ServiceKind.PLAIN, (), ())
    return changes.ConfigurationChange((template,), (), workspaces)


async def test_put_then_remove():
    client = fake_kv.FakeKv()
    first = await edit.submit_change(
        client, change('desk', workspace('w1', 'desk')), 0, 'c1', 'ann'
    )
    stored = await edit.read_configuration(client)
    assert stored.revision == first.revision
    assert stored.catalog.service('desk')
    assert [w.workspace_id for w in stored.catalog.workspaces] == ['w1']
    removal = changes.ConfigurationChange(
        services_removed=('desk', 'absent'), workspaces_removed=('w1',)
    )
    second = await edit.submit_change(
        client, removal, first.revision, 'c2', 'ann'
    )
    stored = await edit.read_configuration(client)
    assert stored.catalog == catalog.Catalog(second.revision)
    history = await edit.read_history(client, 10)
    assert [r.change_id for r in history] == ['c2', 'c1']


async def test_conflict_identifies_the_first_change():
    client = fake_kv.FakeKv()
    first = await edit.submit_change(client, change('a'), 0, 'c1', 'ann')
    second = await edit.submit_change(client, change('b'), 0, 'c2', 'bob')
    assert second == changes.EditConflict(first.revision, 'c1', 'ann')


async def test_change_with_lost_reply_is_accepted_once(autojump_clock):
    client = fake_kv.FakeKv()
    client.lose_replies = 1
    first = await edit.submit_change(client, change('a'), 0, 'c1', 'ann')
    assert isinstance(first, changes.Accepted)
    repeated = await edit.submit_change(client, change('a'), 0, 'c1', 'ann')
    assert repeated == first
    assert client.store.revision == first.revision


async def test_change_with_lost_reply_is_found_after_another_edit(
    autojump_clock,
):
    client = fake_kv.FakeKv()
    client.lose_replies = 1
    other = fake_kv.FakeKv(client.store)
    results = {}

    async def submit_with_lost_reply():
        results['a'] = await edit.submit_change(
            client, change('a'), 0, 'c1', 'ann'
        )

    async def submit_other_change():
        await trio.sleep(edit.INITIAL_BACKOFF_S / 2)
        stored = await edit.read_configuration(other)
        results['b'] = await edit.submit_change(
            other, change('b'), stored.revision, 'c2', 'bob'
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(submit_with_lost_reply)
        nursery.start_soon(submit_other_change)
    assert isinstance(results['a'], changes.Accepted)
    assert results['b'].revision > results['a'].revision


async def test_stale_read_of_a_shard_loses_no_update(autojump_clock):
    client = fake_kv.FakeKv()
    first = await edit.submit_change(
        client, change('a', workspace('w1', 'a')), 0, 'c1', 'ann'
    )
    second = await edit.submit_change(
        client,
        change('a', workspace('w1', 'a', 'b')),
        first.revision,
        'c2',
        'ann',
    )
    client.stale_reads = 2
    third = await edit.submit_change(
        client, change('a', workspace('w1')), second.revision, 'c3', 'ann'
    )
    assert isinstance(third, changes.Accepted)
    assert client.store.revision == third.revision


async def test_outage_gives_unavailable_and_lost_requests_give_unknown(
    autojump_clock,
):
    client = fake_kv.FakeKv()
    client.down = True
    outcome = await edit.submit_change(client, change('a'), 0, 'c1', 'ann')
    assert isinstance(outcome, kv.Unavailable)
    client.down = False
    client.lose_requests = 100
    outcome = await edit.submit_change(client, change('a'), 0, 'c1', 'ann')
    assert isinstance(outcome, kv.Unknown)


def test_split_parts_fit_into_one_transaction():
    workspaces = tuple(workspace(f'w{i}') for i in range(3000))
    parts = edit.split_change(change('a', *workspaces))
    put = [w for part in parts for w in part.workspaces_put]
    assert sorted(put, key=repr) == sorted(workspaces, key=repr)
    assert all(
        len(edit.layout.changed_keys(part)) <= edit.MAX_KEYS_PER_TRANSACTION
        for part in parts
    )
