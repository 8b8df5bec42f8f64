"""Readiness checks, address answers and metrics."""

import collections.abc
import typing


from corianderloft._internal.gateway import change_log
from corianderloft._internal.gateway import change_messages
from corianderloft._internal.gateway import change_server
from corianderloft._internal.gateway import stopping
from corianderloft._internal.gateway import view
from corianderloft._internal.metrics import exposition
from corianderloft._internal.models import ids
from corianderloft._internal.network import exchange

ANSWER_LIFE = 2.0
"""Life of an address answer in seconds; a host that is gone stays in the
answers for its lease, and in the hands of callers for this long."""

MOST_ADDRESSES = 64
"""Addresses in one answer, which callers take at most."""

Serve = collections.abc.Callable[
    [exchange.Exchange], collections.abc.Awaitable[None]
]


class SideApp:
    """ASGI application that serves one function of exchanges."""

    def __init__(self, serve: Serve) -> None:
        self._serve = serve

    async def __call__(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        """Serve one request."""
        await self._serve(exchange.Exchange(scope, receive, send))


class Readiness:
    """Says whether this host takes requests."""

    def __init__(self, beliefs: view.View, stop: stopping.Stopping) -> None:
        self._beliefs = beliefs
        self._stop = stop

    def ready(self) -> bool:
        """Return whether callers should come here."""
        return self._beliefs.is_current() and not self._stop.leaving

    async def serve(self, asked: exchange.Exchange) -> None:
        """Answer a check."""
        await asked.answer_raw(200 if self.ready() else 503, (), b'')


class Addresses:
    """Tells callers which hosts to use.

    Parameters
    ----------
    beliefs : View
        What this host believes.
    own : HostId
        This host.
    readiness : Readiness
        Whether this host itself may be used.
    longest_life : float
        Longest life of an answer in seconds.
    """

    def __init__(
        self,
        beliefs: view.View,
        own: ids.HostId,
        readiness: Readiness,
        longest_life: float,
    ) -> None:
        self._beliefs = beliefs
        self._own = own
        self._readiness = readiness
        self._life = min(ANSWER_LIFE, longest_life)

    async def serve(self, asked: exchange.Exchange) -> None:
        """Answer with the hosts that hold a lease."""
        addresses = [
            f'{member.address}:{member.port}'
            for member in self._beliefs.current_members
            if member.host_id != self._own or self._readiness.ready()
        ]
        if not addresses:
            await asked.answer_json(503, {'error': 'no host is known'})
            return
        await asked.answer_json(
            200,
            {'addresses': addresses[:MOST_ADDRESSES], 'ttl_s': self._life},
        )


class BetweenHosts:
    """Serves the port between hosts: changes of the store, and metrics.

    Parameters
    ----------
    log : ChangeLog
        Changes that this host heard from the store.
    """

    def __init__(self, log: change_log.ChangeLog) -> None:
        self._changes = change_server.ChangeServer(log)

    async def serve(self, asked: exchange.Exchange) -> None:
        """Answer with changes at their path, with metrics elsewhere."""
        if asked.path == change_messages.CHANGES_PATH:
            await self._changes.serve(asked)
        else:
            await _serve_metrics(asked)


async def _serve_metrics(asked: exchange.Exchange) -> None:
    """Answer with all metrics as text."""
    body, headers = exposition.expose()
    kind = headers.get('Content-Type', 'text/plain').encode('latin-1')
    await asked.answer(200, body, kind)
