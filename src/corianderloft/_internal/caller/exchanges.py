"""One request of a client to one entry host."""

import collections.abc
import contextlib
import dataclasses

from corianderloft._internal.caller import addresses
from corianderloft._internal.caller import settings as client_settings
from corianderloft._internal.network import connections
from corianderloft._internal.network import outbound
from corianderloft._internal.network import silence
from corianderloft._internal.settings import backends

MAX_ANSWER_BYTES = 67108864
"""Longest answer that is not streamed."""


@dataclasses.dataclass(frozen=True)
class Whole:
    """A whole answer of a host."""

    head: outbound.Head
    body: bytes


class Exchanges:
    """Sends requests over kept connections.

    Parameters
    ----------
    cfg : ClientSettings
        Times.

    Attributes
    ----------
    watch : SilenceMonitor
        Notices silent hosts; its task runs while the client is open.
    """

    def __init__(self, cfg: client_settings.ClientSettings) -> None:
        self._cfg = cfg
        self._kept = connections.Connections(
            backends.BackendSettings(), cfg.tls
        )
        self.watch = silence.SilenceMonitor()

    @contextlib.asynccontextmanager
    async def open(
        self, address: addresses.Address
    ) -> collections.abc.AsyncGenerator[outbound.Outbound]:
        """Yield a request that is closed with the block."""
        exchange = outbound.Outbound(
            self._kept,
            self.watch,
            address,
            f'entry host {address.address}:{address.port}',
            self._cfg.connect_time,
        )
        try:
            yield exchange
        finally:
            await exchange.close()

    async def whole(
        self, address: addresses.Address, message: outbound.Message
    ) -> Whole | outbound.Failure:
        """Send a request and read its whole answer."""
        async with self.open(address) as exchange:
            head = await exchange.send(message, self._cfg.first_silence)
            if isinstance(head, outbound.Failure):
                return head
            body = await exchange.read_all(MAX_ANSWER_BYTES, self._cfg.silence)
            if isinstance(body, outbound.Failure):
                return body
            return Whole(head, body)

    async def ask(
        self, address: addresses.Address, target: bytes
    ) -> bytes | None:
        """Return the body that a host serves at a path, or None."""
        message = outbound.Message('GET', target, [], b'')
        async with self.open(address) as exchange:
            head = await exchange.send(message, self._cfg.connect_time)
            if isinstance(head, outbound.Failure) or head.status != 200:
                return None
            body = await exchange.read_all(
                MAX_ANSWER_BYTES, self._cfg.connect_time
            )
            return body if isinstance(body, bytes) else None

    async def close(self) -> None:
        """Close all connections."""
        await self._kept.close()
