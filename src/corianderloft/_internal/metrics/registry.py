"""The one registry of metrics, and how a module makes its own."""

import collections.abc

from aioprometheus import collectors

REGISTRY = collectors.Registry()
"""All metrics of this process."""


def counter(name: str, doc: str) -> collectors.Counter:
    """Return a new counter called ``corianderloft_<name>``."""
    return collectors.Counter(f'corianderloft_{name}', doc, registry=REGISTRY)


def gauge(name: str, doc: str) -> collectors.Gauge:
    """Return a new gauge called ``corianderloft_<name>``."""
    return collectors.Gauge(f'corianderloft_{name}', doc, registry=REGISTRY)


def histogram(
    name: str, doc: str, buckets: collections.abc.Sequence[float]
) -> collectors.Histogram:
    """Return a new histogram called ``corianderloft_<name>``."""
    return collectors.Histogram(
        f'corianderloft_{name}', doc, registry=REGISTRY, buckets=buckets
    )
