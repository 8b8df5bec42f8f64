"""Metrics of the gateway."""

import collections

from corianderloft._internal.metrics import registry
from corianderloft._internal.placement import interface

LATENCY_BUCKETS_S = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.4,
    0.8,
    1.6,
    3.2,
    6.4,
    12.8,
)
"""Upper bounds of the buckets; latency targets are between 0.1 and 1.2 s."""

_REQUESTS_ENDED = registry.counter(
    'gateway_requests_total', 'Requests ended, by route, result and reason.'
)
_SENDS_FAILED = registry.counter(
    'gateway_sends_failed_total', 'Sends without an answer, by cause.'
)
_RETRIES_REFUSED = registry.counter(
    'gateway_repeats_refused_total',
    'Repeated sends refused by the budget, by service.',
)
_FIRST_BYTE_SECONDS = registry.histogram(
    'gateway_first_byte_seconds',
    'Time from arrival to the first byte of an answer, by route.',
    LATENCY_BUCKETS_S,
)
_RESPONSE_SECONDS = registry.histogram(
    'gateway_answer_seconds',
    'Time from arrival to the end of an answer, by route.',
    LATENCY_BUCKETS_S,
)
_LOG_LINES_DROPPED = registry.gauge(
    'log_lines_dropped', 'Log lines dropped because nobody read them in time.'
)

_requests_ended: collections.Counter[tuple[str, str, str]] = (
    collections.Counter()
)
_sends_failed: collections.Counter[str] = collections.Counter()
_retries_refused: collections.Counter[str] = collections.Counter()


def count_ended(route: str, result: str, reason: str) -> None:
    """Count a finished request."""
    _requests_ended[route, result, reason] += 1


def count_send_failed(outcome: interface.AttemptOutcome) -> None:
    """Count a failed send to a backend server."""
    _sends_failed[outcome.value] += 1


def count_retry_refused(service: str) -> None:
    """Count a retry that the budget did not allow."""
    _retries_refused[service] += 1


def observe(route: str, first_byte_s: float | None, total_s: float) -> None:
    """Record the latencies of a response, in seconds."""
    if first_byte_s is not None:
        _FIRST_BYTE_SECONDS.observe({'route': route}, first_byte_s)
    _RESPONSE_SECONDS.observe({'route': route}, total_s)


def set_dropped_lines(count: int) -> None:
    """Set the number of dropped log lines."""
    _LOG_LINES_DROPPED.set({}, count)


@registry.on_collect
def _collect() -> None:
    for (route, result, reason), count in _requests_ended.items():
        labels = {'route': route, 'result': result, 'reason': reason}
        _REQUESTS_ENDED.set(labels, count)
    for cause, count in _sends_failed.items():
        _SENDS_FAILED.set({'cause': cause}, count)
    for service, count in _retries_refused.items():
        _RETRIES_REFUSED.set({'service': service}, count)
