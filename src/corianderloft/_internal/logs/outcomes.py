"""One line for the outcome of each request."""

import dataclasses
import logging

from corianderloft._internal.models import ids

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class RequestLine:
    """What the log keeps of one request.

    Attributes
    ----------
    request_id : RequestId
        Identity of the request, from caller to engine.
    workspace, service, class_name, tier
        Whose request it was, and for what.
    outcome : str
        ``answered``, or the reason of its refusal.
    run : str
        Whether it ran: ``not_run``, ``ran`` or ``unknown``.
    engine : EngineId or None
        Backend server that answered last.
    attempts : int
        Attempts made.
    queued : float
        Time in the queue, in seconds.
    first_token : float or None
        Time from arrival to the first token, in seconds.
    total : float
        Time from arrival to the end, in seconds.
    tokens : int
        Tokens that reached the caller.
    """

    request_id: ids.RequestId
    workspace: ids.WorkspaceId
    service: ids.ServiceName
    class_name: ids.ClassName
    tier: ids.Tier
    outcome: str
    run: str
    engine: ids.EngineId | None
    attempts: int
    queued: float
    first_token: float | None
    total: float
    tokens: int


def log_outcome(line: RequestLine) -> None:
    """Write the line of one request."""
    if logger.isEnabledFor(logging.INFO):
        logger.info('request ended', extra=dict(vars(line)))
