"""Tracks the engines of one service that this host uses."""

import collections.abc

from corianderloft._internal.decisions import engines
from corianderloft._internal.decisions import plugins
from corianderloft._internal.decisions import preferred_engines
from corianderloft._internal.decisions import routes
from corianderloft._internal.decisions import subsets
from corianderloft._internal.models import backends
from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids


class EngineSet:
    """Selects the engines for new work and this host's share of each.

    Attributes
    ----------
    engines : dict of EngineId to EngineView
        All known engines, including leaving ones.
    live : list of EngineView
        Engines to which this host may send new work.
    capacity : float
        Slots that this host may use now.
    """

    def __init__(
        self, limiter: plugins.Limiter, cfg: plugins.Settings
    ) -> None:
        self.engines: dict[ids.EngineId, engines.EngineView] = {}
        self.live: list[engines.EngineView] = []
        self.capacity = 0.0
        self.routes = routes.Routes(())
        self._workspace_routes: dict[ids.WorkspaceId, routes.Routes] = {}
        self._limiter = limiter
        self._subset = subsets.Subset(
            cfg.subset_above, cfg.subset_hosts_per_engine
        )
        self._own_host = ids.HostId('')
        self._hosts: tuple[ids.HostId, ...] = ()

    def use_limiter(self, limiter: plugins.Limiter) -> None:
        """Replace the limiter."""
        self._limiter = limiter
        self.refresh()

    def use_routes(
        self, declared: collections.abc.Iterable[catalog.SupplierRoute]
    ) -> None:
        """Replace the routes; requests in flight on old routes continue."""
        self.routes = routes.Routes(declared)
        self.refresh()

    def use_workspace_routes(
        self,
        overrides: collections.abc.Mapping[
            ids.WorkspaceId, routes.DeclaredRoutes
        ],
    ) -> None:
        """Replace the routes of workspaces that override the template."""
        if overrides or self._workspace_routes:
            self._workspace_routes = {
                name: routes.Routes(declared)
                for name, declared in overrides.items()
            }
            self.refresh()

    @property
    def has_workspace_routes(self) -> bool:
        """Whether some workspaces have routes of their own."""
        return bool(self._workspace_routes)

    def routes_of(self, workspace: ids.WorkspaceId) -> routes.Routes:
        """Return the routes of a workspace."""
        return self._workspace_routes.get(workspace, self.routes)

    def live_for(self, workspace: ids.WorkspaceId) -> list[engines.EngineView]:
        """Return the engines that may serve new requests of a workspace."""
        if not self.has_workspace_routes:
            return self.live
        allowed = self.routes_of(workspace)
        return [e for e in self.live if allowed.serves(e.backend)]

    def _serves(self, backend: backends.Backend) -> bool:
        return self.routes.serves(backend) or any(
            workspace_routes.serves(backend)
            for workspace_routes in self._workspace_routes.values()
        )

    def use_hosts(
        self, own_host: ids.HostId, live: tuple[ids.HostId, ...]
    ) -> None:
        """Replace the live hosts that share the engines."""
        self._own_host = own_host
        self._hosts = live
        self.refresh()

    def use_backends(
        self, current: collections.abc.Iterable[backends.Backend]
    ) -> None:
        """Replace the engines; those that remain keep their state."""
        previous = self.engines
        self.engines = {}
        for backend in current:
            view = previous.get(backend.engine_id)
            if view is None:
                view = engines.EngineView(backend)
            view.backend = backend
            self.engines[backend.engine_id] = view
        for engine_id in previous.keys() - self.engines.keys():
            previous[engine_id].listed = False
        self.refresh()

    def report_load(self, report: backends.LoadReport) -> None:
        """Process a load report of an engine."""
        engine = self.engines.get(report.engine_id)
        if engine is None:
            return
        engine.report = report
        engine.own_in_flight_at_report = engine.in_flight
        self._limiter.on_load_report(engine)
        self.capacity = self._limiter.capacity(self.live)

    def refresh(self) -> None:
        """Recompute the engines in use and this host's share of each."""
        usable = {
            engine_id: engine
            for engine_id, engine in self.engines.items()
            if engine.accepts_new_work and self._serves(engine.backend)
        }
        chosen = self._subset.choose(self._own_host, self._hosts, usable)
        self.live = [usable[engine_id] for engine_id in sorted(chosen)]
        sharing_hosts = self._hosts
        if len(chosen) < len(usable):
            sharing_hosts = ()
        fractions = preferred_engines.preferred_fractions(
            self._own_host, sharing_hosts, sorted(chosen)
        )
        for engine in self.live:
            engine.preferred_fraction = fractions.get(
                engine.backend.engine_id, 0.0
            )
        self._limiter.use_host_count(
            self._subset.hosts_per_engine(len(self._hosts), len(usable))
        )
        self.capacity = self._limiter.capacity(self.live)
