"""Suppliers of a service: by order first, by weight inside an order."""

import collections.abc
import itertools

from corianderloft._internal.decisions import engines
from corianderloft._internal.models import backends
from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids

_Key = tuple[str, str]

Declared = collections.abc.Iterable[catalog.SupplierRoute]

_CATCH_UP = 1000.0
"""Most that a route which was away makes up for, in tokens a weight of 1."""


def _key(supplier: str, model: str) -> _Key:
    return supplier, model


class Routes:
    """Keeps new work on the routes that a template declares.

    Parameters
    ----------
    declared : iterable of SupplierRoute
        Routes of the template; one of weight 0 takes no new work.
    """

    def __init__(
        self, declared: collections.abc.Iterable[catalog.SupplierRoute]
    ) -> None:
        self._routes = {
            _key(route.supplier, route.model): route
            for route in declared
            if route.weight > 0
        }
        self._served = dict.fromkeys(self._routes, 0.0)

    def serves(self, backend: backends.Backend) -> bool:
        """Return whether a route gives this backend server new work."""
        return _key(backend.supplier, backend.model) in self._routes

    def prefer(
        self, candidates: list[engines.EngineView]
    ) -> list[engines.EngineView]:
        """Return the candidates of the route whose turn it is.

        That is the lowest order with room, and in it the route that was
        given the least for its weight.
        """
        if len(self._routes) < 2 or not candidates:
            return candidates
        by_route = {
            key: list(group)
            for key, group in itertools.groupby(
                sorted(candidates, key=_engine_key), key=_engine_key
            )
        }
        return by_route[min(by_route, key=self._turn)]

    def started(self, engine: engines.EngineView, cost: float) -> None:
        """Note work given to an engine."""
        key = _engine_key(engine)
        if key not in self._served:
            return
        self._served[key] += cost / self._routes[key].weight
        level = max(self._served.values()) - _CATCH_UP
        self._served = {k: max(s, level) for k, s in self._served.items()}

    def _turn(self, key: _Key) -> tuple[int, float]:
        route = self._routes[key]
        return route.order, self._served[key]


def _engine_key(engine: engines.EngineView) -> _Key:
    return _key(engine.backend.supplier, engine.backend.model)


def own_routes(
    workspaces: collections.abc.Iterable[catalog.Workspace],
) -> dict[ids.ServiceName, dict[ids.WorkspaceId, Declared]]:
    """Return the routes that parameters of workspaces change, by service."""
    found: dict[ids.ServiceName, dict[ids.WorkspaceId, Declared]] = {}
    for workspace in workspaces:
        for override in workspace.overrides:
            if override.routes:
                by_workspace = found.setdefault(override.service, {})
                by_workspace[workspace.workspace_id] = override.routes
    return found
