"""Types that the gateway and its decisions share."""

import collections.abc
import dataclasses
import enum
import typing

from corianderloft._internal.kernel import registry
from corianderloft._internal.models import ids
from corianderloft._internal.models import instances
from corianderloft._internal.models import routing
from corianderloft._internal.placement import engines

ROUTE_TIERS = 3
"""Tiers of routes that are told apart at a backend server, whose priorities
go to 9."""


@dataclasses.dataclass(frozen=True)
class Job:
    """What the decisions know about one request.

    Attributes
    ----------
    request_id : str
        Identity of the request.
    route : Route
        Route that it came in on.
    service : ServiceName
        Service that it goes to.
    workspace : WorkspaceId or None
        Who asks.
    tier : Tier
        Priority; 0 goes first.
    arrived : float
        When it arrived, on trio's clock, in seconds.
    deadline : float
        When nobody waits for the answer any more, on trio's clock.
    prompt : Prompt or None
        Size of a request to a model.
    """

    request_id: str
    route: routing.Route
    service: ids.ServiceName
    workspace: ids.WorkspaceId | None
    tier: ids.Tier
    arrived: float
    deadline: float
    prompt: instances.Prompt | None = None

    @property
    def urgency(self) -> int:
        """Priority at the backend server; 0 goes first.

        The tier decides, which may be that of the workspace; among equals,
        the tier of the route.
        """
        of_route = min(max(self.route.tier, 0), ROUTE_TIERS - 1)
        return ROUTE_TIERS * self.tier + of_route


class AttemptOutcome(enum.Enum):
    """How a send to a backend server ended."""

    COMPLETE = 'complete'
    ERROR_ANSWER = 'error_answer'
    NOT_RUN = 'not_run'
    NOT_CONNECTED = 'not_connected'
    BROKEN = 'broken'
    SILENT = 'silent'
    CALLER_LEFT = 'caller_left'
    TIMED_OUT = 'timed_out'


class RefusalReason(enum.Enum):
    """Why a request was not sent to a backend server."""

    NO_BACKEND = 'no_backend'
    OVERLOADED = 'overloaded'
    TOO_LATE = 'too_late'
    RETRY_BUDGET = 'retry_budget'


@dataclasses.dataclass(frozen=True)
class Refused:
    """A request that was not sent.

    Attributes
    ----------
    reason : RefusalReason
        Why.
    retry_after : float
        When there will probably be room, in seconds from now.
    """

    reason: RefusalReason
    retry_after: float


@dataclasses.dataclass
class Scene:
    """What a chooser decides on.

    Attributes
    ----------
    job : Job
        The request.
    candidates : sequence of Engine
        Backend servers that may run it.
    everyone : sequence of Engine
        All live backend servers of the service, ejected ones too.
    model : ModelService or None
        Set for engines of a model.
    own_domain : FailureDomain
        Where this host stands.
    now : float
        trio's clock.
    long : bool
        Whether prompts of the route are long for the service.
    tightest_long : float
        Tightest target of its routes with long prompts, in seconds.
    last_chance : bool
        Whether the request is refused unless it may go now.
    """

    job: Job
    candidates: collections.abc.Sequence[engines.Engine]
    everyone: collections.abc.Sequence[engines.Engine]
    model: routing.ModelService | None
    own_domain: ids.FailureDomain
    now: float
    long: bool = False
    tightest_long: float = 0.0
    last_chance: bool = False


class Chooser(typing.Protocol):
    """Chooses the backend server for a request."""

    def choose(self, scene: Scene) -> engines.Engine | None:
        """Return one of the candidates; None to let the request wait."""


CHOOSERS: registry.Registry[collections.abc.Callable[[], Chooser]] = (
    registry.Registry('chooser')
)
"""Choosers by name."""
