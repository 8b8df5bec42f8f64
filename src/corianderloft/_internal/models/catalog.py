"""The configuration in force, as immutable values.

``corianderloft._internal.declarations`` validates the declarations of
operators and converts them to these values, which are the only form of the
configuration that other packages use.
"""

import collections.abc
import dataclasses

from corianderloft._internal.models import ids
from corianderloft._internal.models import states


@dataclasses.dataclass(frozen=True)
class RequestClass:
    """A class of requests that a service accepts.

    Attributes
    ----------
    name : ClassName
        Class name sent by callers.
    tier : Tier
        Priority; 0 is the highest.
    first_token_target : float
        Target for the time to first token or, for a plain service, to the
        complete response, in seconds.
    token_gap_target : float
        Target for the time between tokens, in seconds.
    deadline : float
        Time after arrival at which a request that has not started yet is
        refused, in seconds.
    idempotent : bool
        Whether a request may be sent to more than one backend server.
    max_tokens : int
        Maximum number of output tokens that a request may ask for.
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
    """A supplier that may serve a service.

    Attributes
    ----------
    supplier : SupplierName
        Supplier or engine vendor, as announced by backend servers.
    model : ModelVersion
        Model version that a backend server must have loaded.
    weight : int
        Relative share of the traffic among routes of the same ``order``;
        0 sends no new requests.
    order : int
        Preference; routes with a lower value are used first.
    """

    supplier: ids.SupplierName
    model: ids.ModelVersion
    weight: int = 1
    order: int = 0


@dataclasses.dataclass(frozen=True)
class ServiceTemplate:
    """Routing configuration of one service.

    Attributes
    ----------
    name : ServiceName
        Name of the service.
    kind : ServiceKind
        Whether model engines or a plain service handle the requests.
    classes : tuple of RequestClass
        Classes that the service accepts.
    routes : tuple of SupplierRoute
        Suppliers that may serve the service.
    fencing : FencingSupport
        Whether its engines check the fencing numbers of orders.
    balancer, queue_policy, limiter, retry_rule : str
        Names of the plug-ins that make the routing decisions.
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
    """Limits of one workspace, summed over all hosts.

    Attributes
    ----------
    requests_per_second : float or None
        Maximum rate of new requests; None means unlimited.
    tokens_per_second : float or None
        Maximum rate of estimated tokens; None means unlimited.
    weight : int
        Relative share among the workspaces of the same tier.
    """

    requests_per_second: float | None = None
    tokens_per_second: float | None = None
    weight: int = 1


@dataclasses.dataclass(frozen=True)
class ServiceOverride:
    """Changes to a service template by the parameters of a workspace.

    Attributes
    ----------
    service : ServiceName
        Service whose template is changed.
    classes : tuple of RequestClass
        Classes that replace the template's classes of the same name.
    routes : tuple of SupplierRoute
        Routes that replace the template's; if empty, the template's routes
        are kept.
    """

    service: ids.ServiceName
    classes: tuple[RequestClass, ...] = ()
    routes: tuple[SupplierRoute, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace with its keys, permissions and limits.

    Attributes
    ----------
    workspace_id : WorkspaceId
        Name of the workspace.
    key_hashes : tuple of str
        Hashes of the keys that its callers authenticate with.
    services : tuple of ServiceName
        Services that its callers may use.
    classes : tuple of ClassName
        Classes that its callers may send; empty means all classes of its
        services.
    limits : WorkspaceLimits
        Limits that apply across all hosts.
    overrides : tuple of ServiceOverride
        Changes by its parameters to the templates of its services.
    """

    workspace_id: ids.WorkspaceId
    key_hashes: tuple[str, ...]
    services: tuple[ids.ServiceName, ...]
    classes: tuple[ids.ClassName, ...] = ()
    limits: WorkspaceLimits = WorkspaceLimits()
    overrides: tuple[ServiceOverride, ...] = ()

    def apply(self, template: ServiceTemplate) -> ServiceTemplate:
        """Return ``template`` with the overrides of this workspace applied."""
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
        The ``workspaces`` whose limits are not the default, if already
        computed by the creator of the catalog.
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
