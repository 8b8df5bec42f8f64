"""Log records of placement decisions."""

import collections.abc
import logging

import trio

from corianderloft._internal.placement import engines
from corianderloft._internal.placement import interface
from corianderloft._internal.placement import queue

logger = logging.getLogger(__name__)


def refused(
    waiter: queue.Waiter,
    refusal: interface.Refused,
    live: collections.abc.Sequence[engines.Engine],
    waiting: int,
    ahead: int = 0,
) -> None:
    """Log that a request was refused, with the inputs of that decision.

    Parameters
    ----------
    waiter : Waiter
        The request.
    refusal : Refused
        Reason and retry delay that the caller receives.
    live : sequence of Engine
        Backend servers of its service that are not draining.
    waiting : int
        Requests queued at this host.
    ahead : int
        Tokens of the queued requests that were ahead of it.
    """
    now = trio.current_time()
    prefill_times = [engine.prefill_time(0, now) for engine in live]
    logger.info(
        'no backend server may take the request',
        extra={
            'request_id': waiter.job.request_id,
            'reason': refusal.reason.value,
            'retry_after_s': round(refusal.retry_after, 3),
            'waited_s': round(now - waiter.job.arrived, 3),
            'route': waiter.job.route.name,
            'waiting_here': waiting,
            'tokens_ahead': ahead,
            'live': len(live),
            'usable': sum(engine.health.usable(now) for engine in live),
            'refusing': sum(e.statements.refuses_until > now for e in live),
            'limited': sum(e.rate_limit.limit is not None for e in live),
            'tried': len(waiter.exclude),
            'least_reading_s': round(min(prefill_times, default=0.0), 3),
        },
    )


def ejected(engine: engines.Engine, outcome: interface.AttemptOutcome) -> None:
    """Log that a backend server was ejected after a failure."""
    logger.warning(
        'backend server ejected',
        extra={
            'engine': engine.engine_id,
            'end': outcome.value,
            'error_share': round(engine.health.error_share, 2),
        },
    )


def readmitted(
    engine: engines.Engine, outcome: interface.AttemptOutcome
) -> None:
    """Log that an ejected backend server answered a request again."""
    logger.info(
        'backend server in use again',
        extra={'engine': engine.engine_id, 'end': outcome.value},
    )
