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
