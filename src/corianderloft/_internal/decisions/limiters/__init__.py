"""Plug-ins that limit the in-flight requests of a host on each engine."""

from corianderloft._internal.decisions.limiters import adaptive
from corianderloft._internal.decisions.limiters import slot_share

__all__ = ['adaptive', 'slot_share']
