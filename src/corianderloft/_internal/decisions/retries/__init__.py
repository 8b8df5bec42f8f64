"""Plug-ins that decide on retries."""

from corianderloft._internal.decisions.retries import bounded
from corianderloft._internal.decisions.retries import budgeted

__all__ = ['bounded', 'budgeted']
