"""The configuration in force, as immutable values.

Declarations written by operators are checked by
``corianderloft._internal.declarations`` and become these values; the rest of
the system reads nothing else.
"""

import collections.abc
import dataclasses

from corianderloft._internal.models import ids
from corianderloft._internal.models import states


@dataclasses.dataclass(frozen=True)
class RequestClass:
    """One class of requests that a service accepts.

    Attributes
    ----------
    name : ClassName
        Name that callers send.
    tier : Tier
        Priority; 0 is served first.
    first_token_target : float
        Target for the first token, or for the whole answer of a plain
        service, in seconds.
    token_gap_target : float
        Target between tokens, in seconds.
    deadline : float
        Time after arrival when a request that has not started is refused,
        in seconds.
    idempotent : bool
        Whether a request may be sent to a second backend server.
    max_tokens : int
        Largest answer a request may ask for, in tokens.
    """

    name: ids.ClassName
    tier: ids.Tier
    first_token_target: float = 1.9
    token_gap_target: float = 0.036
    deadline: float = 30.0
    idempotent: bool = True
    max_tokens: int = 4096


@dataclasses.dataclass(frozen=True)
class SupplierRoute:
    """One supplier that may serve a service.

    Attributes
    ----------
    supplier : SupplierName
        Supplier or engine vendor, as backend servers announce it.
    model : ModelVersion
        Model version that the backend server must have loaded.
    weight : int
        Share of the traffic among routes of the same ``order``; 0 stops new
        work.
    order : int
        Routes of a lower order are used first.
    """

    supplier: ids.SupplierName
    model: ids.ModelVersion
    weight: int = 1
    order: int = 0


@dataclasses.dataclass(frozen=True)
class ServiceTemplate:
    """How one service is routed.

    Attributes
    ----------
    name : ServiceName
        Name of the service.
    kind : ServiceKind
        Model engines or a plain service.
    classes : tuple of RequestClass
        Classes that the service accepts.
    routes : tuple of SupplierRoute
        Suppliers that may serve it.
    fencing : FencingSupport
        Whether its engines check fencing numbers of orders.
    balancer, queue_policy, limiter, retry_rule : str
        Names of the plug-ins that take the decisions.
    """

    name: ids.ServiceName
    kind: states.ServiceKind
    classes: tuple[RequestClass, ...]
    routes: tuple[SupplierRoute, ...]
    fencing: states.FencingSupport = states.FencingSupport.IGNORED
    balancer: str = 'default'
    queue_policy: str = 'default'
    limiter: str = 'default'
    retry_rule: str = 'default'

    def request_class(self, name: str) -> RequestClass | None:
        """Return the class called ``name``, or None."""
        return next((c for c in self.classes if c.name == name), None)


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspaceLimits:
    """What one workspace may use across all hosts.

    Attributes
    ----------
    requests_per_second : float or None
        Bound on the rate of new requests; None is no bound.
    tokens_per_second : float or None
        Bound on estimated tokens; None is no bound.
    weight : int
        Share inside a tier against other workspaces.
    """

    requests_per_second: float | None = None
    tokens_per_second: float | None = None
    weight: int = 1


@dataclasses.dataclass(frozen=True)
class ServiceOverride:
    """What the parameters of one workspace change in a service's template.

    Attributes
    ----------
    service : ServiceName
        The service.
    classes : tuple of RequestClass
        Classes that take the place of the template's of the same name.
    routes : tuple of SupplierRoute
        Routes that take the place of the template's; empty changes nothing.
    """

    service: ids.ServiceName
    classes: tuple[RequestClass, ...] = ()
    routes: tuple[SupplierRoute, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """One workspace and what it may use.

    Attributes
    ----------
    workspace_id : WorkspaceId
        Name of the workspace.
    key_hashes : tuple of str
        Hashes of the keys its callers present.
    services : tuple of ServiceName
        Services its callers may use.
    classes : tuple of ClassName
        Classes its callers may send; empty means all of the services'.
    limits : WorkspaceLimits
        Bounds that hold across hosts.
    overrides : tuple of ServiceOverride
        What its parameters change in the templates of its services.
    """

    workspace_id: ids.WorkspaceId
    key_hashes: tuple[str, ...]
    services: tuple[ids.ServiceName, ...]
    classes: tuple[ids.ClassName, ...] = ()
    limits: WorkspaceLimits = WorkspaceLimits()
    overrides: tuple[ServiceOverride, ...] = ()

    def apply(self, template: ServiceTemplate) -> ServiceTemplate:
        """Return ``template`` as the parameters of this workspace make it."""
        override = next(
            (o for o in self.overrides if o.service == template.name), None
        )
        if override is None:
            return template
        replaced = {c.name: c for c in override.classes}
        return dataclasses.replace(
            template,
            classes=tuple(replaced.get(c.name, c) for c in template.classes),
            routes=override.routes or template.routes,
        )


_NO_LIMITS = WorkspaceLimits()


def limited(
    workspaces: collections.abc.Iterable[Workspace],
) -> tuple[Workspace, ...]:
    """Return the workspaces whose limits are not the default."""
    return tuple(w for w in workspaces if w.limits != _NO_LIMITS)


@dataclasses.dataclass(frozen=True)
class Catalog:
    """All services and workspaces in force at one revision.

    Attributes
    ----------
    revision : Revision
        Revision of the configuration.
    services : tuple of ServiceTemplate
        All services.
    workspaces : tuple of Workspace
        All workspaces.
    known_limited : tuple of Workspace or None
        Those of ``workspaces`` whose limits are not the default, when whoever
        made the catalog knows them already.
    """

    revision: ids.Revision
    services: tuple[ServiceTemplate, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    known_limited: tuple[Workspace, ...] | None = None

    def service(self, name: str) -> ServiceTemplate | None:
        """Return the service called ``name``, or None."""
        return next((s for s in self.services if s.name == name), None)

    def limited_workspaces(self) -> tuple[Workspace, ...]:
        """Return the workspaces whose limits are not the default."""
        if self.known_limited is not None:
            return self.known_limited
        return limited(self.workspaces)
