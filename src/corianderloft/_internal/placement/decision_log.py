"""Log lines of the decisions on where requests go."""

import collections.abc
import logging

import trio

from corianderloft._internal.placement import engines
from corianderloft._internal.placement import interface
from corianderloft._internal.placement import queue

logger = logging.getLogger(__name__)


def refused(
    waiter: queue.Waiter,
    outcome: interface.Refused,
    live: collections.abc.Sequence[engines.Engine],
    waiting: int,
) -> None:
    """Log that a request goes nowhere, with what that was decided on.

    Parameters
    ----------
    waiter : Waiter
        The request.
    outcome : Refused
        What it is told.
    live : sequence of Engine
        Backend servers of its service that are not leaving.
    waiting : int
        Requests that wait at this host.
    """
    now = trio.current_time()
    reading = [engine.reading_time(0, now) for engine in live]
    logger.info(
        'no backend server may take the request',
        extra={
            'request_id': waiter.job.request_id,
            'reason': outcome.reason.value,
            'retry_after_s': round(outcome.retry_after, 3),
            'waited_s': round(now - waiter.job.arrived, 3),
            'waiting_here': waiting,
            'live': len(live),
            'usable': sum(engine.health.usable(now) for engine in live),
            'tried': len(waiter.exclude),
            'least_reading_s': round(min(reading, default=0.0), 3),
        },
    )


def ejected(engine: engines.Engine, end: interface.AttemptOutcome) -> None:
    """Log that a backend server is kept out after a failure."""
    logger.warning(
        'backend server ejected',
        extra={
            'engine': engine.engine_id,
            'end': end.value,
            'error_share': round(engine.health.error_share, 2),
        },
    )


def in_use_again(
    engine: engines.Engine, end: interface.AttemptOutcome
) -> None:
    """Log that a backend server answered after it had been ejected."""
    logger.info(
        'backend server in use again',
        extra={'engine': engine.engine_id, 'end': end.value},
    )
