"""Interprets non-streamed responses of backend servers."""

import orjson

from corianderloft._internal.decisions import interface
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests
from corianderloft._internal.models import states
from corianderloft._internal.network import outbound

LEAVING_CODE = 'leaving'
"""Error code of a backend server that accepts no new requests."""

NOT_RUN_CODES = frozenset({LEAVING_CODE, 'overloaded'})
"""Error codes of an engine that did not run the request."""

NOT_RUN_STATUSES = frozenset({429, 503})
"""HTTP statuses with which such a code counts; alone they state nothing, since
an engine may also fail a request that it ran with them."""

INVALID_REQUEST_STATUSES = frozenset({400, 413, 422})
"""HTTP statuses for invalid requests, which any backend would reject."""

MAX_DETAIL_CHARS = 200
"""Maximum length of a forwarded error message, in characters."""


def classify_engine_error(
    engine_id: str, status: int, body: bytes, tokens_delivered: bool
) -> requests.Refused | outbound.Failure:
    """Classify an engine's error response.

    Parameters
    ----------
    engine_id : str
        Engine that responded.
    status : int
        HTTP status.
    body : bytes
        Response body.
    tokens_delivered : bool
        Whether an earlier attempt delivered tokens.
    """
    code, message = _parse_error(body)
    detail = f'engine {engine_id!r} answered {status}: {message}'
    if status in INVALID_REQUEST_STATUSES and not tokens_delivered:
        return requests.Refused(
            reasons.RefusalReason.BAD_REQUEST,
            states.RunState.NOT_RUN,
            detail,
        )
    if status in NOT_RUN_STATUSES and code in NOT_RUN_CODES:
        return outbound.Failure(
            interface.AttemptEnd.BACKEND_REFUSED, False, detail
        )
    return outbound.Failure(interface.AttemptEnd.BACKEND_ERROR, True, detail)


def classify_service_response(
    head: outbound.Head, engine_id: str
) -> outbound.Failure | None:
    """Return the failure in a plain service's response.

    None means that the response is forwarded to the caller.
    """
    if head.status == 503 and head.header(b'x-not-run') == b'true':
        return outbound.Failure(
            interface.AttemptEnd.BACKEND_REFUSED,
            False,
            f'backend server {engine_id!r} answered that it did not run',
        )
    return None


def reports_leaving(status: int, body: bytes) -> bool:
    """Return whether a backend server reports that it is leaving."""
    return status == 503 and _parse_error(body)[0] == LEAVING_CODE


def completion_tokens(body: bytes) -> int | None:
    """Return the token count of a completion; None if the body is invalid."""
    try:
        completion = orjson.loads(body)
        if not completion['choices']:
            return None
        return int(completion.get('usage', {}).get('completion_tokens', 1))
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def _parse_error(body: bytes) -> tuple[str, str]:
    try:
        error = orjson.loads(body)['error']
        code = str(error.get('code', ''))
        return code, str(error.get('message', code))[:MAX_DETAIL_CHARS]
    except (orjson.JSONDecodeError, KeyError, TypeError, AttributeError):
        return '', 'no message'
