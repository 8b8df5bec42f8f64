"""Selects, queues and admits the gateway's requests to backend servers."""

from corianderloft._internal.placement import choosers
from corianderloft._internal.placement import lanes

__all__ = ['choosers', 'lanes']
