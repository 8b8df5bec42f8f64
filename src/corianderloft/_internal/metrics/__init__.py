"""Metrics of a process; one registry for all."""

from corianderloft._internal.metrics.registry import counter
from corianderloft._internal.metrics.registry import gauge
from corianderloft._internal.metrics.registry import histogram
from corianderloft._internal.metrics.registry import on_collect
from corianderloft._internal.metrics.registry import REGISTRY

__all__ = ['REGISTRY', 'counter', 'gauge', 'histogram', 'on_collect']
