"""The ASGI application on the callers' port."""

import typing
import urllib.parse

from corianderloft._internal.entry import chat_handlers
from corianderloft._internal.entry import components as entry_components
from corianderloft._internal.entry import drain
from corianderloft._internal.entry import plain_handlers
from corianderloft._internal.entry import refusals
from corianderloft._internal.models import ids
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests
from corianderloft._internal.models import states
from corianderloft._internal.network import exchange

_Reason = reasons.RefusalReason
_CHAT = '/v1/chat/completions'
_ADDRESSES = '/v1/addresses'
_REQUESTS = '/v1/requests/'
_STREAM = '/stream'
_SERVICES = b'/v1/services/'


class CallersApp:
    """Routes callers' requests to their handlers.

    Parameters
    ----------
    parts : Parts
        Parts of the host.
    draining : Drain
        Says whether new work is taken.
    """

    def __init__(
        self, parts: entry_components.Parts, draining: drain.Drain
    ) -> None:
        self._parts = parts
        self._drain = draining
        self._chat = chat_handlers.ChatHandlers(parts)
        self._plain = plain_handlers.PlainHandlers(parts)

    async def __call__(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        """Answer one request."""
        if scope['type'] == 'websocket':
            await send({'type': 'websocket.close'})
            return
        http = exchange.Exchange(scope, receive, send)
        path = http.path
        if path == _ADDRESSES:
            await self._addresses(http)
        elif path.startswith(_REQUESTS):
            await self._request(http, path[len(_REQUESTS) :])
        elif not self._drain.takes_work():
            await refusals.send(http, _draining())
        elif path == _CHAT and http.method == 'POST':
            await self._chat.begin(http)
        elif http.raw_path.startswith(_SERVICES):
            await self._service(http)
        else:
            await self._unknown(http)

    async def _addresses(self, http: exchange.Exchange) -> None:
        if http.method != 'GET':
            await self._unknown(http)
            return
        query = urllib.parse.parse_qs(http.query.decode('latin-1'))
        wanted = query.get('failure_domain', [None])[0]
        answer = self._parts.shared.addresses(
            None if wanted is None else ids.FailureDomain(wanted)
        )
        addresses = [
            {
                'address': host.address,
                'port': host.caller_port,
                'failure_domain': host.failure_domain,
            }
            for host in answer.hosts
        ]
        await http.answer_json(
            200, {'addresses': addresses, 'ttl_s': answer.ttl}
        )

    async def _request(self, http: exchange.Exchange, rest: str) -> None:
        if http.method == 'DELETE':
            await self._chat.cancel(http, rest)
        elif http.method == 'GET' and rest.endswith(_STREAM):
            await self._chat.resume(http, rest[: -len(_STREAM)])
        else:
            await self._unknown(http)

    async def _service(self, http: exchange.Exchange) -> None:
        name, _, path = http.raw_path[len(_SERVICES) :].partition(b'/')
        target = b'/' + path
        if http.query:
            target += b'?' + http.query
        service = urllib.parse.unquote(name.decode('latin-1'))
        await self._plain.call(http, service, target)

    async def _unknown(self, http: exchange.Exchange) -> None:
        refused = requests.Refused(
            _Reason.NOT_FOUND,
            states.RunState.NOT_RUN,
            f'nothing is served at {http.method} {http.path[:64]!r}',
        )
        await refusals.send(http, refused)


def _draining() -> requests.Refused:
    return refusals.not_run(
        _Reason.DRAINING, 'this host is leaving; ask for another address', 0
    )
