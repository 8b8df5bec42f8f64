"""Metrics exposition and the ASGI application that serves it."""

import collections.abc
import typing

from aioprometheus import renderer

from corianderloft._internal.metrics import control_page
from corianderloft._internal.metrics import registry
from corianderloft._internal.network import inbound
from corianderloft._internal.network import serving

__all__ = ['app', 'control_page', 'expose']

_UNUSED_CLOSED = registry.counter(
    'connections_closed_total',
    'Connections closed because other clients waited, by reason.',
)
_PROTOCOL_ERRORS = registry.counter(
    'protocol_errors_total', 'Requests that were not valid HTTP, by status.'
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
    body, headers = renderer.render(registry.REGISTRY, list(accept))
    return body, headers


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
