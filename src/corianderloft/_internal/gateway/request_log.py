"""Log messages about the sends of a request."""

import logging

import trio

from corianderloft._internal.gateway import metrics
from corianderloft._internal.gateway import sending
from corianderloft._internal.models import crashes
from corianderloft._internal.models import ids
from corianderloft._internal.placement import engines
from corianderloft._internal.placement import hedging
from corianderloft._internal.placement import interface

logger = logging.getLogger(__name__)


def sent(job: interface.Job, engine: engines.Engine, number: int) -> None:
    """Log a send, with the known load of the backend server."""
    sample = engine.sample
    reported, age = None, None
    if sample is not None:
        reported = f'{sample.running},{sample.waiting}'
        age = round(trio.current_time() - engine.sampled_at, 2)
    logger.info(
        'request sent',
        extra={
            'request_id': job.request_id,
            'engine': engine.engine_id,
            'send': number,
            'tier': job.tier,
            'requests_there': engine.requests(),
            'unread_tokens': engine.pending_prefill_tokens(),
            'reported': reported,
            'reported_age_s': age,
        },
    )


def send_failed(
    job: interface.Job,
    engine: engines.Engine,
    failure: sending.SendFailure,
    progress: sending.Progress,
) -> None:
    """Count and log a send that failed.

    The shared parts of the prompt relate failures of different requests.
    """
    metrics.count_send_failed(failure.outcome)
    logger.warning(
        'send failed',
        extra={
            'request_id': job.request_id,
            'engine': engine.engine_id,
            'end': failure.outcome.value,
            'may_have_run': failure.may_have_run,
            'cause': failure.detail,
            'received': progress.value,
            'parts': _shared_part_ids(job),
            'request_hash': job.request_suspect,
        },
    )


def continuation_received(
    job: interface.Job,
    engine: engines.Engine,
    resumed_after: int | None,
    received: sending.ReceivedHead,
) -> None:
    """Log the response to a request for the rest of a stream."""
    logger.info(
        'response to a request for the rest of a stream',
        extra={
            'request_id': job.request_id,
            'engine': engine.engine_id,
            'resumed_after': resumed_after,
            'status': received.status,
            'end': received.end.value,
        },
    )


def quarantined(
    job: interface.Job, suspect_id: ids.SuspectId, remaining_s: float
) -> None:
    """Log that a request is refused since it crashes servers."""
    is_request = crashes.is_request(suspect_id)
    logger.warning(
        (
            'request not sent: it crashes backend servers'
            if is_request
            else 'request not sent: its prompt crashes backend servers'
        ),
        extra={
            'request_id': job.request_id,
            'request_hash' if is_request else 'part': suspect_id,
            'retry_after_s': round(remaining_s, 1),
        },
    )


def retry_refused(job: interface.Job, sends: int) -> None:
    """Log that the retry budget did not allow another send."""
    logger.warning(
        'request not sent again: the retry budget is used up',
        extra={'request_id': job.request_id, 'sends': sends},
    )


def hedge_started(
    job: interface.Job,
    first: engines.Engine,
    second: engines.Engine,
    waited_s: float,
    cost: float,
) -> None:
    """Log a second attempt."""
    logger.info(
        'second attempt started',
        extra={
            'request_id': job.request_id,
            'engine': second.engine_id,
            'first_engine': first.engine_id,
            'waited_s': round(waited_s, 4),
            'cost': cost,
        },
    )


def hedge_refused(
    job: interface.Job,
    first: engines.Engine,
    reason: hedging.Refusal,
    waited_s: float,
) -> None:
    """Log that a second attempt was not allowed."""
    logger.info(
        'second attempt not started',
        extra={
            'request_id': job.request_id,
            'first_engine': first.engine_id,
            'reason': reason.value,
            'waited_s': round(waited_s, 4),
        },
    )


def hedge_ended(job: interface.Job, result: str) -> None:
    """Log whether a second attempt has won."""
    logger.info(
        'second attempt ended',
        extra={'request_id': job.request_id, 'result': result},
    )


def silent_server_kept(job: interface.Job, engine: engines.Engine) -> None:
    """Log that a request stays with a server that sends nothing."""
    logger.info(
        'silent backend server kept: no other takes the request over',
        extra={
            'request_id': job.request_id,
            'engine': engine.engine_id,
            'time_left_s': round(job.deadline - trio.current_time(), 3),
        },
    )


def _shared_part_ids(job: interface.Job) -> list[str]:
    prompt = job.prompt
    return [] if prompt is None else [p.part_id for p in prompt.shared_parts]
