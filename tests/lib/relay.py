"""Relays of TCP and UDP that cut, silence and delay what passes them."""

import collections.abc
import contextlib
import math

import trio

from tests.lib import ports

CHUNK_BYTES = 65536
LOOPBACK = '127.0.0.1'

Address = tuple[str, int]


class Direction:
    """What happens to bytes that go one way.

    Attributes
    ----------
    delay : float
        Time added, in seconds.
    silent : bool
        Whether bytes are held (TCP) or dropped (UDP).
    """

    def __init__(self) -> None:
        self.delay = 0.0
        self._passing = trio.Event()
        self._passing.set()

    @property
    def silent(self) -> bool:
        """Whether nothing passes now."""
        return not self._passing.is_set()

    def silence(self) -> None:
        """Let nothing pass."""
        if not self.silent:
            self._passing = trio.Event()

    def restore(self) -> None:
        """Let bytes pass again, held ones first."""
        self._passing.set()

    async def wait_passing(self) -> None:
        """Wait until bytes may pass."""
        await self._passing.wait()


class _Connection:
    """One relayed TCP connection."""

    def __init__(self) -> None:
        self.scope = trio.CancelScope()
        self.lost = False


class TcpRelay:
    """Relays connections on a port of its own to one on loopback.

    Attributes
    ----------
    port : int
        Where the relay listens.
    to_server, to_client : Direction
        The two ways; they hold for all connections.
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
        """Close the connections that are open now."""
        for conn in self._connections:
            conn.scope.cancel()

    def silence_open(self) -> None:
        """Make the connections that are open now silent for good.

        They stay open; new ones work.
        """
        for conn in self._connections:
            conn.lost = True

    async def run(
        self, task_status: 'trio.TaskStatus[None]' = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Relay for ever."""
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
                self._pump, conn, client, server, self.to_server
            )
            nursery.start_soon(
                self._pump, conn, server, client, self.to_client
            )

    async def _pump(
        self,
        conn: _Connection,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        direction: Direction,
    ) -> None:
        """Pass bytes one way; each waits for its own delay only."""
        send, receive = trio.open_memory_channel[tuple[float, bytes]](math.inf)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write_all, conn, receive, sink, direction)
            with send, contextlib.suppress(trio.BrokenResourceError):
                async for data in _chunks(source):
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
            await direction.wait_passing()
            if conn.lost:
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
    """Pass the end of a direction on, unless it is silent."""
    await direction.wait_passing()
    if conn.lost:
        await trio.sleep_forever()
    with contextlib.suppress(
        trio.BrokenResourceError, trio.ClosedResourceError
    ):
        await sink.send_eof()


async def _chunks(
    source: trio.SocketStream,
) -> collections.abc.AsyncGenerator[bytes]:
    while data := await source.receive_some(CHUNK_BYTES):
        yield bytes(data)


class UdpRelay:
    """Relays datagrams on a port of its own to one on loopback.

    Attributes
    ----------
    port : int
        Where the relay listens.
    to_target, to_source : Direction
        The two ways; replies of the target to the relay go back.
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
        """Relay for ever."""
        with await _bound() as front:
            self.port = front.getsockname()[1]
            async with trio.open_nursery() as nursery:
                task_status.started()
                while True:
                    data, source = await front.recvfrom(CHUNK_BYTES)
                    upstream = await self._socket_for(source, front, nursery)
                    self._pass_on(
                        nursery, self.to_target, upstream, data, self._target
                    )

    async def _socket_for(
        self,
        source: Address,
        front: trio.socket.SocketType,
        nursery: trio.Nursery,
    ) -> trio.socket.SocketType:
        if source not in self._upstream:
            upstream = await _bound()
            self._upstream[source] = upstream
            nursery.start_soon(self._replies, upstream, front, source, nursery)
        return self._upstream[source]

    async def _replies(
        self,
        upstream: trio.socket.SocketType,
        front: trio.socket.SocketType,
        source: Address,
        nursery: trio.Nursery,
    ) -> None:
        with upstream:
            while True:
                data, _ = await upstream.recvfrom(CHUNK_BYTES)
                self._pass_on(nursery, self.to_source, front, data, source)

    def _pass_on(
        self,
        nursery: trio.Nursery,
        direction: Direction,
        sock: trio.socket.SocketType,
        data: bytes,
        address: Address,
    ) -> None:
        if not direction.silent:
            nursery.start_soon(
                _send_late, direction.delay, sock, data, address
            )


async def _send_late(
    delay: float, sock: trio.socket.SocketType, data: bytes, address: Address
) -> None:
    await trio.sleep(delay)
    # A target that is gone answers with an ICMP error; UDP just loses it.
    with contextlib.suppress(OSError):
        await sock.sendto(data, address)


async def _bound() -> trio.socket.SocketType:
    sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
    await sock.bind((LOOPBACK, 0))
    return sock
