"""Plug-ins that choose an engine for each request."""

from corianderloft._internal.decisions.balancers import least_reported_load
from corianderloft._internal.decisions.balancers import observed
from corianderloft._internal.decisions.balancers import round_robin

__all__ = ['least_reported_load', 'observed', 'round_robin']
