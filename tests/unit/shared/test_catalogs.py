"""Tests for `catalogs.CatalogView`."""

import pytest

from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from corianderloft._internal import security
from corianderloft._internal.shared.configuration import catalogs
from corianderloft._internal.shared.configuration import layout
from corianderloft._internal.shared import mirror

KEY = security.new_key()


def _entry(
    shard: str, revision: int, *workspaces: catalog.Workspace
) -> mirror.Entry:
    value = layout.SHARD.dump_json(workspaces)
    key = layout.SHARD_PREFIX + shard
    return mirror.Entry(key, value, ids.Revision(revision))


def _workspace(name: str, *keys: str) -> catalog.Workspace:
    hashes = tuple(map(security.hash_key, keys))
    return catalog.Workspace(ids.WorkspaceId(name), hashes, ())


@pytest.mark.parametrize('new_owner_first', [True, False])
def test_key_can_move_to_another_workspace(new_owner_first: bool) -> None:
    view = catalogs.CatalogView()
    view.apply(ids.Revision(1), [_entry('0001', 1, _workspace('a', KEY))])
    moved = [
        _entry('0002', 2, _workspace('b', KEY)),
        _entry('0001', 2, _workspace('a')),
    ]
    view.apply(ids.Revision(2), moved if new_owner_first else moved[::-1])
    found = view.workspace_by_key(KEY)
    assert found is not None and found.workspace_id == 'b'
