"""Output lengths and durations of each route, learned from its answers."""

import dataclasses

from corianderloft._internal.models import ids
from corianderloft._internal.placement import interface

PRIOR_OUTPUT_RATIO = 0.5
"""Ratio of the output to its maximum assumed before the first answers."""

PRIOR_ANSWERS = 4
"""Answers that outweigh the prior."""

MIN_EWMA_WEIGHT = 0.03
"""Lower bound on the weight of the newest answer in the means."""

EXTRA_EVENTS = 2
"""Events of a stream besides full ones: the first often holds one token, and
the end of the stream is an event without any."""

MIN_MAX_OUTPUT = 64
"""Shortest maximum output from which the density of events is learned: the
first and the last event of shorter answers hold fewer tokens than others."""

DENSITY_DECAY = 0.999
"""Factor per answer on the greatest density of events, so that a change of
the engines is followed."""


@dataclasses.dataclass
class _Route:
    answers: int = 0
    ratio: float = 0.0
    deviation: float = 0.0
    duration: float = 0.0
    duration_deviation: float = 0.0


class OutputLengths:
    """Estimates the output of requests from the events of earlier ones.

    How many tokens an event holds is unknown. The greatest ratio of events
    to the maximum output within a service is that of answers that came close
    to their maximum, so a request with a fraction of that ratio generated
    about that fraction of its maximum. If no answer comes close, estimates
    are too large, which wastes memory but does not exceed it.
    """

    def __init__(self) -> None:
        self._routes: dict[str, _Route] = {}
        self._densities: dict[ids.ServiceName, float] = {}

    def record(self, job: interface.Job, events: int, duration: float) -> None:
        """Record a complete answer.

        Parameters
        ----------
        job : Job
            The request.
        events : int
            Events of its stream; 0 if that is unknown.
        duration : float
            Time from the send to the end of the answer, in seconds.
        """
        if job.route.kind.streamed and not events:
            # An error, or the rest of a stream that began elsewhere.
            return
        route = self._routes.setdefault(job.route.name, _Route())
        route.answers += 1
        weight = max(MIN_EWMA_WEIGHT, 1 / route.answers)
        error = duration - route.duration
        route.duration += weight * error
        if route.answers > 1:
            route.duration_deviation += weight * (
                abs(error) - route.duration_deviation
            )
        max_output = job.prompt.max_output if job.prompt else 0
        if events == 0 or max_output == 0:
            return
        # An event holds a token at least; comments may be counted as events.
        ratio = min(1.0, max(1, events - EXTRA_EVENTS) / max_output)
        error = ratio - route.ratio
        route.ratio += weight * error
        if route.answers > 1:
            route.deviation += weight * (abs(error) - route.deviation)
        if max_output >= MIN_MAX_OUTPUT:
            density = self._densities.get(job.service, 0.0) * DENSITY_DECAY
            self._densities[job.service] = max(density, ratio)

    def expected_output(self, job: interface.Job) -> int:
        """Return the tokens to reserve for the output of a request.

        One mean deviation above the mean, and at most its maximum.
        """
        if job.prompt is None:
            return 0
        fraction = PRIOR_OUTPUT_RATIO
        route = self._routes.get(job.route.name)
        density = self._densities.get(job.service)
        if route is not None and route.ratio and density:
            learned = min(1.0, (route.ratio + route.deviation) / density)
            trust = min(1.0, route.answers / PRIOR_ANSWERS)
            fraction += trust * (learned - fraction)
        return max(1, round(fraction * job.prompt.max_output))

    def expected_duration(self, job: interface.Job) -> float:
        """Return the time from a send to the end, 0 if unknown.

        One mean deviation above the mean.
        """
        route = self._routes.get(job.route.name)
        if route is None:
            return 0.0
        return route.duration + route.duration_deviation
