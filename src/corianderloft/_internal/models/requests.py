"""A request on its way through an entry host, and how it ended."""

import dataclasses

from corianderloft._internal.models import ids
from corianderloft._internal.models import reasons
from corianderloft._internal.models import states


@dataclasses.dataclass(frozen=True)
class Ticket:
    """What the decisions know about one request.

    Attributes
    ----------
    request_id : RequestId
        Identity of the request, from caller to engine.
    workspace : WorkspaceId
        Who sent it.
    service : ServiceName
        Service that it is for.
    class_name : ClassName
        Its class.
    tier : Tier
        Priority of its class.
    arrived : float
        When it arrived, on trio's clock, in seconds.
    start_by : float
        When it is refused unless it has started, on trio's clock, in
        seconds.
    prompt_tokens : int
        Estimated length of the prompt, in tokens.
    max_tokens : int
        Largest answer asked for, in tokens.
    idempotent : bool
        Whether it may be sent to a second backend server.
    prefix_hashes : tuple of int
        Hashes of growing prefixes of the prompt, shortest first.
    first_token_target : float or None
        Wait for the first token that its workspace asks for, in seconds;
        None for that of the service template.
    """

    request_id: ids.RequestId
    workspace: ids.WorkspaceId
    service: ids.ServiceName
    class_name: ids.ClassName
    tier: ids.Tier
    arrived: float
    start_by: float
    prompt_tokens: int
    max_tokens: int
    idempotent: bool = True
    prefix_hashes: tuple[int, ...] = ()
    first_token_target: float | None = None


@dataclasses.dataclass(frozen=True)
class Refused:
    """Outcome of a request that was not answered.

    Attributes
    ----------
    reason : RefusalReason
        Why.
    run : RunState
        Whether it ran on a backend server.
    detail : str
        Message that names what failed.
    retry_after : float or None
        When to come back, in seconds from now; None when coming back will
        not help.
    """

    reason: reasons.RefusalReason
    run: states.RunState
    detail: str
    retry_after: float | None = None
