"""Mean prompt length of each route, learned from its requests."""

import collections

from corianderloft._internal.models import ids
from corianderloft._internal.placement import engines
from corianderloft._internal.placement import interface

MIN_EWMA_WEIGHT = 0.03
"""Lower bound on the weight of the newest prompt in the mean of its route."""

LONG_PREFILL_TARGET_RATIO = 0.15
"""Ratio of a prompt's prefill time to the tightest target of its service
above which its route counts as long: such a prefill delays other requests
beyond their target."""


class RouteSizes:
    """Mean prompt length of each route, and route targets by service."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}
        self._counts: collections.Counter[str] = collections.Counter()
        self._targets: dict[ids.ServiceName, dict[str, float]] = {}

    def record(self, job: interface.Job) -> None:
        """Record the prompt length of a request, if it has a prompt."""
        prompt = job.prompt
        if prompt is None:
            return
        name = job.route.name
        self._counts[name] += 1
        weight = max(MIN_EWMA_WEIGHT, 1 / self._counts[name])
        mean = self._means.get(name, 0.0)
        self._means[name] = mean + weight * (prompt.tokens - mean)
        self._targets.setdefault(job.service, {})[name] = job.route.target

    def tightest_long_target(self, job: interface.Job) -> float:
        """Return the tightest target of a service's long-prompt routes.

        Returns the target of the request's own route if there are none.
        """
        return min(
            (
                target
                for name, target in self._targets.get(job.service, {}).items()
                if self._is_long_route(job.service, name)
            ),
            default=job.route.target,
        )

    def is_long(self, job: interface.Job) -> bool:
        """Return whether the route of a request has long prompts."""
        return self._is_long_route(job.service, job.route.name)

    def _is_long_route(self, service: ids.ServiceName, name: str) -> bool:
        if name not in self._means:
            return False
        tightest = min(self._targets[service].values())
        prefill_time = self._means[name] / engines.PREFILL_TOKENS_PER_S
        return prefill_time > LONG_PREFILL_TARGET_RATIO * tightest
