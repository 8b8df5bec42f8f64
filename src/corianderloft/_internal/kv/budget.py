"""Budget of this process for calls on the key-value service.

The service counts each call of the whole fleet, a waiting watch as one, so
every process keeps to its part.
"""

import enum

from corianderloft._internal.kv import interface
from corianderloft._internal import metrics
from corianderloft._internal.settings import kv as kv_settings
from corianderloft._internal.utils import token_bucket

ATTEMPTS = metrics.counter(
    'kv_attempts_total',
    'Calls sent to the key-value service, repeats included, by kind and '
    'outcome.',
)
REFUSED = metrics.counter(
    'kv_calls_over_budget_total', 'Calls not made: over the budget, by kind.'
)
REPEATED = metrics.counter(
    'kv_calls_repeated_total', 'Calls made again after a lost reply, by kind.'
)


class CallKind(enum.Enum):
    """Kinds of calls that are counted apart."""

    READ = 'read'
    WRITE = 'write'
    LEASE = 'lease'
    WATCH = 'watch'


KEPT_FRACTIONS = {
    CallKind.READ: 0.0,
    CallKind.WATCH: 0.0,
    CallKind.WRITE: 0.25,
    CallKind.LEASE: 0.0,
}
"""Part of the bucket that a call must leave: a burst of writes does not cost
this process its leases."""


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
        """Count a call; return a refusal when it is over the budget."""
        if self._buckets[kind].take(KEPT_FRACTIONS[kind]):
            return None
        REFUSED.inc({'kind': kind.value})
        return interface.Unavailable(
            f"{kind.value} call over this process's budget (section kv)"
        )


def count_outcome(kind: CallKind, outcome: object) -> None:
    """Count a call that was made, by how it ended."""
    match outcome:
        case interface.Unavailable():
            name = 'unavailable'
        case interface.Unknown():
            name = 'unknown'
        case _:
            name = 'answered'
    ATTEMPTS.inc({'kind': kind.value, 'outcome': name})


def count_repeat(kind: CallKind) -> None:
    """Count a call that is made again after a lost reply."""
    REPEATED.inc({'kind': kind.value})
