"""Metrics exposition and the ASGI application that serves it."""

import collections.abc
import typing

from aioprometheus import renderer

from corianderloft._internal.metrics import control_page
from corianderloft._internal.metrics import registry
from corianderloft._internal.network import connection_stats
from corianderloft._internal.network import inbound
from corianderloft._internal.network import serving
from corianderloft._internal.network import slots

__all__ = ['app', 'control_page', 'expose']

_UNUSED_CLOSED = registry.counter(
    'connections_closed_total',
    'Connections closed because other clients waited, by reason.',
)
_PROTOCOL_ERRORS = registry.counter(
    'protocol_errors_total', 'Requests that were not valid HTTP, by status.'
)

_CONNECTIONS = registry.gauge(
    'connections', 'Open connections, by port and use.'
)
_QUEUED = registry.gauge(
    'connections_queued', 'Connections that wait to be accepted, by port.'
)
_ACCEPTED = registry.counter(
    'connections_accepted_total',
    'Accepted connections, by port and whether the client was still there.',
)
_CONNECTIONS_REFUSED = registry.counter(
    'connections_refused_total',
    'Connections that got a refusal as none was free in time, by port.',
)
_CONNECTION_SECONDS = registry.histogram(
    'connection_seconds',
    'Time of a new connection, by port and stage: from the last bytes to '
    'being accepted, and from there to the first read and the first response.',
    (0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0),
)
_LOOP_DELAY_SECONDS = registry.histogram(
    'loop_delay_seconds',
    'Time by which the event loop was late, sampled once a second.',
    (0.001, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0),
)

DEFAULT_ACCEPT = ('text/plain',)

Send = collections.abc.Callable[
    [dict[str, typing.Any]], collections.abc.Awaitable[None]
]


def expose(
    accept: collections.abc.Sequence[str] = DEFAULT_ACCEPT,
) -> tuple[bytes, dict[str, str]]:
    """Return the body and the headers of the exposition.

    Parameters
    ----------
    accept : sequence of str
        Values of the ``Accept`` header of the request.
    """
    registry.collect_all()
    for reason, closed in serving.UNUSED_CLOSED.items():
        _UNUSED_CLOSED.set({'reason': reason}, closed)
    for status, count in inbound.PROTOCOL_ERRORS.items():
        _PROTOCOL_ERRORS.set({'status': str(status)}, count)
    for port, stats in connection_stats.PORTS.items():
        _collect_connections(port, stats)
    body, headers = renderer.render(registry.REGISTRY, list(accept))
    return body, headers


def _collect_connections(
    port: str, stats: connection_stats.ConnectionStats
) -> None:
    uses = stats.read_uses()
    for use in slots.Use:
        labels = {'port': port, 'use': use.value}
        _CONNECTIONS.set(labels, uses.get(use.value, 0))
    _QUEUED.set({'port': port}, stats.read_queued())
    _CONNECTIONS_REFUSED.set({'port': port}, stats.refused)
    for has_gone, count in stats.accepted.items():
        labels = {'port': port, 'client': 'gone' if has_gone else 'present'}
        _ACCEPTED.set(labels, count)
    for stage, times in stats.times.items():
        for seconds in connection_stats.take(times):
            labels = {'port': port, 'stage': stage.value}
            _CONNECTION_SECONDS.observe(labels, seconds)
    for seconds in connection_stats.take(stats.loop_delays):
        _LOOP_DELAY_SECONDS.observe({'port': port}, seconds)


async def app(
    scope: dict[str, typing.Any], receive: typing.Any, send: Send
) -> None:
    """Serve the metrics as an ASGI application."""
    accept = [
        value.decode('latin-1')
        for name, value in scope['headers']
        if name == b'accept'
    ]
    body, headers = expose(accept or DEFAULT_ACCEPT)
    raw = [(k.lower().encode(), v.encode()) for k, v in headers.items()]
    raw.append((b'content-length', str(len(body)).encode()))
    await send({'type': 'http.response.start', 'status': 200, 'headers': raw})
    await send({'type': 'http.response.body', 'body': body})
