"""Tests of workspace keys."""

from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from corianderloft._internal import security


def _workspace(name: str, *keys: str) -> catalog.Workspace:
    return catalog.Workspace(
        ids.WorkspaceId(name), tuple(map(security.hash_key, keys)), ()
    )


def test_key_finds_only_its_own_workspace() -> None:
    first_key, second_key = security.new_key(), security.new_key()
    first, second = _workspace('a', first_key), _workspace('b', second_key)
    index = security.KeyIndex([first, second])
    assert index.find(first_key) is first
    assert index.find(second_key) is second
    assert index.find(security.new_key()) is None
    assert index.find(security.hash_key(first_key)) is None


def test_key_rotation() -> None:
    old, new = security.new_key(), security.new_key()
    index = security.KeyIndex([_workspace('a', old)])
    index.put(_workspace('a', old, new))
    assert index.find(old) is not None
    assert index.find(new) is not None
    index.put(_workspace('a', new))
    assert index.find(old) is None
    index.remove(ids.WorkspaceId('a'))
    assert index.find(new) is None


def test_malformed_keys_find_nothing() -> None:
    index = security.KeyIndex([_workspace('a', security.new_key())])
    assert index.find('') is None
    assert index.find('\udc80') is None
    assert index.find('x' * 10_000_000) is None
