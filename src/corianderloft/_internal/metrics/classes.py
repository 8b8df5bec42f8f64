"""Attainment, goodput and waste of each class.

Requests are added to plain numbers; the metrics are set when they are read.
"""

import collections
import dataclasses

from corianderloft._internal.metrics import registry
from corianderloft._internal.models import ids

FIRST_TOKEN_BUCKETS = (0.05, 0.1, 0.2, 0.5, 1.0, 1.9, 3.0, 5.0, 10.0, 30.0)
"""Bounds in seconds; 1.9 s is the design target."""

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
class RequestEnd:
    """How one request ended, as the metrics see it.

    Attributes
    ----------
    outcome : str
        ``answered``, or the reason of its refusal.
    attained : bool
        Whether all targets of its class were met.
    delivered_tokens : int
        Tokens that reached the caller.
    wasted_tokens : int
        Tokens that were generated for it and reached nobody.
    first_token : float or None
        Time from arrival to the first token, in seconds; for a plain
        service, to the whole answer.
    """

    outcome: str
    attained: bool
    delivered_tokens: int = 0
    wasted_tokens: int = 0
    first_token: float | None = None


@dataclasses.dataclass
class _Totals:
    """Numbers of one class since the process started."""

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


def record(class_id: ClassId, end: RequestEnd) -> None:
    """Add one request that ended."""
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
