"""TCP and UDP relays that can cut, silence and delay traffic."""

import collections.abc
import contextlib
import math

import trio

from tests.lib import ports

CHUNK_BYTES = 65536
LOOPBACK = '127.0.0.1'

Address = tuple[str, int]


class Direction:
    """Faults of one direction of a relay.

    Attributes
    ----------
    delay : float
        Added delay in seconds.
    bytes_per_s : float
        Bandwidth for all TCP connections together.
    silent : bool
        Whether bytes are held (TCP) or dropped (UDP).
    """

    def __init__(self) -> None:
        self.delay = 0.0
        self.bytes_per_s = math.inf
        self._free_at = 0.0
        self._passing = trio.Event()
        self._passing.set()

    @property
    def silent(self) -> bool:
        """Whether the direction is silenced."""
        return not self._passing.is_set()

    def silence(self) -> None:
        """Stop forwarding."""
        if not self.silent:
            self._passing = trio.Event()

    def restore(self) -> None:
        """Resume forwarding, held bytes first."""
        self._passing.set()

    async def wait_bandwidth(self, size: int) -> None:
        """Wait until ``size`` bytes have passed behind those before them."""
        self._free_at = (
            max(self._free_at, trio.current_time()) + size / self.bytes_per_s
        )
        await trio.sleep_until(self._free_at)

    async def wait_passing(self) -> None:
        """Wait until the direction is not silenced."""
        await self._passing.wait()


class _Connection:
    """One relayed TCP connection."""

    def __init__(self) -> None:
        self.scope = trio.CancelScope()
        self.silenced = False


class TcpRelay:
    """Relays TCP connections from its own port to a loopback port.

    Attributes
    ----------
    port : int
        Port on which the relay listens.
    to_server, to_client : Direction
        Faults of each direction, for all connections.
    accepted : int
        Number of connections accepted so far.
    """

    def __init__(self, target_port: int) -> None:
        self.port = ports.reserve()
        self.to_server = Direction()
        self.to_client = Direction()
        self.accepted = 0
        self._target_port = target_port
        self._connections: set[_Connection] = set()
        self._accepting = trio.CancelScope()
        self._restored = trio.Event()

    def cut(self) -> None:
        """Close all connections and refuse new ones."""
        self._restored = trio.Event()
        self._accepting.cancel()
        self.close_open()

    def restore(self) -> None:
        """Accept connections again."""
        self._restored.set()

    def close_open(self) -> None:
        """Close all open connections."""
        for conn in self._connections:
            conn.scope.cancel()

    def silence_open(self) -> None:
        """Stop forwarding on the open connections for good.

        They stay open, and new connections work.
        """
        for conn in self._connections:
            conn.silenced = True

    async def run(
        self, task_status: 'trio.TaskStatus[None]' = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Relay until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                listeners = await trio.open_tcp_listeners(
                    self.port, host=LOOPBACK
                )
                task_status.started()
                task_status = trio.TASK_STATUS_IGNORED
                with trio.CancelScope() as self._accepting:
                    await trio.serve_listeners(
                        self._relay, listeners, handler_nursery=nursery
                    )
                await self._restored.wait()

    async def _relay(self, client: trio.SocketStream) -> None:
        self.accepted += 1
        conn = _Connection()
        self._connections.add(conn)
        try:
            with conn.scope:
                async with client:
                    await self._connect(conn, client)
        finally:
            self._connections.discard(conn)

    async def _connect(
        self, conn: _Connection, client: trio.SocketStream
    ) -> None:
        try:
            server = await trio.open_tcp_stream(LOOPBACK, self._target_port)
        except OSError:
            return
        async with server, trio.open_nursery() as nursery:
            nursery.start_soon(
                self._forward_stream, conn, client, server, self.to_server
            )
            nursery.start_soon(
                self._forward_stream, conn, server, client, self.to_client
            )

    async def _forward_stream(
        self,
        conn: _Connection,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        direction: Direction,
    ) -> None:
        """Forward bytes in one direction; delays of chunks do not add up."""
        send, receive = trio.open_memory_channel[tuple[float, bytes]](math.inf)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write_all, conn, receive, sink, direction)
            with send, contextlib.suppress(trio.BrokenResourceError):
                async for data in _read_chunks(source):
                    due = trio.current_time() + direction.delay
                    send.send_nowait((due, data))

    async def _write_all(
        self,
        conn: _Connection,
        receive: trio.MemoryReceiveChannel[tuple[float, bytes]],
        sink: trio.SocketStream,
        direction: Direction,
    ) -> None:
        async for due, data in receive:
            await trio.sleep_until(due)
            await direction.wait_bandwidth(len(data))
            await direction.wait_passing()
            if conn.silenced:
                await trio.sleep_forever()
            try:
                await sink.send_all(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                break
        else:
            await _send_eof(conn, sink, direction)
            return
        conn.scope.cancel()


async def _send_eof(
    conn: _Connection, sink: trio.SocketStream, direction: Direction
) -> None:
    """Forward end of file once the direction is not silenced."""
    await direction.wait_passing()
    if conn.silenced:
        await trio.sleep_forever()
    with contextlib.suppress(
        trio.BrokenResourceError, trio.ClosedResourceError
    ):
        await sink.send_eof()


async def _read_chunks(
    source: trio.SocketStream,
) -> collections.abc.AsyncGenerator[bytes]:
    while data := await source.receive_some(CHUNK_BYTES):
        yield bytes(data)


class UdpRelay:
    """Relays datagrams from its own port to a loopback port.

    Attributes
    ----------
    port : int
        Port on which the relay receives datagrams.
    to_target, to_source : Direction
        Faults of each direction. Replies of the target are sent back to the
        source.
    """

    def __init__(self, target_port: int) -> None:
        self.port = 0
        self.to_target = Direction()
        self.to_source = Direction()
        self._target = (LOOPBACK, target_port)
        self._upstream: dict[Address, trio.socket.SocketType] = {}

    async def run(
        self, task_status: 'trio.TaskStatus[None]' = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Relay until cancelled."""
        with await _open_udp_socket() as front:
            self.port = front.getsockname()[1]
            async with trio.open_nursery() as nursery:
                task_status.started()
                while True:
                    data, source = await front.recvfrom(CHUNK_BYTES)
                    upstream = await self._socket_for(source, front, nursery)
                    self._forward(
                        nursery, self.to_target, upstream, data, self._target
                    )

    async def _socket_for(
        self,
        source: Address,
        front: trio.socket.SocketType,
        nursery: trio.Nursery,
    ) -> trio.socket.SocketType:
        if source not in self._upstream:
            upstream = await _open_udp_socket()
            self._upstream[source] = upstream
            nursery.start_soon(
                self._forward_replies, upstream, front, source, nursery
            )
        return self._upstream[source]

    async def _forward_replies(
        self,
        upstream: trio.socket.SocketType,
        front: trio.socket.SocketType,
        source: Address,
        nursery: trio.Nursery,
    ) -> None:
        with upstream:
            while True:
                data, _ = await upstream.recvfrom(CHUNK_BYTES)
                self._forward(nursery, self.to_source, front, data, source)

    def _forward(
        self,
        nursery: trio.Nursery,
        direction: Direction,
        sock: trio.socket.SocketType,
        data: bytes,
        address: Address,
    ) -> None:
        if not direction.silent:
            nursery.start_soon(
                _send_delayed, direction.delay, sock, data, address
            )


async def _send_delayed(
    delay: float, sock: trio.socket.SocketType, data: bytes, address: Address
) -> None:
    await trio.sleep(delay)
    # A closed target port causes an ICMP error, which the socket reports as
    # OSError; a UDP datagram is just lost in this case.
    with contextlib.suppress(OSError):
        await sock.sendto(data, address)


async def _open_udp_socket() -> trio.socket.SocketType:
    sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
    await sock.bind((LOOPBACK, 0))
    return sock
