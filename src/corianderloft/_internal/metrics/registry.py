"""Registry of all metrics, and functions to define new ones."""

import collections.abc
import typing

from aioprometheus import collectors

PREFIX = 'corianderloft_'

REGISTRY = collectors.Registry()
"""All metrics of this process."""

CollectCallback = collections.abc.Callable[[], None]

_COLLECT_CALLBACKS: list[CollectCallback] = []

C = typing.TypeVar('C', bound=collectors.Collector)


def counter(name: str, doc: str) -> collectors.Counter:
    """Return the counter named ``corianderloft_<name>``."""
    return _get_or_create(collectors.Counter, name, doc)


def gauge(name: str, doc: str) -> collectors.Gauge:
    """Return the gauge named ``corianderloft_<name>``."""
    return _get_or_create(collectors.Gauge, name, doc)


def histogram(
    name: str, doc: str, buckets: collections.abc.Sequence[float]
) -> collectors.Histogram:
    """Return the histogram named ``corianderloft_<name>``."""
    return _get_or_create(collectors.Histogram, name, doc, buckets=buckets)


def on_collect(collect: CollectCallback) -> CollectCallback:
    """Register a callback that updates metrics before each exposition.

    Hot paths update plain numbers; the metrics are set from these only
    when they are read.
    """
    _COLLECT_CALLBACKS.append(collect)
    return collect


def remove_collect_callback(collect: CollectCallback) -> None:
    """Unregister a callback of `on_collect`."""
    _COLLECT_CALLBACKS.remove(collect)


def collect_all() -> None:
    """Update all metrics by calling the registered callbacks."""
    for collect in _COLLECT_CALLBACKS:
        collect()


def _get_or_create(
    kind: type[C], name: str, doc: str, **options: typing.Any
) -> C:
    """Return the metric named ``name``; create it on first use.

    Raises
    ------
    ValueError
        If a metric of another kind has the same name.
    """
    full_name = PREFIX + name
    if full_name not in REGISTRY.collectors:
        return kind(full_name, doc, registry=REGISTRY, **options)
    existing = REGISTRY.collectors[full_name]
    if not isinstance(existing, kind):
        raise ValueError(
            f'metric {full_name!r} already exists as a {existing.kind.name}'
        )
    return existing
