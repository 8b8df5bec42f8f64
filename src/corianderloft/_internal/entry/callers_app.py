"""ASGI application of the caller port."""

import typing
import urllib.parse

from corianderloft._internal.entry import chat_handlers
from corianderloft._internal.entry import components as host_components
from corianderloft._internal.entry import drain
from corianderloft._internal.entry import plain_handlers
from corianderloft._internal.entry import refusals
from corianderloft._internal.models import ids
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests
from corianderloft._internal.models import states
from corianderloft._internal.network import exchange

_Reason = reasons.RefusalReason
_CHAT_PATH = '/v1/chat/completions'
_ADDRESSES_PATH = '/v1/addresses'
_REQUESTS_PREFIX = '/v1/requests/'
_STREAM_SUFFIX = '/stream'
_SERVICES_PREFIX = b'/v1/services/'


class CallersApp:
    """Routes caller requests to their handlers.

    Parameters
    ----------
    components : HostComponents
        Components of the host.
    drain_controller : DrainController
        Decides whether new requests are accepted.
    """

    def __init__(
        self,
        components: host_components.HostComponents,
        drain_controller: drain.DrainController,
    ) -> None:
        self._components = components
        self._drain_controller = drain_controller
        self._chat = chat_handlers.ChatHandlers(components)
        self._plain = plain_handlers.PlainHandlers(components)

    async def __call__(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        """Handle one request."""
        if scope['type'] == 'websocket':
            await send({'type': 'websocket.close'})
            return
        http = exchange.Exchange(scope, receive, send)
        path = http.path
        if path == _ADDRESSES_PATH:
            await self._send_addresses(http)
        elif path.startswith(_REQUESTS_PREFIX):
            await self._handle_request_path(
                http, path[len(_REQUESTS_PREFIX) :]
            )
        elif not self._drain_controller.accepts_requests():
            await refusals.send(http, _draining_refusal())
        elif path == _CHAT_PATH and http.method == 'POST':
            await self._chat.begin(http)
        elif http.raw_path.startswith(_SERVICES_PREFIX):
            await self._call_service(http)
        else:
            await self._send_not_found(http)

    async def _send_addresses(self, http: exchange.Exchange) -> None:
        if http.method != 'GET':
            await self._send_not_found(http)
            return
        query = urllib.parse.parse_qs(http.query.decode('latin-1'))
        failure_domain = query.get('failure_domain', [None])[0]
        result = self._components.shared.addresses(
            None
            if failure_domain is None
            else ids.FailureDomain(failure_domain)
        )
        addresses = [
            {
                'address': host.address,
                'port': host.caller_port,
                'failure_domain': host.failure_domain,
            }
            for host in result.hosts
        ]
        await http.respond_json(
            200, {'addresses': addresses, 'ttl_s': result.ttl}
        )

    async def _handle_request_path(
        self, http: exchange.Exchange, subpath: str
    ) -> None:
        if http.method == 'DELETE':
            await self._chat.cancel(http, subpath)
        elif http.method == 'GET' and subpath.endswith(_STREAM_SUFFIX):
            await self._chat.resume(http, subpath[: -len(_STREAM_SUFFIX)])
        else:
            await self._send_not_found(http)

    async def _call_service(self, http: exchange.Exchange) -> None:
        name, _, path = http.raw_path[len(_SERVICES_PREFIX) :].partition(b'/')
        target = b'/' + path
        if http.query:
            target += b'?' + http.query
        service = urllib.parse.unquote(name.decode('latin-1'))
        await self._plain.call(http, service, target)

    async def _send_not_found(self, http: exchange.Exchange) -> None:
        refused = requests.Refused(
            _Reason.NOT_FOUND,
            states.RunState.NOT_RUN,
            f'nothing is served at {http.method} {http.path[:64]!r}',
        )
        await refusals.send(http, refused)


def _draining_refusal() -> requests.Refused:
    return refusals.not_run(
        _Reason.DRAINING, 'this host is leaving; ask for another address', 0
    )
