"""Tests that a workspace's own routes are kept."""

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
    own = tuple(map(_route, suppliers))
    overrides = (catalog.ServiceOverride(lib.SERVICE, (), own),) if own else ()
    return catalog.Workspace(
        ids.WorkspaceId(name), (), (lib.SERVICE,), overrides=overrides
    )


def _dispatcher(
    *workspaces: catalog.Workspace,
) -> dispatchers.LocalDispatcher:
    """Return a dispatcher whose template routes to supplier ``one``."""
    made = lib.dispatcher(engines=0, limiter='slot_share')
    services = (lib.template(_route('one')),)
    made.use_catalog(catalog.Catalog(ids.Revision(2), services, workspaces))
    made.use_backends(
        [
            lib.backend(number, SLOTS, supplier=name)
            for number, name in enumerate(['one', 'two'])
        ]
    )
    return made


async def _supplier(made: dispatchers.LocalDispatcher, name: str) -> str:
    grant = await lib.granted(made, lib.ticket(workspace=name))
    return grant.backend.supplier


async def test_each_workspace_is_served_by_its_own_suppliers() -> None:
    made = _dispatcher(_workspace('a'), _workspace('b', 'two'))
    assert [await _supplier(made, 'a') for _ in range(SLOTS)] == ['one'] * 2
    assert [await _supplier(made, 'b') for _ in range(SLOTS)] == ['two'] * 2


async def test_a_full_supplier_does_not_block_other_workspaces() -> None:
    made = _dispatcher(_workspace('a'), _workspace('b', 'two'))
    for _ in range(SLOTS):
        await _supplier(made, 'a')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_supplier, made, 'a')
        await trio.testing.wait_all_tasks_blocked()
        with trio.fail_after(5):
            assert await _supplier(made, 'b') == 'two'
        nursery.cancel_scope.cancel()


async def test_a_supplier_without_engines_is_told_at_once() -> None:
    made = _dispatcher(_workspace('b', 'three'))
    refused = await made.acquire(lib.ticket(workspace='b'))
    assert isinstance(refused, requests.Refused)
    assert refused.reason is reasons.RefusalReason.NO_BACKEND


async def test_own_routes_end_with_their_declaration() -> None:
    made = _dispatcher(_workspace('b', 'two'))
    services = (lib.template(_route('one')),)
    plain = (_workspace('b'),)
    made.use_catalog(catalog.Catalog(ids.Revision(3), services, plain))
    assert [await _supplier(made, 'b') for _ in range(SLOTS)] == ['one'] * 2
