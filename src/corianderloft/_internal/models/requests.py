"""Attributes of a request in an entry host, and its refusal."""

import dataclasses

from corianderloft._internal.models import ids
from corianderloft._internal.models import reasons
from corianderloft._internal.models import states


@dataclasses.dataclass(frozen=True)
class Ticket:
    """Attributes of one request that routing decisions use.

    Attributes
    ----------
    request_id : RequestId
        ID of the request, the same from caller to engine.
    workspace : WorkspaceId
        Workspace of the caller.
    service : ServiceName
        Requested service.
    class_name : ClassName
        Class of the request.
    tier : Tier
        Priority of the class; 0 is the highest.
    arrived : float
        Time of arrival on trio's clock, in seconds.
    start_by : float
        Time at which the request is refused if it has not started yet, on
        trio's clock, in seconds.
    prompt_tokens : int
        Estimated length of the prompt, in tokens.
    max_tokens : int
        Maximum number of output tokens requested.
    idempotent : bool
        Whether it may be sent to more than one backend server.
    prefix_hashes : tuple of int
        Hashes of increasingly long prefixes of the prompt, shortest first.
    first_token_target : float or None
        Target for the time to first token set by its workspace, in seconds;
        None to use that of the service template.
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
    """Outcome of a request that was refused or failed.

    Attributes
    ----------
    reason : RefusalReason
        Why the request was refused.
    run : RunState
        Whether the request ran on a backend server.
    detail : str
        Description of the failure.
    retry_after : float or None
        Time to wait before a retry, in seconds; None if a retry will not
        help.
    """

    reason: reasons.RefusalReason
    run: states.RunState
    detail: str
    retry_after: float | None = None
