"""Plug-ins that decide on retries."""

from corianderloft._internal.decisions.retries import bounded

__all__ = ['bounded']
