"""Bounds on the silence of a backend server."""

from corianderloft._internal.models import catalog
from corianderloft._internal.settings import backends

_PART_OF_DEADLINE = 0.5
"""Part of the deadline after which a second attempt can still begin."""


def first_silence(
    cfg: backends.BackendSettings, request_class: catalog.RequestClass
) -> float:
    """Return how long an answer may take to begin, in seconds.

    An idempotent request is given up early enough for a second attempt
    within its deadline; any other has no second attempt to leave time for.
    """
    bound = cfg.silent_first_tokens * request_class.first_token_target
    if request_class.idempotent:
        bound = min(bound, _PART_OF_DEADLINE * request_class.deadline)
    return max(cfg.silent_floor, bound)
