"""The ASGI application on the operators' port."""

import logging
import typing
import urllib.parse

from corianderloft._internal.entry import components as entry_components
from corianderloft._internal.entry import drain
from corianderloft._internal.entry import pages
from corianderloft._internal.entry import refusals
from corianderloft._internal.models import reasons
from corianderloft._internal.models import requests
from corianderloft._internal.models import states
from corianderloft._internal.network import exchange
from corianderloft._internal.security import operators

logger = logging.getLogger(__name__)

_REQUESTS = '/v1/requests/'


class OperatorsApp:
    """Shows operators what the host does, and drains it.

    Parameters
    ----------
    parts : Parts
        Parts of the host.
    draining : Drain
        Drains the host.
    """

    def __init__(
        self, parts: entry_components.Parts, draining: drain.Drain
    ) -> None:
        self._parts = parts
        self._drain = draining
        self._operators = operators.Operators(
            operators.Operator(known.name, known.token_sha256, known.role)
            for known in parts.settings.operators.credentials
        )

    async def __call__(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        """Answer one request."""
        if scope['type'] == 'websocket':
            await send({'type': 'websocket.close'})
            return
        http = exchange.Exchange(scope, receive, send)
        if (http.method, http.path) == ('GET', '/healthz'):
            await http.answer_json(200, {'state': self._drain.state.value})
            return
        reads = http.method == 'GET'
        needed = operators.Role.VIEWER if reads else operators.Role.OPERATOR
        key = operators.bearer_key(http.header(b'authorization'))
        found = self._operators.authorize(key, needed)
        if isinstance(found, operators.Unauthenticated):
            await self._refuse(
                http,
                reasons.RefusalReason.UNKNOWN_KEY,
                'header Authorization: no operator has this key',
            )
        elif isinstance(found, operators.Unauthorized):
            await self._refuse(
                http,
                reasons.RefusalReason.FORBIDDEN,
                f'operator {found.name!r} needs role {needed.value!r}',
            )
        elif reads:
            await self._show(http)
        else:
            await self._order(http, found.name)

    async def _show(self, http: exchange.Exchange) -> None:
        if http.path == '/metrics':
            content_type, body = pages.metrics(http.header(b'accept'))
            await http.answer(200, body, content_type)
        elif http.path == '/v1/status':
            status = pages.status(self._parts, self._drain)
            await http.answer_json(200, status)
        elif http.path.startswith(_REQUESTS):
            await self._explain(http, http.path[len(_REQUESTS) :])
        else:
            await self._unknown(http)

    async def _order(self, http: exchange.Exchange, name: str) -> None:
        called = (http.method, http.path)
        if called == ('POST', '/v1/drain'):
            hold = _wants_hold(http)
            logger.info('operator %s drains this host, hold %s', name, hold)
            self._drain.begin(hold)
            await http.answer_json(202, {'state': 'leaving', 'hold': hold})
        elif called == ('POST', '/v1/undrain'):
            logger.info('operator %s undoes the drain', name)
            undone = self._drain.undo()
            await http.answer_json(
                202 if undone else 409,
                {'state': self._drain.state.value, 'undone': undone},
            )
        else:
            await self._unknown(http)

    async def _explain(self, http: exchange.Exchange, name: str) -> None:
        found = self._parts.records.find(name)
        if not found:
            await self._refuse(
                http,
                reasons.RefusalReason.NOT_FOUND,
                f'this host keeps no record of request {name[:64]!r}',
            )
            return
        await http.answer_json(
            200, {'requests': [record.as_json() for record in found]}
        )

    async def _unknown(self, http: exchange.Exchange) -> None:
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


def _wants_hold(http: exchange.Exchange) -> bool:
    """Return whether the process stays once the host has drained."""
    asked = urllib.parse.parse_qs(http.query.decode('latin-1'))
    return asked.get('hold') == ['true']
