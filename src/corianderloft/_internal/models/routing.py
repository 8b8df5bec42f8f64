"""What operators declare for the gateway: routes, services, workspaces."""

import collections.abc
import dataclasses
import enum

from corianderloft._internal.models import ids


class RequestKind(enum.Enum):
    """What may be done with a request a second time."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'
    RESUMABLE_STREAM = 'resumable_stream'

    @property
    def repeatable(self) -> bool:
        """Whether a second run of the request does no harm."""
        return self in (RequestKind.IDEMPOTENT, RequestKind.RESUMABLE_STREAM)

    @property
    def streamed(self) -> bool:
        """Whether the answer is a series of events."""
        return self in (RequestKind.STREAM, RequestKind.RESUMABLE_STREAM)


@dataclasses.dataclass(frozen=True)
class Share:
    """Part of a route's traffic that goes to one service."""

    service: ids.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """One route of the gateway.

    Attributes
    ----------
    name : str
        Name, for logs and metrics.
    host : str
        Host that callers name.
    path_prefix : str
        Prefix of the paths, with a slash at both ends.
    kind : RequestKind
        What may be repeated.
    tier : Tier
        Priority; 0 goes first.
    timeout : float
        Longest time until the whole answer, in seconds.
    target : float
        Time to the answer, or to its first event, that is aimed at, in
        seconds.
    gap_target : float or None
        Longest pause between two events that is aimed at, in seconds.
    attempts : int
        Backend servers that one request may be sent to.
    public : bool
        Whether it is open to callers without a key.
    shares : tuple of Share
        Services that serve it.
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
    """What is known of the engines of a service that serves a model.

    Attributes
    ----------
    slots : int
        Requests that an engine batches.
    memory_tokens : int
        Tokens that its KV cache holds.
    """

    slots: int
    memory_tokens: int


@dataclasses.dataclass(frozen=True)
class RoutedService:
    """A service behind the gateway.

    Attributes
    ----------
    name : ServiceName
        Name.
    health_path : str
        Path that answers whether a backend server is healthy.
    max_connections : int
        Connections that a backend server accepts from all hosts together.
    model : ModelService or None
        Set when its backend servers are model engines.
    """

    name: ids.ServiceName
    health_path: str
    max_connections: int
    model: ModelService | None


@dataclasses.dataclass(frozen=True)
class Workspace:
    """Who holds a key; ``tier`` overrides that of the route when set."""

    name: ids.WorkspaceId
    tier: ids.Tier | None


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """Bounds on what a caller may send.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Largest head and largest body.
    header_time, idle_time : float
        Time for a head to arrive, and for a connection to stay idle, in
        seconds.
    """

    header_bytes: int
    body_bytes: int
    header_time: float
    idle_time: float


@dataclasses.dataclass(frozen=True)
class RoutingTable:
    """One version of the declarations, whole.

    Attributes
    ----------
    version : int
        Grows with every change.
    routes : dict
        Routes by host, longest prefix first.
    services : dict
        Services by name.
    keys : dict
        Workspaces by key; empty when no route asks for one.
    keyed : bool
        Whether the declarations name workspaces at all.
    limits : CallerLimits
        Bounds on callers.
    """

    version: int
    routes: collections.abc.Mapping[str, tuple[Route, ...]]
    services: collections.abc.Mapping[ids.ServiceName, RoutedService]
    keys: collections.abc.Mapping[str, Workspace]
    keyed: bool
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


def by_host(
    routes: collections.abc.Iterable[Route],
) -> dict[str, tuple[Route, ...]]:
    """Group routes by host, the longest prefix first."""
    grouped: dict[str, list[Route]] = {}
    for route in routes:
        grouped.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(found, key=lambda r: -len(r.path_prefix)))
        for host, found in grouped.items()
    }
