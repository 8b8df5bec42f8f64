"""Second attempt of one request: asks for it, and records what came of it."""

import math

import trio

from corianderloft._internal.gateway import metrics
from corianderloft._internal.gateway import request_log
from corianderloft._internal.placement import engines
from corianderloft._internal.placement import grants
from corianderloft._internal.placement import hedging
from corianderloft._internal.placement import interface
from corianderloft._internal.placement import placer


class RequestHedge:
    """The second attempt of one request, if there is one.

    Parameters
    ----------
    request_placer : Placer
        Assigns it to a backend server.
    job : Job
        The request.
    repeatable : bool
        Whether the request may run more than once.

    Attributes
    ----------
    started : bool
        Whether there is, or was, a second attempt.
    """

    def __init__(
        self,
        request_placer: placer.Placer,
        job: interface.Job,
        repeatable: bool,
    ) -> None:
        self._placer = request_placer
        self._job = job
        self._repeatable = repeatable
        self._is_decided = False
        self._second: engines.Key | None = None
        self._has_won = False
        self.started = False

    @property
    def possible(self) -> bool:
        """Whether a second attempt may still be started."""
        return (
            self._repeatable
            and self._placer.hedges.enabled
            and not self._is_decided
        )

    def record_send(self, sends: int) -> None:
        """Record that the request is sent for the ``sends``-th time."""
        if sends > 1 or not self._placer.hedges.enabled:
            return
        self._placer.hedges.record_started(self._job)
        metrics.count_work(
            self._job.service, 'started', hedging.cost(self._job)
        )

    def delay(self, first: grants.Grant) -> float:
        """Return after which wait to ask for it; infinite for never."""
        if not self.possible:
            return math.inf
        return self._placer.hedges.delay(
            first.engine, first.expected_wait(), self._job.route.target
        )

    def try_start(
        self,
        first: grants.Grant,
        waited: float,
        begun: bool,
        attempts_left: bool,
        tried: set[engines.Key],
    ) -> grants.Grant | None:
        """Return a permission for the second attempt, or None.

        Parameters
        ----------
        first : Grant
            Permission of the first attempt.
        waited : float
            Time since it was sent, in seconds.
        begun : bool
            Whether its answer has begun.
        attempts_left : bool
            Whether the route and the deadline allow another attempt.
        tried : set of Key
            Backend servers that were sent the request.
        """
        self._is_decided = True
        job, now = self._job, trio.current_time()
        why = hedging.refusal(
            hedging.Situation(
                repeatable=self._repeatable,
                begun=begun,
                attempts_left=attempts_left,
                waiting=self._placer.waiting,
                work_allowed=self._placer.hedges.allows(job),
                retry_allowed=self._placer.retries.allows(job.service, now),
            )
        )
        found = why or self._placer.try_acquire_hedge(job, tried, waited)
        if isinstance(found, hedging.Refusal):
            metrics.count_hedge_refused(job.service, found.value)
            request_log.hedge_refused(job, first.engine, found, waited)
            return None
        self._placer.retries.try_acquire(job.service, now)
        self._placer.hedges.spend(job)
        self._second = found.engine.key
        self.started = True
        cost = hedging.cost(job)
        metrics.count_hedge(job.service, 'started')
        metrics.count_work(job.service, 'added', cost)
        request_log.hedge_started(
            job, first.engine, found.engine, waited, cost
        )
        return found

    def record_answer(self, engine: engines.Engine) -> None:
        """Record which server's answer the caller gets."""
        self._has_won = engine.key == self._second

    def close(self) -> None:
        """Record the result of the second attempt at the end of a request."""
        if not self.started:
            return
        event = 'won' if self._has_won else 'lost'
        metrics.count_hedge(self._job.service, event)
        request_log.hedge_ended(self._job, event)
