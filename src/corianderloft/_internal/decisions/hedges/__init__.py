"""Plug-ins that decide when to hedge a request."""

from corianderloft._internal.decisions.hedges import budgeted
from corianderloft._internal.decisions.hedges import never

__all__ = ['budgeted', 'never']
