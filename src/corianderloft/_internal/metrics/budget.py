"""Metrics of the byte budget."""

import collections.abc
import contextlib
import functools

from corianderloft._internal.metrics import registry
from corianderloft._internal.network import byte_budget

_HELD = registry.gauge(
    'held_bytes', 'Bytes held for callers, by part of the budget.'
)
_SIZE = registry.gauge(
    'held_bytes_limit', 'Size of the byte budget, by part of it.'
)
_DROPPED = registry.counter(
    'clients_dropped_total',
    'Slow clients disconnected to free memory, by part of the budget.',
)
_REFUSED = registry.counter(
    'memory_refusals_total',
    'Requests for which there was no memory in time, by part of the budget.',
)


def collect(budget: byte_budget.ByteBudget) -> None:
    """Set the metrics from the budget."""
    for part in byte_budget.Part:
        labels = {'part': part.value}
        _HELD.set(labels, budget.used(part))
        _SIZE.set(labels, budget.size(part))
        _DROPPED.set(labels, budget.dropped[part])
        _REFUSED.set(labels, budget.refused[part])


@contextlib.contextmanager
def registered_source(
    budget: byte_budget.ByteBudget,
) -> collections.abc.Iterator[None]:
    """Set the metrics from ``budget`` at each exposition in the block."""
    update = registry.on_collect(functools.partial(collect, budget))
    try:
        yield
    finally:
        registry.remove_collect_callback(update)
