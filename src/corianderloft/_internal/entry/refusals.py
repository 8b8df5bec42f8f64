"""Sends refusals to callers and counts them."""

import math
import typing

import orjson

from corianderloft._internal.metrics import reasons as counts
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests
from corianderloft._internal.models import states
from corianderloft._internal.network import exchange
from corianderloft._internal.network import pending_connections

_Reason = reasons.RefusalReason

HTTP_STATUS: dict[reasons.RefusalReason, int] = {
    _Reason.UNKNOWN_KEY: 401,
    _Reason.UNKNOWN_SERVICE: 404,
    _Reason.UNKNOWN_CLASS: 400,
    _Reason.BAD_REQUEST: 400,
    _Reason.TOO_LARGE: 413,
    _Reason.TOO_SLOW: 408,
    _Reason.NO_MEMORY: 503,
    _Reason.NO_CONNECTION: 503,
    _Reason.FORBIDDEN: 403,
    _Reason.NOT_FOUND: 404,
    _Reason.WORKSPACE_LIMIT: 429,
    _Reason.CLASS_LIMIT: 429,
    _Reason.QUEUE_FULL: 503,
    _Reason.SHED_FOR_HIGHER_TIER: 503,
    _Reason.DEADLINE: 503,
    _Reason.NO_BACKEND: 503,
    _Reason.DRAINING: 503,
    _Reason.STALE_CONFIGURATION: 503,
    _Reason.CLAIM_UNAVAILABLE: 503,
    _Reason.CLAIM_IN_PROGRESS: 409,
    _Reason.KEY_REUSED: 409,
    _Reason.CRASHES_BACKENDS: 503,
    _Reason.RETRIES_EXHAUSTED: 502,
    _Reason.BACKEND_ERROR: 502,
    _Reason.OUTCOME_UNKNOWN: 504,
    _Reason.CANCELLED: 409,
}
"""HTTP status by refusal reason."""

NO_CONNECTION_RETRY_AFTER_S = 1.0
"""``Retry-After`` when this host has no connection for a request."""

NO_MEMORY_RETRY_AFTER_S = 1.0
"""``Retry-After`` when this host has no memory for a body."""


def not_run(
    reason: reasons.RefusalReason,
    detail: str,
    retry_after: float | None = None,
) -> requests.Refused:
    """Return a refusal of a request that reached no backend server."""
    return requests.Refused(
        reason, states.RunState.NOT_RUN, detail, retry_after
    )


def error_body(
    refused: requests.Refused, request_id: str | None
) -> dict[str, typing.Any]:
    """Return the JSON error body of a refusal."""
    return {
        'error': {
            'reason': refused.reason.value,
            'run': refused.run.value,
            'detail': refused.detail,
            'retry_after_s': refused.retry_after,
            'request_id': request_id,
        }
    }


def error_event(refused: requests.Refused, request_id: str | None) -> bytes:
    """Return the server-sent event that ends a stream with a refusal."""
    data = orjson.dumps(error_body(refused, request_id))
    return b'event: error\ndata: ' + data + b'\n\n'


def refuse_connection() -> bytes:
    """Return the response to a request whose connection got no slot."""
    refused = not_run(
        _Reason.NO_CONNECTION,
        'other clients use all connections to this host',
        NO_CONNECTION_RETRY_AFTER_S,
    )
    counts.count(refused.reason)
    headers = (
        (b'content-type', exchange.JSON),
        (b'retry-after', b'%d' % math.ceil(NO_CONNECTION_RETRY_AFTER_S)),
    )
    return pending_connections.final_response(
        HTTP_STATUS[refused.reason],
        headers,
        orjson.dumps(error_body(refused, None)),
    )


async def send(
    http: exchange.Exchange,
    refused: requests.Refused,
    request_id: str | None = None,
) -> None:
    """Count a refusal and send it, as an event if a stream has started."""
    counts.count(refused.reason)
    if http.started:
        await http.send_events(error_event(refused, request_id))
        await http.end_stream()
        return
    headers = [(b'x-request-id', (request_id or '').encode('ascii'))]
    if request_id is None:
        headers = []
    if refused.retry_after is not None:
        retry_after_s = math.ceil(refused.retry_after)
        headers.append((b'retry-after', b'%d' % retry_after_s))
    if refused.reason in _CONNECTION_CLOSING_REASONS:
        headers.append((b'connection', b'close'))
    await http.respond_json(
        HTTP_STATUS[refused.reason], error_body(refused, request_id), headers
    )


_CONNECTION_CLOSING_REASONS = frozenset(
    {
        _Reason.DRAINING,
        _Reason.NO_MEMORY,
        _Reason.TOO_LARGE,
        _Reason.TOO_SLOW,
    }
)
"""Refusal reasons after which the connection is closed."""
