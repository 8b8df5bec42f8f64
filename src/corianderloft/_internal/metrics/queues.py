"""Length and age of the queues of each tier."""

import collections.abc
import dataclasses

from corianderloft._internal.metrics import registry
from corianderloft._internal.models import ids

_LENGTH = registry.gauge('queue_requests', 'Requests that wait, by tier.')
_AGE = registry.gauge(
    'queue_oldest_seconds', 'Age of the oldest request that waits, by tier.'
)


@dataclasses.dataclass(frozen=True)
class QueueState:
    """Queue of one tier.

    Attributes
    ----------
    tier : Tier
        The tier.
    waiting : int
        Requests that wait.
    oldest : float
        Age of the oldest of them, in seconds.
    """

    tier: ids.Tier
    waiting: int
    oldest: float


Source = collections.abc.Callable[[], collections.abc.Iterable[QueueState]]


def watch(source: Source) -> None:
    """Ask ``source`` for all queues at each exposition."""

    def collect() -> None:
        for state in source():
            labels = {'tier': str(state.tier)}
            _LENGTH.set(labels, state.waiting)
            _AGE.set(labels, state.oldest)

    registry.on_collect(collect)
