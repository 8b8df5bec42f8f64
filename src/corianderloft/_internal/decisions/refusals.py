"""Refusals made by the dispatcher; each is ``not_run``."""

from corianderloft._internal.models import ids
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests
from corianderloft._internal.models import states

RETRY_AFTER_FULL_S = 1.0
"""Retry-after time for a full queue or a service without backends."""


def not_run(
    reason: reasons.RefusalReason,
    detail: str,
    retry_after: float | None = None,
) -> requests.Refused:
    """Return a refusal of a request that did not run on any engine."""
    return requests.Refused(
        reason, states.RunState.NOT_RUN, detail, retry_after
    )


def no_backend(service: ids.ServiceName) -> requests.Refused:
    """Return the refusal for a service without live backend servers."""
    return not_run(
        reasons.RefusalReason.NO_BACKEND,
        f'service {service!r} has no live backend server',
        retry_after=RETRY_AFTER_FULL_S,
    )


def shed(service: ids.ServiceName, for_higher_tier: bool) -> requests.Refused:
    """Return the refusal of a request that was shed from a full queue."""
    reason = (
        reasons.RefusalReason.SHED_FOR_HIGHER_TIER
        if for_higher_tier
        else reasons.RefusalReason.QUEUE_FULL
    )
    return not_run(
        reason,
        f'queue of service {service!r} is full',
        retry_after=RETRY_AFTER_FULL_S,
    )


def deadline(
    request_id: ids.RequestId, wait: float | None = None
) -> requests.Refused:
    """Return the refusal of a request that cannot start by its deadline."""
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
    """Return the refusal of a hedge that exceeds the hedge budget."""
    return not_run(
        reasons.RefusalReason.QUEUE_FULL,
        f'second attempt of request {request_id} exceeds the hedge budget',
    )


def workspace_limit(
    workspace: ids.WorkspaceId, wait: float
) -> requests.Refused:
    """Return the refusal of a request whose workspace is over its limit."""
    return not_run(
        reasons.RefusalReason.WORKSPACE_LIMIT,
        f'workspace {workspace!r} is over its limit',
        retry_after=wait,
    )
