"""Attainment, goodput and wasted work of each class.

Requests update plain counters; the metrics are set from these on collection.
"""

import collections
import dataclasses

from corianderloft._internal.metrics import registry
from corianderloft._internal.models import ids

FIRST_TOKEN_BUCKETS = (0.05, 0.1, 0.2, 0.5, 1.0, 1.9, 3.0, 5.0, 10.0, 30.0)
"""Bucket bounds, in seconds; 1.9 s is the design target."""

_REQUESTS = registry.counter(
    'class_requests_total', 'Requests that ended, by class and outcome.'
)
_ATTAINED = registry.counter(
    'class_attained_total', 'Requests that met the targets of their class.'
)
_GOODPUT = registry.counter(
    'class_goodput_tokens_total',
    'Tokens delivered in answers that met their targets.',
)
_DELIVERED = registry.counter(
    'class_delivered_tokens_total', 'Tokens delivered to callers.'
)
_WASTED = registry.counter(
    'class_wasted_tokens_total',
    'Tokens that were generated and reached no caller.',
)
_FIRST_TOKEN = registry.histogram(
    'class_first_token_seconds',
    'Time from arrival to the first token.',
    FIRST_TOKEN_BUCKETS,
)


@dataclasses.dataclass(frozen=True)
class ClassId:
    """A class of a service."""

    service: ids.ServiceName
    class_name: ids.ClassName
    tier: ids.Tier


@dataclasses.dataclass(frozen=True)
class RequestOutcome:
    """Outcome of one request, as counted in the metrics.

    Attributes
    ----------
    outcome : str
        ``answered``, or the reason of the refusal.
    attained : bool
        Whether all targets of the class were met.
    delivered_tokens : int
        Number of tokens delivered to the caller.
    wasted_tokens : int
        Number of tokens generated but not delivered to any caller.
    first_token : float or None
        Time from arrival to the first token or, for a plain service, to
        the complete response, in seconds.
    """

    outcome: str
    attained: bool
    delivered_tokens: int = 0
    wasted_tokens: int = 0
    first_token: float | None = None


@dataclasses.dataclass
class _Totals:
    """Totals of one class since the process started."""

    outcomes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    attained: int = 0
    goodput_tokens: int = 0
    delivered_tokens: int = 0
    wasted_tokens: int = 0


_TOTALS: collections.defaultdict[ClassId, _Totals] = collections.defaultdict(
    _Totals
)


def record(class_id: ClassId, end: RequestOutcome) -> None:
    """Count one finished request."""
    totals = _TOTALS[class_id]
    totals.outcomes[end.outcome] += 1
    totals.delivered_tokens += end.delivered_tokens
    totals.wasted_tokens += end.wasted_tokens
    if end.attained:
        totals.attained += 1
        totals.goodput_tokens += end.delivered_tokens
    if end.first_token is not None:
        _FIRST_TOKEN.add(_labels(class_id), end.first_token)


def _labels(class_id: ClassId) -> dict[str, str]:
    return {
        'service': class_id.service,
        'class': class_id.class_name,
        'tier': str(class_id.tier),
    }


@registry.on_collect
def _collect() -> None:
    for class_id, totals in _TOTALS.items():
        labels = _labels(class_id)
        _ATTAINED.set(labels, totals.attained)
        _GOODPUT.set(labels, totals.goodput_tokens)
        _DELIVERED.set(labels, totals.delivered_tokens)
        _WASTED.set(labels, totals.wasted_tokens)
        for outcome, count in totals.outcomes.items():
            _REQUESTS.set(labels | {'outcome': outcome}, count)
