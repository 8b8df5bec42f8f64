"""Log line for the outcome of each request."""

import dataclasses
import logging

from corianderloft._internal.models import ids

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class RequestLine:
    """Fields of the log line of one request.

    Attributes
    ----------
    request_id : RequestId
        ID of the request, the same from caller to engine.
    workspace, service, class_name, tier
        Workspace of the caller; service, class and priority of the request.
    outcome : str
        ``answered``, or the reason of the refusal.
    run : str
        Whether the request ran: ``not_run``, ``ran`` or ``unknown``.
    engine : EngineId or None
        Backend server that responded last.
    attempts : int
        Number of attempts.
    queued : float
        Time spent in the queue, in seconds.
    first_token : float or None
        Time from arrival to the first token, in seconds.
    total : float
        Time from arrival to the end of the request, in seconds.
    tokens : int
        Number of tokens delivered to the caller.
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
    """Log the outcome of one request."""
    if logger.isEnabledFor(logging.INFO):
        logger.info('request ended', extra=dict(vars(line)))
