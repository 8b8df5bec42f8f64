"""Declarations for the gateway: routes, services and workspaces."""

import collections.abc
import dataclasses
import enum

from corianderloft._internal.models import ids


class RequestKind(enum.Enum):
    """Whether a request can be repeated or resumed."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'
    RESUMABLE_STREAM = 'resumable_stream'

    @property
    def repeatable(self) -> bool:
        """Whether the request can safely run more than once."""
        return self in (RequestKind.IDEMPOTENT, RequestKind.RESUMABLE_STREAM)

    @property
    def streamed(self) -> bool:
        """Whether the response is a stream of events."""
        return self in (RequestKind.STREAM, RequestKind.RESUMABLE_STREAM)


@dataclasses.dataclass(frozen=True)
class Share:
    """Share of a route's traffic that is sent to one service."""

    service: ids.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """A route of the gateway.

    Attributes
    ----------
    name : str
        Name used in logs and metrics.
    host : str
        Value of the ``Host`` header.
    path_prefix : str
        Prefix of the paths, with a leading and a trailing slash.
    kind : RequestKind
        Whether a request can be repeated or resumed.
    tier : Tier
        Priority; 0 is the highest.
    timeout : float
        Time limit for the complete response, in seconds.
    target : float
        Target for the time to the response, or to its first event if
        streamed, in seconds.
    gap_target : float or None
        Target for the longest gap between two events, in seconds.
    attempts : int
        Maximum number of backend servers that a request is sent to.
    public : bool
        Whether callers need no key.
    shares : tuple of Share
        Services that the traffic is split between.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    tier: ids.Tier
    timeout: float
    target: float
    gap_target: float | None
    attempts: int
    public: bool
    shares: tuple[Share, ...]


@dataclasses.dataclass(frozen=True)
class ModelService:
    """Properties of the engines of a service that serves a model.

    Attributes
    ----------
    slots : int
        Maximum number of requests in the batch of an engine.
    memory_tokens : int
        Capacity of the KV cache of an engine, in tokens.
    """

    slots: int
    memory_tokens: int


@dataclasses.dataclass(frozen=True)
class Scaling:
    """How many engines of a service may be ordered, and their prices.

    Attributes
    ----------
    min_engines, max_engines : int
        Bounds on the engines of both kinds together in one failure domain.
    boot_time : float
        Time from an order until a new engine serves, in seconds.
    reclaimable_price : float or None
        Price of a reclaimable engine as a fraction of the price of an
        on-demand one; None if there are no reclaimable engines.
    prices : dict
        Price of one second of an on-demand engine by failure domain.
    """

    min_engines: int
    max_engines: int
    boot_time: float
    reclaimable_price: float | None
    prices: collections.abc.Mapping[ids.FailureDomain, float]


@dataclasses.dataclass(frozen=True)
class RoutedService:
    """A service behind the gateway.

    Attributes
    ----------
    name : ServiceName
        Name of the service.
    health_path : str
        Path of the health check of a backend server.
    max_connections : int
        Maximum number of connections that a backend server accepts, from
        all hosts together.
    model : ModelService or None
        Set when its backend servers are model engines.
    scaling : Scaling or None
        Set when its engines can be ordered from the platform.
    """

    name: ids.ServiceName
    health_path: str
    max_connections: int
    model: ModelService | None
    scaling: Scaling | None = None


@dataclasses.dataclass(frozen=True)
class Workspace:
    """Owner of a key; ``tier`` overrides that of the route if set."""

    name: ids.WorkspaceId
    tier: ids.Tier | None


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """Limits on the requests and connections of callers.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Maximum size of a request head and of a request body.
    header_time, idle_time : float
        Time limits for the arrival of a request head and for an idle
        connection, in seconds.
    """

    header_bytes: int
    body_bytes: int
    header_time: float
    idle_time: float


@dataclasses.dataclass(frozen=True)
class RoutingTable:
    """One complete version of the declarations.

    Attributes
    ----------
    version : int
        Version number; increases with every change.
    routes : dict
        Routes by host, sorted by descending length of the prefix.
    services : dict
        Services by name.
    keys : dict
        Workspaces by key; empty if no route requires a key.
    has_workspaces : bool
        Whether the declarations contain a section for workspaces.
    limits : CallerLimits
        Limits on callers.
    """

    version: int
    routes: collections.abc.Mapping[str, tuple[Route, ...]]
    services: collections.abc.Mapping[ids.ServiceName, RoutedService]
    keys: collections.abc.Mapping[str, Workspace]
    has_workspaces: bool
    limits: CallerLimits

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``, or None."""
        return next(
            (
                route
                for route in self.routes.get(host, ())
                if path.startswith(route.path_prefix)
            ),
            None,
        )


def group_by_host(
    routes: collections.abc.Iterable[Route],
) -> dict[str, tuple[Route, ...]]:
    """Group routes by host, sorted by descending length of the prefix."""
    grouped: dict[str, list[Route]] = {}
    for route in routes:
        grouped.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(host_routes, key=lambda r: -len(r.path_prefix)))
        for host, host_routes in grouped.items()
    }
