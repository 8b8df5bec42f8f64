"""Tests that a workspace is served by its own parameters."""

import dataclasses

import orjson

from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from tests.lib import entry

MOST_TOKENS = 4


def _with_own_bound(current: catalog.Catalog) -> catalog.Catalog:
    """Return a catalog in which the first workspace may ask for less."""
    desk = current.services[0]
    bounded = dataclasses.replace(desk.classes[0], max_tokens=MOST_TOKENS)
    override = catalog.ServiceOverride(desk.name, (bounded,))
    first, *others = current.workspaces
    changed = dataclasses.replace(first, overrides=(override,))
    return dataclasses.replace(current, workspaces=(changed, *others))


async def test_a_workspace_has_the_classes_of_its_parameters() -> None:
    async with entry.running_host() as fixture:
        fixture.shared.catalog = _with_own_bound(fixture.shared.catalog)
        bounded = await entry.chat(fixture, 'stables')
        others = await entry.chat(fixture, 'cobblers')
    error = orjson.loads(bounded.body)['error']
    assert (bounded.status, error['reason']) == (400, 'bad_request')
    assert f'at most {MOST_TOKENS}' in error['detail']
    assert orjson.loads(others.body)['error']['reason'] == 'no_backend'


def test_parameters_leave_other_services_alone() -> None:
    current = _with_own_bound(entry.catalog_of())
    till = current.services[1]
    assert current.workspaces[0].apply(till) is till
    assert current.workspaces[0].workspace_id == ids.WorkspaceId('stables')
