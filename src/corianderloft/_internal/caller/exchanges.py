"""Requests of a client to one entry host."""

import collections.abc
import contextlib
import dataclasses

from corianderloft._internal.caller import addresses
from corianderloft._internal.caller import settings as client_settings
from corianderloft._internal.decisions import interface
from corianderloft._internal.network import connections
from corianderloft._internal.network import outbound
from corianderloft._internal.network import silence
from corianderloft._internal.settings import backends

MAX_RESPONSE_BYTES = 67108864
"""Maximum size of a response that is not streamed."""


@dataclasses.dataclass(frozen=True)
class WholeResponse:
    """A complete response of a host."""

    head: outbound.Head
    body: bytes


class Exchanges:
    """Sends requests over pooled connections.

    Parameters
    ----------
    cfg : ClientSettings
        Timeouts and TLS.

    Attributes
    ----------
    silence_watch : SilenceMonitor
        Detects silent hosts; its task runs while the client is open.
    """

    def __init__(self, cfg: client_settings.ClientSettings) -> None:
        self._cfg = cfg
        self._connections = connections.Connections(
            backends.BackendSettings(), cfg.tls
        )
        self.silence_watch = silence.SilenceMonitor()

    @contextlib.asynccontextmanager
    async def open(
        self, address: addresses.Address
    ) -> collections.abc.AsyncGenerator[outbound.Outbound]:
        """Yield a request to a host; close it at the end of the block."""
        exchange = outbound.Outbound(
            self._connections,
            self.silence_watch,
            address,
            f'entry host {address.address}:{address.port}',
            self._cfg.connect_time,
        )
        try:
            yield exchange
        finally:
            await exchange.close()

    async def request_whole(
        self, address: addresses.Address, message: outbound.Message
    ) -> WholeResponse | outbound.Failure:
        """Send a request and read the complete response."""
        async with self.open(address) as exchange:
            head = await exchange.send(message, self._cfg.first_silence)
            if isinstance(head, outbound.Failure):
                return head
            if head.ends_with_connection:
                # Hosts frame each whole response, so this one may be cut.
                return outbound.Failure(
                    interface.AttemptEnd.CONNECTION_LOST,
                    True,
                    f'entry host {address.address}:{address.port}: '
                    'a response without a length',
                )
            body = await exchange.read_all(
                MAX_RESPONSE_BYTES, self._cfg.silence
            )
            if isinstance(body, outbound.Failure):
                return body
            return WholeResponse(head, body)

    async def fetch(
        self, address: addresses.Address, target: bytes
    ) -> bytes | None:
        """Return the response body of a host for a path; None on failure."""
        message = outbound.Message('GET', target, [], b'')
        async with self.open(address) as exchange:
            head = await exchange.send(message, self._cfg.connect_time)
            if isinstance(head, outbound.Failure) or head.status != 200:
                return None
            body = await exchange.read_all(
                MAX_RESPONSE_BYTES, self._cfg.connect_time
            )
            return body if isinstance(body, bytes) else None

    async def close(self) -> None:
        """Close all connections."""
        await self._connections.close()
