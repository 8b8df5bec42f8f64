"""Tests that a workspace is served by its own parameters."""

import dataclasses

import orjson
import pytest

from corianderloft._internal.decisions import grants
from corianderloft._internal.entry import calls
from corianderloft._internal.entry import checks
from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from corianderloft._internal.models import requests
from tests.lib import decisions
from tests.lib import entry

MOST_TOKENS = 4
OWN_TARGET = 0.25


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


def _ticket(workspace: catalog.Workspace) -> requests.Ticket:
    """Return what the decisions know of a request of a workspace."""
    service = workspace.apply(decisions.template())
    origin = calls.Origin(workspace, service, service.classes[0], 'r1')
    checked = checks.chat_body(origin, orjson.dumps(entry.BODY))
    assert isinstance(checked, calls.ChatCall)
    return checked.ticket


async def test_a_workspace_waits_by_its_own_first_token_target() -> None:
    template = decisions.template()
    declared = template.classes[0]
    own = dataclasses.replace(declared, first_token_target=OWN_TARGET)
    workspaces = tuple(
        catalog.Workspace(
            ids.WorkspaceId(name),
            (),
            (decisions.SERVICE,),
            overrides=(catalog.ServiceOverride(decisions.SERVICE, classes),),
        )
        for name, classes in (('own', (own,)), ('plain', ()))
    )
    made = decisions.dispatcher()
    made.use_catalog(catalog.Catalog(ids.Revision(2), (template,), workspaces))
    waits = []
    for workspace in workspaces:
        grant = await decisions.granted(made, _ticket(workspace))
        assert isinstance(grant, grants.AttemptGrant)
        waiter = grant.waiter
        waits.append(waiter.start_target - waiter.ticket.arrived)
    assert waits == pytest.approx([OWN_TARGET, declared.first_token_target])
