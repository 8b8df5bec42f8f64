"""How a request of a caller may end, and what the caller is told."""

import dataclasses
import enum

import orjson


class Reason(enum.Enum):
    """Why the gateway answered a request itself."""

    NOT_READY = 'not_ready'
    STALE_KEYS = 'stale_keys'
    UNKNOWN_ROUTE = 'unknown_route'
    UNKNOWN_KEY = 'unknown_key'
    TOO_LARGE = 'too_large'
    TOO_SLOW = 'too_slow'
    STOPPING = 'stopping'
    NO_BACKEND = 'no_backend'
    OVERLOADED = 'overloaded'
    TOO_LATE = 'too_late'
    RETRY_BUDGET = 'retry_budget'
    NOT_RUN = 'not_run'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    TIMED_OUT = 'timed_out'


_STATUS = {
    Reason.NOT_READY: 503,
    Reason.STALE_KEYS: 503,
    Reason.UNKNOWN_ROUTE: 404,
    Reason.UNKNOWN_KEY: 401,
    Reason.TOO_LARGE: 413,
    Reason.TOO_SLOW: 408,
    Reason.STOPPING: 503,
    Reason.NO_BACKEND: 503,
    Reason.OVERLOADED: 503,
    Reason.TOO_LATE: 503,
    Reason.RETRY_BUDGET: 503,
    Reason.NOT_RUN: 503,
    Reason.OUTCOME_UNKNOWN: 502,
    Reason.TIMED_OUT: 504,
}


@dataclasses.dataclass(frozen=True)
class Refusal:
    """An answer of the gateway's own.

    Attributes
    ----------
    reason : Reason
        Why.
    retry_after : float or None
        When to come back, in seconds from now.
    closes : bool
        Whether the connection ends with it.
    """

    reason: Reason
    retry_after: float | None = None
    closes: bool = False

    @property
    def status(self) -> int:
        """HTTP status."""
        return _STATUS[self.reason]

    def headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers of the answer."""
        headers = [(b'content-type', b'application/json')]
        if self.retry_after is not None:
            after = b'%.3f' % self.retry_after
            headers.append((b'retry-after', after))
        if self.closes:
            headers.append((b'connection', b'close'))
        return headers

    def body(self) -> bytes:
        """Return the body of the answer."""
        return orjson.dumps({'error': {'reason': self.reason.value}})
