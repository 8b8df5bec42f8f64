"""Plug-ins that decide on second attempts beside the first."""

from corianderloft._internal.decisions.hedges import never

__all__ = ['never']
