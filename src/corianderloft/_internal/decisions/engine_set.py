"""The engines of one service that one host uses."""

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
    """Which engines take new work, and how much of each is this host's.

    Attributes
    ----------
    engines : dict of EngineId to EngineView
        All known engines, leaving ones included.
    live : list of EngineView
        Those that this host may give new work.
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
        self._own_routes: dict[ids.WorkspaceId, routes.Routes] = {}
        self._limiter = limiter
        self._subset = subsets.Subset(
            cfg.subset_above, cfg.subset_hosts_per_engine
        )
        self._own = ids.HostId('')
        self._hosts: tuple[ids.HostId, ...] = ()

    def use_limiter(self, limiter: plugins.Limiter) -> None:
        """Replace the limiter."""
        self._limiter = limiter
        self.refresh()

    def use_routes(
        self, declared: collections.abc.Iterable[catalog.SupplierRoute]
    ) -> None:
        """Replace the routes; what runs elsewhere runs to its end."""
        self.routes = routes.Routes(declared)
        self.refresh()

    def use_own_routes(
        self, own: collections.abc.Mapping[ids.WorkspaceId, routes.Declared]
    ) -> None:
        """Replace the routes of workspaces that do not use the template's."""
        if own or self._own_routes:
            self._own_routes = {
                name: routes.Routes(declared) for name, declared in own.items()
            }
            self.refresh()

    @property
    def differs(self) -> bool:
        """Whether some workspaces may use other engines than the rest."""
        return bool(self._own_routes)

    def routes_of(self, workspace: ids.WorkspaceId) -> routes.Routes:
        """Return the routes that a workspace uses."""
        return self._own_routes.get(workspace, self.routes)

    def live_for(self, workspace: ids.WorkspaceId) -> list[engines.EngineView]:
        """Return the engines that may be given work of a workspace."""
        if not self.differs:
            return self.live
        used = self.routes_of(workspace)
        return [e for e in self.live if used.serves(e.backend)]

    def _serves(self, backend: backends.Backend) -> bool:
        return self.routes.serves(backend) or any(
            own.serves(backend) for own in self._own_routes.values()
        )

    def use_hosts(self, own: ids.HostId, live: tuple[ids.HostId, ...]) -> None:
        """Note which live hosts share the engines."""
        self._own = own
        self._hosts = live
        self.refresh()

    def use_backends(
        self, current: collections.abc.Iterable[backends.Backend]
    ) -> None:
        """Replace the engines and keep what is known of those that stay."""
        previous = self.engines
        self.engines = {}
        for backend in current:
            view = previous.get(backend.engine_id)
            if view is None:
                view = engines.EngineView(backend)
            view.backend = backend
            self.engines[backend.engine_id] = view
        self.refresh()

    def report_load(self, report: backends.LoadReport) -> None:
        """Take in an engine's report."""
        engine = self.engines.get(report.engine_id)
        if engine is None:
            return
        engine.report = report
        engine.own_at_report = engine.in_flight
        self._limiter.reported(engine)
        self.capacity = self._limiter.capacity(self.live)

    def refresh(self) -> None:
        """Work out anew which engines are used, and how much of each."""
        usable = {
            engine_id: engine
            for engine_id, engine in self.engines.items()
            if engine.takes_new_work and self._serves(engine.backend)
        }
        chosen = self._subset.choose(self._own, self._hosts, usable)
        self.live = [usable[engine_id] for engine_id in sorted(chosen)]
        sharing = self._hosts
        if len(chosen) < len(usable):
            sharing = ()
        shares = preferred_engines.home_shares(
            self._own, sharing, sorted(chosen)
        )
        for engine in self.live:
            engine.home_part = shares.get(engine.backend.engine_id, 0.0)
        self._limiter.use_host_count(
            self._subset.hosts_per_engine(len(self._hosts), len(usable))
        )
        self.capacity = self._limiter.capacity(self.live)
