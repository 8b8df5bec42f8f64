"""Decides what to do with a backend server's complete response."""

import enum

from corianderloft._internal.gateway import dialect

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that its request did not run and never will."""


class Disposition(enum.Enum):
    """What a response means for the request.

    DELIVER
        The caller gets the response.
    REPEAT_OR_DELIVER
        The request failed; the caller gets the response unless the request
        can be sent again.
    NOT_RUN
        The server states that it did not run the request.
    OUTCOME_UNKNOWN
        The request may have run, and the response must not reach the caller.
    """

    DELIVER = 'deliver'
    REPEAT_OR_DELIVER = 'repeat_or_deliver'
    NOT_RUN = 'not_run'
    OUTCOME_UNKNOWN = 'outcome_unknown'


def classify(
    status: int, head: dialect.ResponseHead, repeatable: bool
) -> Disposition:
    """Classify a complete response.

    A server may fail a request that it ran with any status. A caller takes
    some of them for the statement that the request did not run, which only
    the server can make, so these are not passed on without it.

    Parameters
    ----------
    status : int
        HTTP status code.
    head : ResponseHead
        Parsed response headers.
    repeatable : bool
        Whether the request may run more than once.
    """
    if head.not_run:
        return Disposition.NOT_RUN
    if status in NOT_RUN_STATUSES:
        return Disposition.OUTCOME_UNKNOWN
    if status < 300 and not head.signed:
        return Disposition.OUTCOME_UNKNOWN
    if status >= 500 and repeatable:
        return Disposition.REPEAT_OR_DELIVER
    return Disposition.DELIVER
