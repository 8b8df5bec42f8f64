"""Collectors of the gateway's metrics, updated when they are read.

Imported with the first exposition: the metrics library would lengthen each
start of a host by a fifth.
"""

import collections.abc

from aioprometheus import collectors

from corianderloft._internal.gateway import metrics
from corianderloft._internal.metrics import budget as budget_metrics
from corianderloft._internal.metrics import exposition
from corianderloft._internal.metrics import registry
from corianderloft._internal.placement import statements

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
_ROUTE_OUTCOMES = registry.counter(
    'gateway_route_outcomes_total',
    'What callers got by route: in target, late, refused, failed.',
)
_REFUSAL_SECONDS = registry.histogram(
    'gateway_refusal_seconds',
    'Time from arrival to a refusal, by route.',
    LATENCY_BUCKETS_S,
)
_SENDS_FAILED = registry.counter(
    'gateway_sends_failed_total', 'Sends without an answer, by cause.'
)
_RETRIES_REFUSED = registry.counter(
    'gateway_repeats_refused_total',
    'Repeated sends refused by the budget, by service.',
)
_HEDGES = registry.counter(
    'gateway_hedges_total',
    'Second attempts, by service: started, and won or lost.',
)
_HEDGES_REFUSED = registry.counter(
    'gateway_hedges_refused_total',
    'Second attempts that were not allowed, by service and reason.',
)
_WORK = registry.counter(
    'gateway_hedging_work_total',
    'Work started, and added by second attempts, in tokens or calls.',
)
_STATEMENTS = registry.counter(
    'gateway_server_statements_total',
    'Servers that said that they leave, or want no requests for a time.',
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
_DUTY_HELD = registry.gauge(
    'duty_held', 'Whether this host holds the lease for the duties.'
)
_USAGE_REPORTS = registry.counter(
    'usage_reports_total',
    'Usage reports, by event: sent, repeated, missed or failed.',
)
_ENGINES_WANTED = registry.gauge(
    'gateway_engines_wanted',
    'Engines that the demand calls for, by service, zone and kind; 0 at hosts '
    'that do not order engines.',
)
_ENGINES_ORDERED = registry.gauge(
    'gateway_engines_ordered',
    'Engines that are ordered, by service, zone and kind; 0 at hosts that do '
    'not order engines.',
)
_ENGINE_ORDERS = registry.counter(
    'gateway_engine_orders_total', 'Orders of engines, by result.'
)
_STORE_ERA = registry.gauge(
    'store_era',
    'Times that the store came back from an older copy, as it states.',
)
_LOG_LINES_DROPPED = registry.gauge(
    'log_lines_dropped', 'Log lines dropped because nobody read them in time.'
)


def expose() -> tuple[bytes, dict[str, str]]:
    """Return the body and the headers of the exposition."""
    collect()
    return exposition.expose()


def collect() -> None:
    """Set the metrics from the counts of the gateway."""
    for (route, result, reason), count in metrics.requests_ended.items():
        labels = {'route': route, 'result': result, 'reason': reason}
        _REQUESTS_ENDED.set(labels, count)
    for (route, outcome), count in metrics.route_outcomes.items():
        _ROUTE_OUTCOMES.set({'route': route, 'outcome': outcome}, count)
    for route, refusal_s in metrics.take_refusal_times():
        _REFUSAL_SECONDS.observe({'route': route}, refusal_s)
    for cause, count in metrics.sends_failed.items():
        _SENDS_FAILED.set({'cause': cause}, count)
    for service, count in metrics.retries_refused.items():
        _RETRIES_REFUSED.set({'service': service}, count)
    for (service, event), count in metrics.hedges.items():
        _HEDGES.set({'service': service, 'event': event}, count)
    for (service, reason), count in metrics.hedges_refused.items():
        _HEDGES_REFUSED.set({'service': service, 'reason': reason}, count)
    for (service, kind), count in metrics.work.items():
        _WORK.set({'service': service, 'kind': kind}, count)
    for kind, count in statements.counts.items():
        _STATEMENTS.set({'kind': kind}, count)
    for route, first_byte_s, total_s in metrics.take_latencies():
        if first_byte_s is not None:
            _FIRST_BYTE_SECONDS.observe({'route': route}, first_byte_s)
        _RESPONSE_SECONDS.observe({'route': route}, total_s)
    _DUTY_HELD.set({}, int(metrics.duty_held))
    for event, count in metrics.usage_reports.items():
        _USAGE_REPORTS.set({'event': event}, count)
    _set_engines(_ENGINES_WANTED, metrics.engines_wanted)
    _set_engines(_ENGINES_ORDERED, metrics.engines_ordered)
    for result, count in metrics.engine_orders.items():
        _ENGINE_ORDERS.set({'result': result}, count)
    for byte_counts in metrics.budgets():
        budget_metrics.collect(byte_counts)
    _STORE_ERA.set({}, metrics.store_era())
    _LOG_LINES_DROPPED.set({}, metrics.dropped_lines())


_seen_engine_labels: set[tuple[str, str, str]] = set()


def _set_engines(
    gauge: collectors.Gauge,
    counts: collections.abc.Mapping[tuple[str, str, str], int],
) -> None:
    """Set a gauge of engines; to 0 where they are ordered no more."""
    _seen_engine_labels.update(counts)
    for labels in _seen_engine_labels:
        service, zone, kind = labels
        gauge.set(
            {'service': service, 'zone': zone, 'kind': kind},
            counts.get(labels, 0),
        )
