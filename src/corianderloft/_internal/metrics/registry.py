"""The one registry of metrics, and how a module makes its own."""

import collections.abc
import typing

from aioprometheus import collectors

PREFIX = 'corianderloft_'

REGISTRY = collectors.Registry()
"""All metrics of this process."""

Collect = collections.abc.Callable[[], None]

_COLLECTS: list[Collect] = []

C = typing.TypeVar('C', bound=collectors.Collector)


def counter(name: str, doc: str) -> collectors.Counter:
    """Return the counter called ``corianderloft_<name>``."""
    return _shared(collectors.Counter, name, doc)


def gauge(name: str, doc: str) -> collectors.Gauge:
    """Return the gauge called ``corianderloft_<name>``."""
    return _shared(collectors.Gauge, name, doc)


def histogram(
    name: str, doc: str, buckets: collections.abc.Sequence[float]
) -> collectors.Histogram:
    """Return the histogram called ``corianderloft_<name>``."""
    return _shared(collectors.Histogram, name, doc, buckets=buckets)


def on_collect(collect: Collect) -> Collect:
    """Call ``collect`` before each exposition, to set metrics then.

    Hot paths keep plain numbers, and the metrics are set from them only
    when somebody reads.
    """
    _COLLECTS.append(collect)
    return collect


def stop_collecting(collect: Collect) -> None:
    """Call ``collect`` no more."""
    _COLLECTS.remove(collect)


def collect_all() -> None:
    """Bring all metrics up to date."""
    for collect in _COLLECTS:
        collect()


def _shared(kind: type[C], name: str, doc: str, **options: typing.Any) -> C:
    """Return the metric of a name, made on first use.

    Raises
    ------
    ValueError
        If the name belongs to a metric of another kind.
    """
    full_name = PREFIX + name
    if full_name not in REGISTRY.collectors:
        return kind(full_name, doc, registry=REGISTRY, **options)
    found = REGISTRY.collectors[full_name]
    if not isinstance(found, kind):
        raise ValueError(f'metric {full_name!r} is a {found.kind.name}')
    return found
