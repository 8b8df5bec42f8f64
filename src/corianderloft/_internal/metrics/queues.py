"""Metrics of the length and age of the queue of each tier."""

import collections.abc
import contextlib
import dataclasses

from corianderloft._internal.metrics import registry
from corianderloft._internal.models import ids

_LENGTH = registry.gauge(
    'queue_requests', 'Requests that wait, by service and tier.'
)
_AGE = registry.gauge(
    'queue_oldest_seconds',
    'Age of the oldest request that waits, by service and tier.',
)


@dataclasses.dataclass(frozen=True)
class QueueState:
    """State of the queue of one tier of one service.

    Attributes
    ----------
    service : ServiceName
        Name of the service.
    tier : Tier
        Priority of the requests.
    waiting : int
        Number of waiting requests.
    oldest : float
        Age of the oldest waiting request, in seconds.
    """

    service: ids.ServiceName
    tier: ids.Tier
    waiting: int
    oldest: float


QueueSource = collections.abc.Callable[
    [], collections.abc.Iterable[QueueState]
]


@contextlib.contextmanager
def registered_source(source: QueueSource) -> collections.abc.Iterator[None]:
    """Set the metrics from ``source`` at each exposition in the block."""
    seen: set[tuple[str, ids.Tier]] = set()

    def collect() -> None:
        states = {(s.service, s.tier): s for s in source()}
        seen.update(states)
        for service, tier in seen:
            state = states.get((ids.ServiceName(service), tier))
            labels = {'service': service, 'tier': str(tier)}
            _LENGTH.set(labels, state.waiting if state else 0)
            _AGE.set(labels, state.oldest if state else 0.0)

    registry.on_collect(collect)
    try:
        yield
    finally:
        registry.remove_collect_callback(collect)
