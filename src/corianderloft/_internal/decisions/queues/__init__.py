"""Plug-ins that order the queued requests of a service."""

from corianderloft._internal.decisions.queues import fair
from corianderloft._internal.decisions.queues import fifo

__all__ = ['fair', 'fifo']
