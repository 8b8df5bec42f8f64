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
    deadline.
    """
    timeout_s = cfg.silent_first_tokens * request_class.first_token_target
    if request_class.idempotent:
        timeout_s = min(
            timeout_s, _MAX_DEADLINE_FRACTION * request_class.deadline
        )
    return _or_deadline(cfg, request_class, timeout_s)


def token_gap_timeout(
    cfg: backends.BackendSettings, request_class: catalog.RequestClass
) -> float:
    """Return the timeout between two tokens of a stream, in seconds."""
    timeout_s = _gap_timeout(cfg, request_class)
    return _or_deadline(cfg, request_class, timeout_s)


def whole_response_timeout(
    cfg: backends.BackendSettings,
    request_class: catalog.RequestClass,
    max_tokens: int,
) -> float:
    """Return the timeout for a response that is not streamed, in seconds."""
    gap_s = max(cfg.silent_floor, _gap_timeout(cfg, request_class))
    return first_token_timeout(cfg, request_class) + max_tokens * gap_s


def _gap_timeout(
    cfg: backends.BackendSettings, request_class: catalog.RequestClass
) -> float:
    return cfg.silent_gaps * request_class.token_gap_target


def _or_deadline(
    cfg: backends.BackendSettings,
    request_class: catalog.RequestClass,
    timeout_s: float,
) -> float:
    """Return the deadline instead of a shorter timeout where no server helps.

    A request that may not be repeated cannot go on elsewhere, so leaving a
    server that is only silent would lose an answer that may still come.
    """
    timeout_s = max(cfg.silent_floor, timeout_s)
    if request_class.idempotent:
        return timeout_s
    return max(timeout_s, request_class.deadline)
