"""Tests of routes to suppliers by order and weight."""

import collections

from corianderloft._internal.decisions import interface
from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from tests.lib import decisions as lib


def _route(name: str, weight: int = 1, order: int = 0) -> object:
    return catalog.SupplierRoute(
        ids.SupplierName(name), ids.ModelVersion('model'), weight, order
    )


async def _count_by_supplier(
    dispatcher: object, count: int
) -> collections.Counter[str]:
    served: collections.Counter[str] = collections.Counter()
    for _ in range(count):
        grant = await lib.granted(dispatcher, lib.ticket())
        served[grant.backend.supplier] += 1
        grant.progress(25)
        grant.close(interface.AttemptEnd.COMPLETE)
    return served


def _dispatcher(*routes: object) -> object:
    dispatcher = lib.dispatcher(engines=0)
    _use_routes(dispatcher, *routes)
    dispatcher.use_backends(
        [
            lib.backend(n, supplier=name)
            for n, name in enumerate(['one', 'one', 'two'])
        ]
    )
    return dispatcher


def _use_routes(dispatcher: object, *routes: object) -> None:
    template = lib.template(*routes)
    dispatcher.use_catalog(catalog.Catalog(ids.Revision(2), (template,)))


async def test_weights_split_work_within_an_order() -> None:
    dispatcher = _dispatcher(_route('one', 1), _route('two', 3))
    served = await _count_by_supplier(dispatcher, 40)
    assert abs(served['two'] - 30) <= 1


async def test_lowest_order_is_used_until_it_is_full() -> None:
    dispatcher = _dispatcher(_route('one'), _route('two', order=1))
    assert set(await _count_by_supplier(dispatcher, 10)) == {'one'}
    for _ in range(8):
        await lib.granted(dispatcher, lib.ticket())
    assert set(await _count_by_supplier(dispatcher, 2)) == {'two'}


async def test_route_change_moves_only_new_work() -> None:
    dispatcher = _dispatcher(_route('one'))
    running = await lib.granted(dispatcher, lib.ticket())
    _use_routes(dispatcher, _route('one', weight=0), _route('two'))
    assert set(await _count_by_supplier(dispatcher, 5)) == {'two'}
    running.close(interface.AttemptEnd.COMPLETE)
