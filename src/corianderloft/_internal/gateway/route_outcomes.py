"""What callers of a route got, relative to its targets."""

import dataclasses
import enum

from corianderloft._internal.gateway import forwarding
from corianderloft._internal.models import routing


class RouteOutcome(enum.Enum):
    """What became of a request for its caller.

    FAILED means that there was no complete answer although the request may
    have run, or that the answer was an error of the server.
    """

    IN_TARGET = 'in_target'
    LATE = 'late'
    REFUSED = 'refused'
    FAILED = 'failed'
    CALLER_LEFT = 'caller_left'


@dataclasses.dataclass(frozen=True)
class Ended:
    """A request that has ended.

    Attributes
    ----------
    result : Result
        Outcome at this host.
    may_have_run : bool
        Whether a backend server may have run it.
    status : int or None
        Status of the response of a backend server, if one was passed on.
    first_byte_s : float or None
        Time from arrival to the start of the response, in seconds.
    longest_gap_s : float
        Longest time between two writes of events, in seconds.
    total_s : float
        Time from arrival to the end, in seconds.
    """

    result: forwarding.Result
    may_have_run: bool
    status: int | None
    first_byte_s: float | None
    longest_gap_s: float
    total_s: float


def classify(route: routing.Route, ended: Ended) -> RouteOutcome:
    """Return what the caller of a route got."""
    match ended.result:
        case forwarding.Result.CALLER_LEFT:
            return RouteOutcome.CALLER_LEFT
        case forwarding.Result.REFUSED if not ended.may_have_run:
            return RouteOutcome.REFUSED
        case forwarding.Result.REFUSED | forwarding.Result.CUT:
            return RouteOutcome.FAILED
    if ended.status is None or ended.status >= 500:
        return RouteOutcome.FAILED
    time = ended.total_s
    if route.kind.streamed:
        time = ended.first_byte_s or 0.0
    in_target = time <= route.target
    if route.kind.streamed and route.gap_target is not None:
        in_target &= ended.longest_gap_s <= route.gap_target
    return RouteOutcome.IN_TARGET if in_target else RouteOutcome.LATE
