"""Plug-ins that order the requests waiting for a service."""

from corianderloft._internal.decisions.queues import fair
from corianderloft._internal.decisions.queues import fifo

__all__ = ['fair', 'fifo']
