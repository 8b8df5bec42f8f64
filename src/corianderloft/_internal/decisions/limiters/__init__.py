"""Plug-ins that bound what a host has in flight on an engine."""

from corianderloft._internal.decisions.limiters import adaptive
from corianderloft._internal.decisions.limiters import slot_share

__all__ = ['adaptive', 'slot_share']
