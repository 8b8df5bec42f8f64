"""Mean prompt length of each route, learned from its requests."""

import collections
import math

from corianderloft._internal.models import ids
from corianderloft._internal.models import routing
from corianderloft._internal.placement import engine_model
from corianderloft._internal.placement import interface

MIN_EWMA_WEIGHT = 0.03
"""Lower bound on the weight of the newest prompt in the mean of its route."""

LONG_PREFILL_RATIO = 0.15
"""Ratio of a prompt's prefill time to the tightest latency or gap target of
the other routes of its service above which its route counts as long: such a
prefill delays their requests beyond their target."""

SHORT_AGAIN_RATIO = 0.7
"""Fraction of that bound below which a route no longer counts as long, so
that routes near the bound do not change lanes all the time."""


class RouteSizes:
    """Mean prompt length of each route, and route targets by service."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}
        self._counts: collections.Counter[str] = collections.Counter()
        self._routes: dict[ids.ServiceName, dict[str, routing.Route]] = {}
        self._long: set[str] = set()
        self._most_urgent: dict[ids.ServiceName, int] = {}

    def record(
        self, job: interface.Job, speed: engine_model.EngineModel
    ) -> None:
        """Record the prompt length of a request, if it has a prompt.

        Parameters
        ----------
        job : Job
            The request.
        speed : EngineModel
            Speed of the engines of its service.
        """
        prompt = job.prompt
        if prompt is None:
            return
        name = job.route.name
        urgent = self._most_urgent.get(job.service, job.urgency)
        self._most_urgent[job.service] = min(urgent, job.urgency)
        self._counts[name] += 1
        weight = max(MIN_EWMA_WEIGHT, 1 / self._counts[name])
        mean = self._means.get(name, 0.0)
        self._means[name] = mean + weight * (prompt.tokens - mean)
        self._routes.setdefault(job.service, {})[name] = job.route
        self._classify(job, speed)

    def tightest_long_target(self, job: interface.Job) -> float:
        """Return the tightest target of a service's long-prompt routes.

        Returns the target of the request's own route if there are none.
        """
        return min(
            (
                route.target
                for name, route in self._routes.get(job.service, {}).items()
                if name in self._long
            ),
            default=job.route.target,
        )

    def short_gap_target(self, job: interface.Job) -> float:
        """Return the tightest gap target of a service's short routes.

        Infinite if there is none.
        """
        return min(
            (
                route.gap_target or math.inf
                for name, route in self._routes.get(job.service, {}).items()
                if name not in self._long
            ),
            default=math.inf,
        )

    def is_most_urgent(self, job: interface.Job) -> bool:
        """Return whether no request of the service was more urgent."""
        return job.urgency <= self._most_urgent.get(job.service, 0)

    def is_long(self, job: interface.Job) -> bool:
        """Return whether the route of a request has long prompts."""
        return job.route.name in self._long

    def _classify(
        self, job: interface.Job, speed: engine_model.EngineModel
    ) -> None:
        """Decide whether the route of a request has long prompts."""
        name = job.route.name
        tightest = min(
            (
                min(route.target, route.gap_target or math.inf)
                for other, route in self._routes[job.service].items()
                if other != name
            ),
            default=job.route.target,
        )
        bound = LONG_PREFILL_RATIO * tightest
        prefill_time = speed.prefill_time(self._means[name])
        if prefill_time > bound:
            self._long.add(name)
        elif prefill_time < SHORT_AGAIN_RATIO * bound:
            self._long.discard(name)
