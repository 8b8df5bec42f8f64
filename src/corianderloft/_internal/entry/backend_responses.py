"""What an answer that is not streamed says about a request."""

import orjson

from corianderloft._internal.decisions import interface
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests
from corianderloft._internal.models import states
from corianderloft._internal.network import outbound

LEAVING = 'leaving'
"""Code with which a backend server says that it takes no new work."""

NOT_RUN_CODES = frozenset({LEAVING, 'overloaded'})
"""Codes with which an engine says that it did not run a request."""

CALLERS_FAULTS = frozenset({400, 413, 422})
"""Statuses that another backend server would answer as well."""

MAX_DETAIL = 200
"""Characters of a backend server's message that are passed on."""


def of_engine(
    engine_id: str, status: int, body: bytes, ran_before: bool
) -> requests.Refused | outbound.Failure:
    """Judge an engine's answer that is no completion.

    Parameters
    ----------
    engine_id : str
        Engine that answered.
    status : int
        HTTP status.
    body : bytes
        Body.
    ran_before : bool
        Whether an earlier attempt delivered tokens.
    """
    code, message = _error(body)
    detail = f'engine {engine_id!r} answered {status}: {message}'
    if status in CALLERS_FAULTS and not ran_before:
        return requests.Refused(
            reasons.RefusalReason.BAD_REQUEST,
            states.RunState.NOT_RUN,
            detail,
        )
    if status == 429 or (status == 503 and code in NOT_RUN_CODES):
        return outbound.Failure(
            interface.AttemptEnd.BACKEND_REFUSED, False, detail
        )
    return outbound.Failure(interface.AttemptEnd.BACKEND_ERROR, True, detail)


def of_service(head: outbound.Head, engine_id: str) -> outbound.Failure | None:
    """Judge a plain service's answer; None passes it on to the caller."""
    if head.status == 503 and head.header(b'x-not-run') == b'true':
        return outbound.Failure(
            interface.AttemptEnd.BACKEND_REFUSED,
            False,
            f'backend server {engine_id!r} answered that it did not run',
        )
    return None


def says_leaving(status: int, body: bytes) -> bool:
    """Return whether a backend server says that it leaves."""
    return status == 503 and _error(body)[0] == LEAVING


def completion_tokens(body: bytes) -> int | None:
    """Return the tokens of a whole completion, or None if it is none."""
    try:
        answer = orjson.loads(body)
        if not answer['choices']:
            return None
        return int(answer.get('usage', {}).get('completion_tokens', 1))
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def _error(body: bytes) -> tuple[str, str]:
    try:
        error = orjson.loads(body)['error']
        code = str(error.get('code', ''))
        return code, str(error.get('message', code))[:MAX_DETAIL]
    except (orjson.JSONDecodeError, KeyError, TypeError, AttributeError):
        return '', 'no message'
