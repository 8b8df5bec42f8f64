"""Transport between hosts: datagrams over UDP, fetches over TCP."""

import collections.abc
import dataclasses
import itertools
import logging
import random
import typing

import trio

from corianderloft._internal.metrics import control
from corianderloft._internal.shared import mirror
from corianderloft._internal.shared.peers import codec
from corianderloft._internal.shared.peers import messages

logger = logging.getLogger(__name__)

MAX_DATAGRAM_BYTES = 2048
MAX_FRAME_BYTES = 4 * 2**20
TARGET_PAGE_BYTES = 2**18
FRAME_LENGTH_BYTES = 4
FETCH_TIMEOUT_S = 5.0
BIND_ATTEMPTS = 50
UDP_HEADER_BYTES = 28
TCP_EXCHANGE_BYTES = 500


@dataclasses.dataclass
class Traffic:
    """Bytes of messages, with IP and UDP headers, since the start.

    Attributes
    ----------
    sent, received : int
        Number of bytes.
    """

    sent: int = 0
    received: int = 0

    def count_sent(self, size: int) -> None:
        """Count a sent message."""
        self.sent += size
        control.count_bytes(control.Direction.SENT, size)

    def count_received(self, size: int) -> None:
        """Count a received message."""
        self.received += size
        control.count_bytes(control.Direction.RECEIVED, size)


traffic = Traffic()

FetchHandler = collections.abc.Callable[[messages.Fetch], messages.Fetched]


class Transport(typing.Protocol):
    """Datagrams and fetches between hosts."""

    address: messages.Address

    async def send(
        self, to: messages.Address, message: messages.Datagram
    ) -> None:
        """Send a datagram; it may be lost."""

    async def receive(self) -> tuple[messages.Address, messages.Datagram]:
        """Return the next datagram that can be decoded."""

    async def fetch(
        self, to: messages.Address, fetch: messages.Fetch
    ) -> messages.Fetched | messages.FetchFailed:
        """Send a request to a peer and return its complete response."""

    async def serve(self, handler: FetchHandler) -> typing.NoReturn:
        """Serve the fetches of peers until cancelled."""


class SocketTransport:
    """`Transport` over one UDP socket and one TCP port of the same number.

    Parameters
    ----------
    udp : SocketType
        Bound UDP socket.
    listener : SocketListener
        TCP listener on the same port.
    message_codec : Codec
        Encodes and verifies messages.
    """

    def __init__(
        self,
        udp: trio.socket.SocketType,
        listener: trio.SocketListener,
        message_codec: codec.Codec,
    ) -> None:
        self._udp = udp
        self._listener = listener
        self._codec = message_codec
        self.address = messages.Address(*udp.getsockname()[:2])

    async def send(
        self, to: messages.Address, message: messages.Datagram
    ) -> None:
        """Send a datagram; network errors are treated as loss."""
        with control.measure_cpu_time('peers'):
            raw = self._codec.encode_datagram(message)
        traffic.count_sent(len(raw) + UDP_HEADER_BYTES)
        try:
            await self._udp.sendto(raw, to)
        except OSError as exc:
            logger.debug('cannot send datagram to %s: %s', to, exc)

    async def receive(self) -> tuple[messages.Address, messages.Datagram]:
        """Return the next datagram that can be decoded."""
        while True:
            try:
                raw, source = await self._udp.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as exc:
                logger.debug('cannot receive datagram: %s', exc)
                continue
            traffic.count_received(len(raw) + UDP_HEADER_BYTES)
            with control.measure_cpu_time('peers'):
                message = self._codec.decode_datagram(raw)
            if isinstance(message, messages.Datagram):
                return messages.Address(*source[:2]), message

    async def fetch(
        self, to: messages.Address, fetch: messages.Fetch
    ) -> messages.Fetched | messages.FetchFailed:
        """Fetch from a peer over a new connection."""
        with trio.move_on_after(FETCH_TIMEOUT_S):
            try:
                stream = await trio.open_tcp_stream(*to)
                async with stream:
                    await _send_frame(stream, self._codec.encode_fetch(fetch))
                    return await self._read_pages(stream, fetch)
            except (OSError, trio.BrokenResourceError) as exc:
                return messages.FetchFailed(f'{to.ip}:{to.port}: {exc}')
        return messages.FetchFailed(f'{to.ip}:{to.port}: timeout')

    async def serve(self, handler: FetchHandler) -> typing.NoReturn:
        """Serve fetches, each connection in its own task."""

        async def serve_stream(stream: trio.SocketStream) -> None:
            with trio.move_on_after(FETCH_TIMEOUT_S):
                try:
                    await self._serve_fetch(stream, handler)
                except (OSError, trio.BrokenResourceError) as exc:
                    logger.debug(
                        'connection to a peer failed during its fetch: %s', exc
                    )

        await trio.serve_listeners(serve_stream, [self._listener])
        raise RuntimeError('the listener on the peer port ended unexpectedly')

    async def _serve_fetch(
        self, stream: trio.SocketStream, handler: FetchHandler
    ) -> None:
        frame = await _receive_frame(stream)
        if frame is None:
            return
        fetch = self._codec.decode_fetch(frame)
        if isinstance(fetch, messages.Undecodable):
            return
        for page in split_pages(fetch.nonce, handler(fetch)):
            with control.measure_cpu_time('peers'):
                raw = self._codec.encode_page(page)
            traffic.count_sent(len(raw) + TCP_EXCHANGE_BYTES)
            await _send_frame(stream, raw)

    async def _read_pages(
        self, stream: trio.SocketStream, fetch: messages.Fetch
    ) -> messages.Fetched | messages.FetchFailed:
        parts: list[messages.Fetched] = []
        while True:
            frame = await _receive_frame(stream)
            if frame is None:
                return messages.FetchFailed('the answer was cut')
            traffic.count_received(len(frame) + TCP_EXCHANGE_BYTES)
            with control.measure_cpu_time('peers'):
                page = self._codec.decode_page(frame)
            if isinstance(page, messages.Undecodable):
                return messages.FetchFailed(page.fault.value)
            if page.nonce != fetch.nonce:
                return messages.FetchFailed('answer to another question')
            parts.append(page.fetched)
            if not page.more:
                return join_pages(parts)


def split_pages(
    nonce: int, fetched: messages.Fetched
) -> collections.abc.Iterator[messages.Page]:
    """Split a response into pages of about `TARGET_PAGE_BYTES`."""
    delta = fetched.delta
    groups: list[list[mirror.Entry]] = [[]]
    size = 0
    for entry in delta.entries:
        size += len(entry.key) + len(entry.value or b'')
        if size > TARGET_PAGE_BYTES and groups[-1]:
            groups.append([])
            size = 0
        groups[-1].append(entry)
    last = len(groups) - 1
    for number, group in enumerate(groups):
        part = mirror.Delta(delta.revision, tuple(group), delta.is_snapshot)
        members = fetched.members if number == last else ()
        yield messages.Page(
            nonce, messages.Fetched(part, members), number < last
        )


def join_pages(
    parts: collections.abc.Sequence[messages.Fetched],
) -> messages.Fetched:
    """Join the pages of one response."""
    last = parts[-1]
    entries = itertools.chain.from_iterable(f.delta.entries for f in parts)
    delta = mirror.Delta(
        last.delta.revision, tuple(entries), last.delta.is_snapshot
    )
    return messages.Fetched(delta, last.members)


async def open_transport(
    ip: str, port: int, message_codec: codec.Codec
) -> SocketTransport:
    """Bind UDP and TCP to the same port; 0 lets the kernel choose it.

    Raises
    ------
    OSError
        If the port is in use.
    """
    for _ in range(BIND_ATTEMPTS):
        listeners = await trio.open_tcp_listeners(port, host=ip)
        bound_port = listeners[0].socket.getsockname()[1]
        udp = trio.socket.socket(
            listeners[0].socket.family, trio.socket.SOCK_DGRAM
        )
        try:
            await udp.bind((ip, bound_port))
        except OSError:
            udp.close()
            await listeners[0].aclose()
            if port:
                raise
            continue
        return SocketTransport(udp, listeners[0], message_codec)
    raise OSError(f'no port of {ip} is free for both UDP and TCP')


def new_nonce(rng: random.Random) -> int:
    """Return a random number that identifies one request."""
    return rng.getrandbits(63)


async def _send_frame(stream: trio.SocketStream, raw: bytes) -> None:
    await stream.send_all(len(raw).to_bytes(FRAME_LENGTH_BYTES, 'big') + raw)


async def _receive_frame(stream: trio.SocketStream) -> bytes | None:
    """Return the next frame, or None if the stream ended or it is too long."""
    header = await _receive_exactly(stream, FRAME_LENGTH_BYTES)
    if header is None:
        return None
    length = int.from_bytes(header, 'big')
    if length > MAX_FRAME_BYTES:
        return None
    return await _receive_exactly(stream, length)


async def _receive_exactly(
    stream: trio.SocketStream, length: int
) -> bytes | None:
    received = bytearray()
    while len(received) < length:
        chunk = await stream.receive_some(length - len(received))
        if not chunk:
            return None
        received += chunk
    return bytes(received)
