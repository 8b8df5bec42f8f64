"""Refusals that the decisions make; each is ``not_run``."""

from corianderloft._internal.models import ids
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests
from corianderloft._internal.models import states

RETRY_AFTER_FULL = 1.0
"""When to come back to a full queue, in seconds."""


def not_run(
    reason: reasons.RefusalReason,
    detail: str,
    retry_after: float | None = None,
) -> requests.Refused:
    """Return a refusal of a request that certainly did not run."""
    return requests.Refused(
        reason, states.RunState.NOT_RUN, detail, retry_after
    )


def no_backend(service: ids.ServiceName) -> requests.Refused:
    """Return the refusal of a service without live backend servers."""
    return not_run(
        reasons.RefusalReason.NO_BACKEND,
        f'service {service!r} has no live backend server',
        retry_after=RETRY_AFTER_FULL,
    )


def shed(service: ids.ServiceName, for_higher: bool) -> requests.Refused:
    """Return the refusal of a request that made room in a full queue."""
    reason = (
        reasons.RefusalReason.SHED_FOR_HIGHER_TIER
        if for_higher
        else reasons.RefusalReason.QUEUE_FULL
    )
    return not_run(
        reason,
        f'queue of service {service!r} is full',
        retry_after=RETRY_AFTER_FULL,
    )


def deadline(
    request_id: ids.RequestId, wait: float | None = None
) -> requests.Refused:
    """Return the refusal of a request that cannot start in time."""
    if wait is None:
        return not_run(
            reasons.RefusalReason.DEADLINE,
            f'request {request_id} did not start before its deadline',
        )
    return not_run(
        reasons.RefusalReason.DEADLINE,
        f'request {request_id} would wait about {wait:.0f} s, '
        'beyond its deadline',
        retry_after=wait,
    )


def hedge_budget(request_id: ids.RequestId) -> requests.Refused:
    """Return the refusal of a second attempt beyond the hedge budget."""
    return not_run(
        reasons.RefusalReason.QUEUE_FULL,
        f'second attempt of request {request_id} exceeds the hedge budget',
    )


def workspace_limit(
    workspace: ids.WorkspaceId, wait: float
) -> requests.Refused:
    """Return the refusal of a workspace that is over its limit."""
    return not_run(
        reasons.RefusalReason.WORKSPACE_LIMIT,
        f'workspace {workspace!r} is over its limit',
        retry_after=wait,
    )
