"""ASGI application of the operator port."""

import logging
import typing
import urllib.parse

from corianderloft._internal.entry import components as host_components
from corianderloft._internal.entry import drain
from corianderloft._internal.entry import pages
from corianderloft._internal.entry import refusals
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests
from corianderloft._internal.models import states
from corianderloft._internal.network import exchange
from corianderloft._internal.security import operators

logger = logging.getLogger(__name__)

_REQUESTS_PREFIX = '/v1/requests/'


class OperatorsApp:
    """Serves status and metrics, and lets operators drain the host.

    Parameters
    ----------
    components : HostComponents
        Components of the host.
    drain_controller : DrainController
        Drains the host.
    """

    def __init__(
        self,
        components: host_components.HostComponents,
        drain_controller: drain.DrainController,
    ) -> None:
        self._components = components
        self._drain_controller = drain_controller
        self._operators = operators.Operators(
            operators.Operator(known.name, known.token_sha256, known.role)
            for known in components.settings.operators.credentials
        )

    async def __call__(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        """Handle one request."""
        if scope['type'] == 'websocket':
            await send({'type': 'websocket.close'})
            return
        http = exchange.Exchange(scope, receive, send)
        if (http.method, http.path) == ('GET', '/healthz'):
            await http.respond_json(
                200, {'state': self._drain_controller.state.value}
            )
            return
        is_read = http.method == 'GET'
        required_role = (
            operators.Role.VIEWER if is_read else operators.Role.OPERATOR
        )
        key = operators.bearer_key(http.header(b'authorization'))
        operator = self._operators.authorize(key, required_role)
        if isinstance(operator, operators.Unauthenticated):
            await self._refuse(
                http,
                reasons.RefusalReason.UNKNOWN_KEY,
                'header Authorization: no operator has this key',
            )
        elif isinstance(operator, operators.Unauthorized):
            await self._refuse(
                http,
                reasons.RefusalReason.FORBIDDEN,
                f'operator {operator.name!r} needs role '
                f'{required_role.value!r}',
            )
        elif is_read:
            await self._handle_read(http)
        else:
            await self._handle_action(http, operator.name)

    async def _handle_read(self, http: exchange.Exchange) -> None:
        if http.path == '/metrics':
            content_type, body = pages.metrics(http.header(b'accept'))
            await http.respond(200, body, content_type)
        elif http.path == '/v1/status':
            status = pages.status(self._components, self._drain_controller)
            await http.respond_json(200, status)
        elif http.path.startswith(_REQUESTS_PREFIX):
            await self._send_records(http, http.path[len(_REQUESTS_PREFIX) :])
        else:
            await self._send_not_found(http)

    async def _handle_action(self, http: exchange.Exchange, name: str) -> None:
        route = (http.method, http.path)
        if route == ('POST', '/v1/drain'):
            hold = _hold_requested(http)
            logger.info(
                'drain requested by operator %s (hold: %s)', name, hold
            )
            self._drain_controller.begin(hold)
            await http.respond_json(202, {'state': 'leaving', 'hold': hold})
        elif route == ('POST', '/v1/undrain'):
            logger.info('undo of the drain requested by operator %s', name)
            undone = self._drain_controller.undo()
            await http.respond_json(
                202 if undone else 409,
                {
                    'state': self._drain_controller.state.value,
                    'undone': undone,
                },
            )
        else:
            await self._send_not_found(http)

    async def _send_records(self, http: exchange.Exchange, name: str) -> None:
        found = self._components.records.find(name)
        if not found:
            await self._refuse(
                http,
                reasons.RefusalReason.NOT_FOUND,
                f'this host keeps no record of request {name[:64]!r}',
            )
            return
        await http.respond_json(
            200, {'requests': [record.as_json() for record in found]}
        )

    async def _send_not_found(self, http: exchange.Exchange) -> None:
        await self._refuse(
            http,
            reasons.RefusalReason.NOT_FOUND,
            f'nothing is served at {http.method} {http.path[:64]!r}',
        )

    async def _refuse(
        self,
        http: exchange.Exchange,
        reason: reasons.RefusalReason,
        detail: str,
    ) -> None:
        refused = requests.Refused(reason, states.RunState.NOT_RUN, detail)
        await refusals.send(http, refused)


def _hold_requested(http: exchange.Exchange) -> bool:
    """Return whether the process keeps running after the drain."""
    query = urllib.parse.parse_qs(http.query.decode('latin-1'))
    return query.get('hold') == ['true']
