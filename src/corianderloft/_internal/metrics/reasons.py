"""Counters of each refusal and retry reason, initialized to 0."""

import enum
import typing

from aioprometheus import collectors

from corianderloft._internal.metrics import registry
from corianderloft._internal.models import reasons

REFUSALS = registry.counter(
    'refusals_total', 'Requests that were not answered, by reason.'
)
RETRIES = registry.counter(
    'retries_total', 'Attempts after the first of a request, by reason.'
)
RETRY_REFUSALS = registry.counter(
    'retry_refusals_total',
    'Failed requests that were not sent again, by reason.',
)

COUNTERS: dict[type[enum.Enum], collectors.Counter] = {
    reasons.RefusalReason: REFUSALS,
    reasons.RetryReason: RETRIES,
    reasons.RetryRefusalReason: RETRY_REFUSALS,
}
"""Counter for each enumeration of reasons."""

Reason = (
    reasons.RefusalReason | reasons.RetryReason | reasons.RetryRefusalReason
)


def count(reason: Reason) -> None:
    """Count one refusal, retry or refused retry."""
    COUNTERS[type(reason)].inc({'reason': reason.value})


def counts(kind: type[enum.Enum]) -> dict[str, int]:
    """Return the count of each reason of one enumeration."""
    metric = COUNTERS[kind]
    return {
        reason.value: int(
            typing.cast(float, metric.get({'reason': reason.value}))
        )
        for reason in kind
    }


def _initialize_counters() -> None:
    """Create a sample for each reason, so that rates exist from the start."""
    for kind, metric in COUNTERS.items():
        for reason in kind:
            metric.add({'reason': reason.value}, 0)


_initialize_counters()
