"""Routes of a service to suppliers: by order, then by weight."""

import collections.abc
import itertools

from corianderloft._internal.decisions import engines
from corianderloft._internal.models import backends
from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids

_RouteKey = tuple[str, str]

DeclaredRoutes = collections.abc.Iterable[catalog.SupplierRoute]

_MAX_CATCH_UP_TOKENS = 1000.0
"""Largest deficit that an unavailable route can catch up on later.

In tokens for a weight of 1.
"""


def _route_key(supplier: str, model: str) -> _RouteKey:
    return supplier, model


class Routes:
    """Distributes new work over declared routes.

    Parameters
    ----------
    declared : iterable of SupplierRoute
        Declared routes; a route of weight 0 receives no new work.
    """

    def __init__(
        self, declared: collections.abc.Iterable[catalog.SupplierRoute]
    ) -> None:
        self._routes = {
            _route_key(route.supplier, route.model): route
            for route in declared
            if route.weight > 0
        }
        self._served_cost = dict.fromkeys(self._routes, 0.0)

    def serves(self, backend: backends.Backend) -> bool:
        """Return whether a route sends new work to a backend server."""
        return _route_key(backend.supplier, backend.model) in self._routes

    def next_in_turn(
        self, candidates: list[engines.EngineView]
    ) -> list[engines.EngineView]:
        """Return the candidates of the route that is next in turn.

        This is the route with the lowest order among the candidates and,
        within that order, the least served cost per weight.
        """
        if len(self._routes) < 2 or not candidates:
            return candidates
        by_route = {
            key: list(group)
            for key, group in itertools.groupby(
                sorted(candidates, key=_route_key_of), key=_route_key_of
            )
        }
        return by_route[min(by_route, key=self._sort_key)]

    def on_started(self, engine: engines.EngineView, cost: float) -> None:
        """Count the cost of a request sent to an engine."""
        key = _route_key_of(engine)
        if key not in self._served_cost:
            return
        self._served_cost[key] += cost / self._routes[key].weight
        floor = max(self._served_cost.values()) - _MAX_CATCH_UP_TOKENS
        self._served_cost = {
            k: max(s, floor) for k, s in self._served_cost.items()
        }

    def _sort_key(self, key: _RouteKey) -> tuple[int, float]:
        route = self._routes[key]
        return route.order, self._served_cost[key]


def _route_key_of(engine: engines.EngineView) -> _RouteKey:
    return _route_key(engine.backend.supplier, engine.backend.model)


def workspace_routes(
    workspaces: collections.abc.Iterable[catalog.Workspace],
) -> dict[ids.ServiceName, dict[ids.WorkspaceId, DeclaredRoutes]]:
    """Return the routes that workspaces override, by service."""
    by_service: dict[
        ids.ServiceName, dict[ids.WorkspaceId, DeclaredRoutes]
    ] = {}
    for workspace in workspaces:
        for override in workspace.overrides:
            if override.routes:
                by_workspace = by_service.setdefault(override.service, {})
                by_workspace[workspace.workspace_id] = override.routes
    return by_service
