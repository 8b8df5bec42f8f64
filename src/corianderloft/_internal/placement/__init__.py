"""Decides where, when and whether a request of the gateway runs."""

from corianderloft._internal.placement import choosers
from corianderloft._internal.placement import lanes

__all__ = ['choosers', 'lanes']
