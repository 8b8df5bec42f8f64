"""Types shared by the gateway and the placement code."""

import collections.abc
import dataclasses
import enum
import functools
import itertools
import math
import typing

from corianderloft._internal.kernel import registry
from corianderloft._internal.models import ids
from corianderloft._internal.models import instances
from corianderloft._internal.models import routing
from corianderloft._internal.placement import engines
from corianderloft._internal.placement import lane_demand
from corianderloft._internal.placement import service_view

ROUTE_TIERS = 3
"""Number of distinct route tiers in the priority sent to a backend server,
whose priorities range up to 9."""


@dataclasses.dataclass(frozen=True)
class Job:
    """Placement-relevant properties of one request.

    Attributes
    ----------
    request_id : str
        ID of the request.
    route : Route
        Route that it matched.
    service : ServiceName
        Service that it is sent to.
    workspace : WorkspaceId or None
        Workspace of the caller.
    tier : Tier
        Priority; 0 goes first.
    arrived : float
        When it arrived, on trio's clock, in seconds.
    deadline : float
        When the caller stops waiting for the answer, on trio's clock.
    prompt : Prompt or None
        Prompt size and parts, for a request to a model.
    request_suspect : SuspectId or None
        What identifies the request if it comes again.
    """

    request_id: str
    route: routing.Route
    service: ids.ServiceName
    workspace: ids.WorkspaceId | None
    tier: ids.Tier
    arrived: float
    deadline: float
    prompt: instances.Prompt | None = None
    request_suspect: ids.SuspectId | None = None

    @property
    def urgency(self) -> int:
        """Priority at the backend server; 0 goes first.

        Requests are ordered by their tier, which the workspace may override,
        and within one tier by the tier of the route.
        """
        route_tier = min(max(self.route.tier, 0), ROUTE_TIERS - 1)
        return ROUTE_TIERS * self.tier + route_tier


class AttemptOutcome(enum.Enum):
    """How an attempt at a backend server ended.

    WITHDRAWN means that nothing was sent, as the server left after it had been
    chosen; MOVED that the request was taken to a server that may be faster;
    LOST that another attempt, which ran beside this one, was answered first.
    """

    COMPLETE = 'complete'
    ERROR_ANSWER = 'error_answer'
    NOT_RUN = 'not_run'
    WITHDRAWN = 'withdrawn'
    NOT_CONTINUED = 'not_continued'
    NOT_CONNECTED = 'not_connected'
    BROKEN = 'broken'
    CRASHED = 'crashed'
    SILENT = 'silent'
    MOVED = 'moved'
    LOST = 'lost'
    CALLER_LEFT = 'caller_left'
    TIMED_OUT = 'timed_out'


class RefusalReason(enum.Enum):
    """Why a request was refused instead of sent to a backend server."""

    NO_BACKEND = 'no_backend'
    OVERLOADED = 'overloaded'
    TOO_LATE = 'too_late'
    RETRY_BUDGET = 'retry_budget'


@dataclasses.dataclass(frozen=True)
class Refused:
    """Refusal of a request.

    Attributes
    ----------
    reason : RefusalReason
        Reason of the refusal.
    retry_after : float
        Delay after which the caller should retry, in seconds.
    """

    reason: RefusalReason
    retry_after: float


@dataclasses.dataclass(frozen=True)
class Need:
    """Memory that a request occupies until its end.

    Attributes
    ----------
    own_tokens : int
        Unshared prompt tokens and expected output.
    shared_parts : tuple of PromptPart
        Parts that occupy memory once for all requests that use them, without
        popular ones.
    """

    own_tokens: int
    shared_parts: tuple[instances.PromptPart, ...] = ()

    @functools.cached_property
    def tokens(self) -> int:
        """Tokens on an engine without any other request."""
        return self.own_tokens + sum(p.tokens for p in self.shared_parts)


@dataclasses.dataclass
class Context:
    """Input of a chooser.

    Attributes
    ----------
    job : Job
        The request.
    view : ServiceView
        Live backend servers of the service, including ejected ones.
    exclude : set of Key
        Backend servers that must not be chosen.
    serves_model : bool
        Whether the service serves a model.
    local_domain : FailureDomain
        Failure domain of this host.
    now : float
        Current time on trio's clock.
    long_prompts : bool
        Whether the route has long prompts for its service.
    tightest_long_target : float
        Tightest target of the long-prompt routes of the service, in seconds.
    last_chance : bool
        Whether the request is refused unless an engine is chosen now.
    demand : Demand
        Prefill work that callers ask of the service at all hosts.
    hosts : int
        Number of entry hosts.
    admission : Admitter or None
        Limits the requests by the memory of the engines, if set.
    short_gap_target : float
        Tightest gap target of the short-prompt routes of the service, in
        seconds; infinite if there is none.
    need : Need
        Memory that the request occupies; zero without memory admission.
    most_urgent : bool
        Whether no route of the service is known to be more urgent.
    waiting : int
        Requests with prompts of the same kind that are queued at this host.
    """

    job: Job
    view: service_view.ServiceView
    exclude: collections.abc.Set[engines.Key]
    serves_model: bool
    local_domain: ids.FailureDomain
    now: float
    long_prompts: bool = False
    tightest_long_target: float = 0.0
    last_chance: bool = False
    demand: lane_demand.Demand = lane_demand.Demand()
    hosts: int = 1
    admission: 'Admitter | None' = None
    short_gap_target: float = math.inf
    need: Need = Need(0)
    most_urgent: bool = True
    waiting: int = 0

    @functools.cached_property
    def candidates(self) -> list[engines.Engine]:
        """Backend servers that may receive the request."""
        return [engine for engine in self.view.live if self.usable(engine)]

    def usable(self, engine: engines.Engine) -> bool:
        """Return whether a backend server may receive the request."""
        return (
            engine.health.usable(self.now)
            and engine.statements.admits(self.now)
            and engine.rate_limit.admits(self.now, self.hosts)
            and engine.key not in self.exclude
        )

    def admitted(
        self,
        found: collections.abc.Iterable[engines.Engine],
        count: int,
    ) -> list[engines.Engine]:
        """Return the first backend servers that can hold the request.

        Parameters
        ----------
        found : iterable of Engine
            Backend servers that may receive it, best first.
        count : int
            Number to return at most.
        """
        if self.admission is not None:
            found = (e for e in found if self.admits(e))
        return list(itertools.islice(found, count))

    def admits(self, engine: engines.Engine) -> bool:
        """Return whether a backend server can hold the request."""
        return self.admission is None or self.admission.admits(self, engine)


class Admitter(typing.Protocol):
    """Limits the requests by the memory of the engines."""

    def admits(self, context: Context, engine: engines.Engine) -> bool:
        """Return whether an engine can hold a request until its end."""


class Chooser(typing.Protocol):
    """Policy that selects the backend server for a request."""

    def choose(self, context: Context) -> engines.Engine | None:
        """Return one of the candidates; None to keep the request queued."""


CHOOSERS: registry.Registry[collections.abc.Callable[[], Chooser]] = (
    registry.Registry('chooser')
)
"""Choosers by name."""
