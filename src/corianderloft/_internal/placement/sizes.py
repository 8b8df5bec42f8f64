"""How long the prompts of each route are, learned from its requests."""

import collections

from corianderloft._internal.models import ids
from corianderloft._internal.placement import engines
from corianderloft._internal.placement import interface

SIZE_WEIGHT = 0.03
"""Least weight of the newest prompt in the mean of its route."""

LONG_PART = 0.15
"""Part of the tightest target of a service from which the reading of one
prompt makes the others late."""


class RouteSizes:
    """Mean prompt of each route, and the tightest target of each service."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}
        self._counts: collections.Counter[str] = collections.Counter()
        self._targets: dict[ids.ServiceName, dict[str, float]] = {}

    def note(self, job: interface.Job) -> None:
        """Take in the prompt of one request, if it has one."""
        prompt = job.prompt
        if prompt is None:
            return
        name = job.route.name
        self._counts[name] += 1
        weight = max(SIZE_WEIGHT, 1 / self._counts[name])
        mean = self._means.get(name, 0.0)
        self._means[name] = mean + weight * (prompt.tokens - mean)
        self._targets.setdefault(job.service, {})[name] = job.route.target

    def tightest_long(self, job: interface.Job) -> float:
        """Return the tightest target of the long routes of a service."""
        return min(
            (
                target
                for name, target in self._targets.get(job.service, {}).items()
                if self._long(job.service, name)
            ),
            default=job.route.target,
        )

    def is_long(self, job: interface.Job) -> bool:
        """Return whether the route of a request has long prompts."""
        return self._long(job.service, job.route.name)

    def _long(self, service: ids.ServiceName, name: str) -> bool:
        if name not in self._means:
            return False
        tightest = min(self._targets[service].values())
        reading = self._means[name] / engines.READ_RATE
        return reading > LONG_PART * tightest
