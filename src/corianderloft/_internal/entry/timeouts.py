"""Timeouts for backend servers that stop responding."""

from corianderloft._internal.models import catalog
from corianderloft._internal.settings import backends

_MAX_DEADLINE_FRACTION = 0.5
"""Fraction of the deadline after which a second attempt can still start."""


def first_token_timeout(
    cfg: backends.BackendSettings, request_class: catalog.RequestClass
) -> float:
    """Return the timeout for the start of a response, in seconds.

    For an idempotent request it leaves time for a second attempt within the
    deadline. Other requests are not retried and need no such reserve.
    """
    timeout_s = cfg.silent_first_tokens * request_class.first_token_target
    if request_class.idempotent:
        timeout_s = min(
            timeout_s, _MAX_DEADLINE_FRACTION * request_class.deadline
        )
    return max(cfg.silent_floor, timeout_s)
