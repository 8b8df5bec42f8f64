"""Tests that the parameters of a workspace override the template."""

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

MAX_TOKENS = 4
OVERRIDDEN_TARGET_S = 0.25


def _with_token_limit(current: catalog.Catalog) -> catalog.Catalog:
    """Return a catalog with a lower limit for the first workspace."""
    desk = current.services[0]
    bounded = dataclasses.replace(desk.classes[0], max_tokens=MAX_TOKENS)
    override = catalog.ServiceOverride(desk.name, (bounded,))
    first, *others = current.workspaces
    changed = dataclasses.replace(first, overrides=(override,))
    return dataclasses.replace(current, workspaces=(changed, *others))


async def test_workspace_parameters_override_class_limits() -> None:
    async with entry.running_host() as fixture:
        fixture.shared.catalog = _with_token_limit(fixture.shared.catalog)
        bounded = await entry.chat(fixture, 'stables')
        others = await entry.chat(fixture, 'cobblers')
    error = orjson.loads(bounded.body)['error']
    assert (bounded.status, error['reason']) == (400, 'bad_request')
    assert f'at most {MAX_TOKENS}' in error['detail']
    assert orjson.loads(others.body)['error']['reason'] == 'no_backend'


def test_parameters_do_not_affect_other_services() -> None:
    current = _with_token_limit(entry.catalog_of())
    till = current.services[1]
    assert current.workspaces[0].apply(till) is till
    assert current.workspaces[0].workspace_id == ids.WorkspaceId('stables')


def _ticket(workspace: catalog.Workspace) -> requests.Ticket:
    """Return the ticket of a request from a workspace."""
    service = workspace.apply(decisions.template())
    origin = calls.Origin(workspace, service, service.classes[0], 'r1')
    checked = checks.check_chat_body(origin, orjson.dumps(entry.BODY))
    assert isinstance(checked, calls.ChatCall)
    return checked.ticket


async def test_workspace_parameters_override_the_first_token_target() -> None:
    template = decisions.template()
    declared = template.classes[0]
    own = dataclasses.replace(declared, first_token_target=OVERRIDDEN_TARGET_S)
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
    assert waits == pytest.approx(
        [OVERRIDDEN_TARGET_S, declared.first_token_target]
    )
