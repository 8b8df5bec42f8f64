"""Counters and latencies of the gateway."""

import collections

from corianderloft._internal.metrics import registry
from corianderloft._internal.placement import interface

LATENCY_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
"""Upper bounds in seconds; targets lie between 0.1 and 1.2 s."""

_ENDED = registry.counter(
    'gateway_requests_total', 'Requests ended, by route, result and reason.'
)
_FAILED = registry.counter(
    'gateway_sends_failed_total', 'Sends without an answer, by cause.'
)
_REPEATS_REFUSED = registry.counter(
    'gateway_repeats_refused_total',
    'Repeated sends refused by the budget, by service.',
)
_FIRST = registry.histogram(
    'gateway_first_byte_seconds',
    'Time from arrival to the first byte of an answer, by route.',
    LATENCY_BUCKETS,
)
_WHOLE = registry.histogram(
    'gateway_answer_seconds',
    'Time from arrival to the end of an answer, by route.',
    LATENCY_BUCKETS,
)
_LOG_LINES_DROPPED = registry.gauge(
    'log_lines_dropped', 'Log lines dropped because nobody read them in time.'
)

_ended: collections.Counter[tuple[str, str, str]] = collections.Counter()
_failed: collections.Counter[str] = collections.Counter()
_repeats_refused: collections.Counter[str] = collections.Counter()


def count_ended(route: str, result: str, reason: str) -> None:
    """Count a request that ended."""
    _ended[route, result, reason] += 1


def count_send_failed(end: interface.AttemptOutcome) -> None:
    """Count a send that brought no answer."""
    _failed[end.value] += 1


def count_repeat_refused(service: str) -> None:
    """Count a repeated send that the budget refused."""
    _repeats_refused[service] += 1


def observe(route: str, first: float | None, whole: float) -> None:
    """Note the latencies of an answer, in seconds."""
    if first is not None:
        _FIRST.observe({'route': route}, first)
    _WHOLE.observe({'route': route}, whole)


def set_dropped_lines(count: int) -> None:
    """Note how many log lines were dropped."""
    _LOG_LINES_DROPPED.set({}, count)


@registry.on_collect
def _collect() -> None:
    for (route, result, reason), count in _ended.items():
        labels = {'route': route, 'result': result, 'reason': reason}
        _ENDED.set(labels, count)
    for cause, count in _failed.items():
        _FAILED.set({'cause': cause}, count)
    for service, count in _repeats_refused.items():
        _REPEATS_REFUSED.set({'service': service}, count)
