"""Client of the platform's API, which the holder of the duties calls."""

import collections.abc
import socket
import struct
import typing

import orjson

from corianderloft._internal.gateway.duties import interface
from corianderloft._internal.kv import connections
from corianderloft._internal.models import ids
from corianderloft._internal.platform import names
from corianderloft._internal.utils import clock
from corianderloft._internal.utils import token_bucket

CONNECT_TIMEOUT_S = 0.6

MAX_IDLE_CONNECTIONS = 1
IDLE_EXPIRY_S = 10.0

RATE_FRACTION = 0.8
"""Fraction of the calls per second which all hosts may make that the holder
uses: a former holder may still have made some within the same second."""

_ABORT_ON_CLOSE = struct.pack('ii', 1, 0)

_SOCKET_OPTIONS: tuple[connections.SocketOption, ...] = (
    (socket.SOL_SOCKET, socket.SO_LINGER, _ABORT_ON_CLOSE),
    (
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        int(interface.CALL_TIMEOUT_S * 1000),
    ),
)
"""The kernel would otherwise repeat what an abandoned call has written until
a link works again, and the call would arrive when another host holds the
lease."""

_OK = range(200, 300)
_CONFLICT = 409


class PlatformApi:
    """Implements `gateway.duties.interface.PlatformApi`.

    Parameters
    ----------
    address : str
        IP address.
    port : int
        TCP port.
    host_id : HostId
        This host.
    calls_per_s : float
        Calls per second that the platform accepts from all hosts together.
    """

    def __init__(
        self, address: str, port: int, host_id: ids.HostId, calls_per_s: float
    ) -> None:
        self._connections = connections.Connections(
            f'http://{address}:{port}',
            CONNECT_TIMEOUT_S,
            interface.CALL_TIMEOUT_S,
            MAX_IDLE_CONNECTIONS,
            IDLE_EXPIRY_S,
            _SOCKET_OPTIONS,
        )
        self._host_id = host_id
        rate = RATE_FRACTION * calls_per_s
        # A full bucket and its refill together stay below the limit.
        self._bucket = token_bucket.TokenBucket(rate / 2, max(1.0, rate / 2))

    async def report_usage(
        self,
        window: int,
        counts: collections.abc.Mapping[ids.WorkspaceId, int],
        held: interface.Held,
    ) -> interface.UsageOutcome:
        """Report the requests that began to run in a window."""
        body = {'window': window, 'counts': dict(counts)}
        reply = await self._call('/usage', body, held)
        if isinstance(reply, connections.Reply):
            return _outcome(reply.status)
        return reply

    async def order_engines(
        self,
        service: ids.ServiceName,
        domain: ids.FailureDomain,
        count: int,
        reclaimable: bool,
        held: interface.Held,
    ) -> interface.OrderOutcome:
        """Set how many engines of a kind a service has in a domain."""
        body: dict[str, typing.Any] = {
            'service': service,
            'zone': domain,
            'desired': count,
        }
        if reclaimable:
            body['spot'] = True
        reply = await self._call('/scale', body, held)
        if not isinstance(reply, connections.Reply):
            return reply
        if reply.status == _CONFLICT:
            return interface.NoneAvailable()
        return _outcome(reply.status)

    async def aclose(self) -> None:
        """Close all idle connections."""
        await self._connections.aclose()

    async def _call(
        self, path: str, body: dict[str, typing.Any], held: interface.Held
    ) -> connections.Reply | interface.NotSent | interface.NoReply:
        started_at = clock.now()
        call_until = started_at + interface.CALL_TIMEOUT_S
        if not held.acts_from <= started_at < call_until < held.valid_until:
            return interface.NotSent('the lease does not last for the call')
        if not self._bucket.take():
            return interface.NotSent('too many calls')
        result = await self._connections.call(
            'POST',
            path,
            orjson.dumps(body),
            extra_headers=(
                (names.DUTY_HOLDER, self._host_id.encode()),
                (names.FENCING_TOKEN, b'%d' % held.token),
            ),
            # The process may have been frozen since the lease was checked.
            may_send=lambda: clock.now() < call_until,
        )
        match result:
            case connections.NotSent(detail):
                return interface.NotSent(detail)
            case connections.ReplyLost(detail):
                return interface.NoReply(detail)
        return result


def _outcome(status: int) -> interface.Accepted | interface.Rejected:
    if status in _OK:
        return interface.Accepted()
    return interface.Rejected(status)
