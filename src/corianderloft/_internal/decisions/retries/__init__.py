"""Plug-ins that decide whether to retry a failed attempt."""

from corianderloft._internal.decisions.retries import bounded
from corianderloft._internal.decisions.retries import budgeted

__all__ = ['bounded', 'budgeted']
