"""Rate limit of this process for calls to the key-value service.

The service counts the calls of all processes together, an open watch as one
call, so each process stays within its share.
"""

import enum

from corianderloft._internal.kv import interface
from corianderloft._internal.metrics import registry as metrics
from corianderloft._internal.settings import kv as kv_settings
from corianderloft._internal.utils import token_bucket

ATTEMPTS = metrics.counter(
    'kv_attempts_total',
    'Calls sent to the key-value service, repeats included, by kind and '
    'outcome.',
)
CALLS_OVER_BUDGET = metrics.counter(
    'kv_calls_over_budget_total', 'Calls not made: over the budget, by kind.'
)
CALLS_RETRIED = metrics.counter(
    'kv_calls_repeated_total', 'Calls made again after a lost reply, by kind.'
)


class CallKind(enum.Enum):
    """Kinds of calls that are counted separately."""

    READ = 'read'
    WRITE = 'write'
    LEASE = 'lease'
    WATCH = 'watch'


RESERVED_FRACTIONS = {
    CallKind.READ: 0.0,
    CallKind.WATCH: 0.0,
    CallKind.WRITE: 0.25,
    CallKind.LEASE: 0.0,
}
"""Fraction of the bucket that a call must leave, so that a burst of writes
does not cause this process to lose its leases."""


class CallBudget:
    """Token buckets for reads and writes of one process.

    Parameters
    ----------
    settings : KvSettings
        Section ``kv`` of the settings.
    """

    def __init__(self, settings: kv_settings.KvSettings) -> None:
        reads = token_bucket.TokenBucket(settings.reads_per_second)
        writes = token_bucket.TokenBucket(settings.writes_per_second)
        self._buckets = {
            CallKind.READ: reads,
            CallKind.WATCH: reads,
            CallKind.WRITE: writes,
            CallKind.LEASE: writes,
        }

    def take(self, kind: CallKind) -> interface.Unavailable | None:
        """Count a call; return `Unavailable` if it exceeds the budget."""
        if self._buckets[kind].take(RESERVED_FRACTIONS[kind]):
            return None
        CALLS_OVER_BUDGET.inc({'kind': kind.value})
        return interface.Unavailable(
            f"{kind.value} call over this process's budget (section kv)"
        )


def count_outcome(kind: CallKind, outcome: object) -> None:
    """Count the outcome of a call that was sent."""
    match outcome:
        case interface.Unavailable():
            name = 'unavailable'
        case interface.Unknown():
            name = 'unknown'
        case _:
            name = 'answered'
    ATTEMPTS.inc({'kind': kind.value, 'outcome': name})


def count_retry(kind: CallKind) -> None:
    """Count a call that is retried after a lost reply."""
    CALLS_RETRIED.inc({'kind': kind.value})
