"""ASGI applications for readiness checks, address lists, peers and metrics."""

import collections.abc
import typing

from corianderloft._internal.gateway import address_selection
from corianderloft._internal.gateway import change_log
from corianderloft._internal.gateway import change_messages
from corianderloft._internal.gateway import change_server
from corianderloft._internal.gateway import stopping
from corianderloft._internal.gateway import view
from corianderloft._internal.models import ids
from corianderloft._internal.network import exchange

ADDRESS_TTL_S = 2.0
"""Time to live of an address list. A failed host stays in the lists until its
lease expires, and in the caches of callers for this long after that."""

MAX_ADDRESSES = 64
"""Maximum number of addresses in a list, as accepted by callers."""

DecodeDomain = collections.abc.Callable[[bytes], ids.FailureDomain | None]

Handler = collections.abc.Callable[
    [exchange.Exchange], collections.abc.Awaitable[None]
]


class HandlerApp:
    """ASGI application that passes every request to one handler."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler

    async def __call__(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        """Serve one request."""
        await self._handler(exchange.Exchange(scope, receive, send))


class Readiness:
    """Reports whether this host accepts requests."""

    def __init__(
        self, local_view: view.View, shutdown: stopping.GracefulShutdown
    ) -> None:
        self._view = local_view
        self._shutdown = shutdown

    def is_ready(self) -> bool:
        """Return whether callers should use this host."""
        return self._view.is_current() and not self._shutdown.draining

    async def serve(self, request: exchange.Exchange) -> None:
        """Respond to a readiness check."""
        await request.respond_raw(200 if self.is_ready() else 503, (), b'')


class Addresses:
    """Serves the list of hosts that callers may use.

    Parameters
    ----------
    local_view : View
        Local copy of declarations and registrations.
    own_id : HostId
        ID of this host.
    readiness : Readiness
        Readiness of this host, which is listed only while it is ready.
    max_ttl : float
        Maximum time to live of a list, in seconds.
    decode_domain : callable
        Returns the failure domain in the query of a caller, or None.
    """

    def __init__(
        self,
        local_view: view.View,
        own_id: ids.HostId,
        readiness: Readiness,
        max_ttl: float,
        decode_domain: DecodeDomain,
    ) -> None:
        self._view = local_view
        self._own_id = own_id
        self._readiness = readiness
        self._ttl = min(ADDRESS_TTL_S, max_ttl)
        self._decode_domain = decode_domain

    async def serve(self, request: exchange.Exchange) -> None:
        """Respond with the hosts that hold a lease."""
        usable = [
            member
            for member in self._view.current_members
            if member.host_id != self._own_id or self._readiness.is_ready()
        ]
        if not usable:
            await request.respond_json(503, {'error': 'no host is known'})
            return
        selected = address_selection.select(
            usable, self._decode_domain(request.query), MAX_ADDRESSES
        )
        addresses = [f'{m.address}:{m.port}' for m in selected]
        await request.respond_json(
            200, {'addresses': addresses, 'ttl_s': self._ttl}
        )


class PeerEndpoints:
    """Serves the port for other hosts: store changes and metrics.

    Parameters
    ----------
    log : ChangeLog
        Changes that this host received from the store.
    """

    def __init__(self, log: change_log.ChangeLog) -> None:
        self._changes = change_server.ChangeServer(log)

    async def serve(self, request: exchange.Exchange) -> None:
        """Respond with changes at their path and with metrics elsewhere."""
        if request.path == change_messages.CHANGES_PATH:
            await self._changes.serve(request)
        else:
            await _serve_metrics(request)


async def _serve_metrics(request: exchange.Exchange) -> None:
    """Respond with all metrics as text."""
    # Imported here, as the metrics library would lengthen each start.
    from corianderloft._internal.gateway import metrics_page

    body, headers = metrics_page.expose()
    content_type = headers.get('Content-Type', 'text/plain').encode('latin-1')
    await request.respond(200, body, content_type)
