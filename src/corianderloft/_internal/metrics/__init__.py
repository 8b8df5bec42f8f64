"""Metrics of a process, in a single registry."""

from corianderloft._internal.metrics.registry import counter
from corianderloft._internal.metrics.registry import gauge
from corianderloft._internal.metrics.registry import histogram
from corianderloft._internal.metrics.registry import on_collect
from corianderloft._internal.metrics.registry import REGISTRY

__all__ = ['REGISTRY', 'counter', 'gauge', 'histogram', 'on_collect']
