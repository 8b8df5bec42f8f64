"""Decides on retries, and builds the refusal if there is none."""

from corianderloft._internal.decisions import interface
from corianderloft._internal.metrics import reasons as counts
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests
from corianderloft._internal.models import states
from corianderloft._internal.network import outbound

RETRY_AFTER_S = 1.0
"""``Retry-After`` of a request that was given up, in seconds."""

_Reason = reasons.RefusalReason
_RetryRefusal = reasons.RetryRefusalReason

CRASHES = interface.GiveUp(_RetryRefusal.CRASHES_BACKENDS)
"""Decision on a request that may crash the next backend server as well."""

REFUSAL_REASONS: dict[reasons.RetryRefusalReason, reasons.RefusalReason] = {
    _RetryRefusal.NOT_IDEMPOTENT: _Reason.OUTCOME_UNKNOWN,
    _RetryRefusal.BUDGET: _Reason.RETRIES_EXHAUSTED,
    _RetryRefusal.DEADLINE: _Reason.DEADLINE,
    _RetryRefusal.ATTEMPTS: _Reason.RETRIES_EXHAUSTED,
    _RetryRefusal.NO_OTHER_BACKEND: _Reason.BACKEND_ERROR,
    _RetryRefusal.CRASHES_BACKENDS: _Reason.RETRIES_EXHAUSTED,
}
"""Refusal reason sent to the caller, by reason for not retrying."""


def decide(
    dispatcher: interface.Dispatcher,
    ticket: requests.Ticket,
    failure: outbound.Failure,
    attempts: int,
    relayed_tokens: int = 0,
) -> interface.RetryNow | interface.GiveUp:
    """Let the dispatcher decide on a retry, and count the decision.

    A request that is not idempotent and may have run is never retried,
    whatever the dispatcher decides.

    Parameters
    ----------
    dispatcher : Dispatcher
        Decides on the retry.
    ticket : Ticket
        The request.
    failure : Failure
        How the last attempt failed.
    attempts : int
        Attempts made so far.
    relayed_tokens : int
        Tokens already sent to the caller.
    """
    decision = dispatcher.retry(
        ticket, failure.end, attempts, failure.may_have_run, relayed_tokens
    )
    if failure.may_have_run and not ticket.idempotent:
        decision = interface.GiveUp(_RetryRefusal.NOT_IDEMPOTENT)
    counts.count(decision.reason)
    return decision


def give_up(
    failure: outbound.Failure,
    reason: reasons.RetryRefusalReason,
    run: states.RunState,
    idempotent: bool,
) -> requests.Refused:
    """Return the refusal of a request that is not retried.

    Parameters
    ----------
    failure : Failure
        How the last attempt failed.
    reason : RetryRefusalReason
        Why the request is not retried.
    run : RunState
        Whether any attempt ran, as far as known.
    idempotent : bool
        Whether the caller can safely send the request again.
    """
    refusal_reason = REFUSAL_REASONS[reason]
    if run is states.RunState.UNKNOWN and not idempotent:
        refusal_reason = _Reason.OUTCOME_UNKNOWN
    detail = f'{failure.detail}; not sent again: {reason.value}'
    retry_after = RETRY_AFTER_S if idempotent else None
    return requests.Refused(refusal_reason, run, detail, retry_after)
