"""Plug-ins that decide on second attempts beside the first."""

from corianderloft._internal.decisions.hedges import budgeted
from corianderloft._internal.decisions.hedges import never

__all__ = ['budgeted', 'never']
