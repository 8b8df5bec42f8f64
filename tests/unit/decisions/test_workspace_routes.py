"""Tests of workspaces that override the routes of a service.

Guards against a request sent to a supplier that its workspace does not
use, and against one full supplier that blocks the other workspaces.
"""

import trio

from corianderloft._internal.decisions import dispatcher as dispatchers
from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests
from tests.lib import decisions as lib

SLOTS = 2


def _route(name: str) -> catalog.SupplierRoute:
    return catalog.SupplierRoute(
        ids.SupplierName(name), ids.ModelVersion('model')
    )


def _workspace(name: str, *suppliers: str) -> catalog.Workspace:
    routes = tuple(map(_route, suppliers))
    overrides = (
        (catalog.ServiceOverride(lib.SERVICE, (), routes),) if routes else ()
    )
    return catalog.Workspace(
        ids.WorkspaceId(name), (), (lib.SERVICE,), overrides=overrides
    )


def _dispatcher(
    *workspaces: catalog.Workspace,
) -> dispatchers.LocalDispatcher:
    """Return a dispatcher whose template routes to supplier ``one``."""
    dispatcher = lib.dispatcher(engines=0, limiter='slot_share')
    services = (lib.template(_route('one')),)
    dispatcher.use_catalog(
        catalog.Catalog(ids.Revision(2), services, workspaces)
    )
    dispatcher.use_backends(
        [
            lib.backend(number, SLOTS, supplier=name)
            for number, name in enumerate(['one', 'two'])
        ]
    )
    return dispatcher


async def _granted_supplier(
    dispatcher: dispatchers.LocalDispatcher, name: str
) -> str:
    grant = await lib.granted(dispatcher, lib.ticket(workspace=name))
    return grant.backend.supplier


async def test_each_workspace_uses_its_own_suppliers() -> None:
    dispatcher = _dispatcher(_workspace('a'), _workspace('b', 'two'))
    assert [
        await _granted_supplier(dispatcher, 'a') for _ in range(SLOTS)
    ] == ['one'] * 2
    assert [
        await _granted_supplier(dispatcher, 'b') for _ in range(SLOTS)
    ] == ['two'] * 2


async def test_full_supplier_does_not_block_other_workspaces() -> None:
    dispatcher = _dispatcher(_workspace('a'), _workspace('b', 'two'))
    for _ in range(SLOTS):
        await _granted_supplier(dispatcher, 'a')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_granted_supplier, dispatcher, 'a')
        await trio.testing.wait_all_tasks_blocked()
        with trio.fail_after(5):
            assert await _granted_supplier(dispatcher, 'b') == 'two'
        nursery.cancel_scope.cancel()


async def test_routes_without_engines_are_refused_at_once() -> None:
    dispatcher = _dispatcher(_workspace('b', 'three'))
    refused = await dispatcher.acquire(lib.ticket(workspace='b'))
    assert isinstance(refused, requests.Refused)
    assert refused.reason is reasons.RefusalReason.NO_BACKEND


async def test_removed_workspace_routes_no_longer_apply() -> None:
    dispatcher = _dispatcher(_workspace('b', 'two'))
    services = (lib.template(_route('one')),)
    without_overrides = (_workspace('b'),)
    dispatcher.use_catalog(
        catalog.Catalog(ids.Revision(3), services, without_overrides)
    )
    assert [
        await _granted_supplier(dispatcher, 'b') for _ in range(SLOTS)
    ] == ['one'] * 2
