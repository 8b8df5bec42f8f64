"""`EngineOrders` over the HTTP API of engines."""

import dataclasses
import json

import httpcore
import trio

from corianderloft._internal.models import backends
from corianderloft._internal.models import ids
from corianderloft._internal.network import streams
from corianderloft._internal.shared.orders import interface

READ_TIMEOUT_S = 5.0
HTTP_CONFLICT = 409
HTTP_OK = 200


@dataclasses.dataclass(frozen=True)
class _Reply:
    status: int
    body: bytes


class HttpEngineOrders:
    """HTTP calls to engines, each on a new connection.

    Orders are rare and must not be delayed by a hanging connection, so no
    connection is kept open.
    """

    async def read_state(
        self, backend: backends.Backend
    ) -> interface.EngineState | None:
        """Return the state of an engine, or None if it cannot be read."""
        reply = await _call(backend, 'GET', '/v1/state', b'', READ_TIMEOUT_S)
        if reply is None or reply.status != HTTP_OK:
            return None
        try:
            read = json.loads(reply.body)
            return interface.EngineState(
                tuple(read['models']), tuple(read['adapters']), read['role']
            )
        except (ValueError, KeyError, TypeError):
            return None

    async def send(
        self,
        backend: backends.Backend,
        order: interface.Order,
        fencing: ids.FencingNumber,
        order_id: str,
        timeout: float,
    ) -> interface.OrderOutcome:
        """Send one order; time out after ``timeout`` seconds."""
        body = json.dumps(
            {
                'fencing': fencing,
                'order_id': order_id,
                'kind': order.kind.value,
                'target': order.target,
            }
        ).encode()
        reply = await _call(backend, 'POST', '/v1/orders', body, timeout)
        if reply is None:
            return interface.OrderOutcome.UNKNOWN
        if reply.status == HTTP_OK:
            return interface.OrderOutcome.ACCEPTED
        if reply.status == HTTP_CONFLICT:
            return interface.OrderOutcome.STALE_FENCING
        return interface.OrderOutcome.REFUSED


async def _call(
    backend: backends.Backend,
    method: str,
    path: str,
    content: bytes,
    timeout: float,
) -> _Reply | None:
    host = f'{backend.address}:{backend.port}'
    conn = streams.HttpConnection(
        httpcore.Origin(b'http', backend.address.encode(), backend.port)
    )
    req = httpcore.Request(
        method,
        f'http://{host}{path}',
        headers=[
            (b'host', host.encode()),
            (b'content-type', b'application/json'),
            (b'content-length', str(len(content)).encode()),
        ],
        content=content,
    )
    try:
        with trio.move_on_after(timeout):
            response = await conn.handle_async_request(req)
            body = await response.aread()
            return _Reply(response.status, body)
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ):
        return None
    finally:
        with trio.CancelScope(shield=True):
            await conn.aclose()
    return None
