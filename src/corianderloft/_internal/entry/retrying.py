"""Whether a failed attempt is followed by another, and what is told if not."""

from corianderloft._internal.decisions import interface
from corianderloft._internal.metrics import reasons as counts
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests
from corianderloft._internal.models import states
from corianderloft._internal.network import outbound

RETRY_TIME = 1.0
"""When to come back after a request was given up, in seconds."""

_Reason = reasons.RefusalReason
_Kept = reasons.RetryRefusalReason

GIVEN_UP: dict[reasons.RetryRefusalReason, reasons.RefusalReason] = {
    _Kept.NOT_IDEMPOTENT: _Reason.OUTCOME_UNKNOWN,
    _Kept.BUDGET: _Reason.RETRIES_EXHAUSTED,
    _Kept.DEADLINE: _Reason.DEADLINE,
    _Kept.ATTEMPTS: _Reason.RETRIES_EXHAUSTED,
    _Kept.NO_OTHER_BACKEND: _Reason.BACKEND_ERROR,
}
"""What a caller is told when a failed request is not sent again."""


def decide(
    dispatcher: interface.Dispatcher,
    ticket: requests.Ticket,
    failure: outbound.Failure,
    attempts: int,
    relayed_tokens: int = 0,
) -> interface.RetryNow | interface.GiveUp:
    """Ask the dispatcher for another attempt, and count what it says.

    Whatever it says, a request that is not idempotent and may have run is
    not sent again.

    Parameters
    ----------
    dispatcher : Dispatcher
        Takes the decision.
    ticket : Ticket
        The request.
    failure : Failure
        How the last attempt failed.
    attempts : int
        Attempts made so far.
    relayed_tokens : int
        Tokens that went to the caller.
    """
    decision = dispatcher.retry(
        ticket, failure.end, attempts, failure.may_have_run, relayed_tokens
    )
    if failure.may_have_run and not ticket.idempotent:
        decision = interface.GiveUp(_Kept.NOT_IDEMPOTENT)
    counts.count(decision.reason)
    return decision


def given_up(
    failure: outbound.Failure,
    reason: reasons.RetryRefusalReason,
    run: states.RunState,
    idempotent: bool,
) -> requests.Refused:
    """Return the refusal of a request that is not sent again.

    Parameters
    ----------
    failure : Failure
        How the last attempt failed.
    reason : RetryRefusalReason
        Why there is no other.
    run : RunState
        What is known about all its attempts.
    idempotent : bool
        Whether the caller may simply send it again.
    """
    told = GIVEN_UP[reason]
    if run is states.RunState.UNKNOWN and not idempotent:
        told = _Reason.OUTCOME_UNKNOWN
    detail = f'{failure.detail}; not sent again: {reason.value}'
    retry_after = RETRY_TIME if idempotent else None
    return requests.Refused(told, run, detail, retry_after)
