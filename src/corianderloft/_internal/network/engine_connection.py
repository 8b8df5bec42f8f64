"""One connection to a backend server, HTTP/1.1 by h11.

A backend server may answer a request a second time. The late answer then
stands where the next one is expected, so answers are told apart by the
request that they name, and the connection reads on.
"""

import dataclasses
import enum
import socket

import h11
import trio

Headers = list[tuple[bytes, bytes]]

MAX_RECEIVE = 65536
"""Most bytes read at once."""

MAX_HEAD_BYTES = 65536
"""Longest head of an answer."""

SILENT_IDLE = 1
"""Idle time before the first keep-alive probe of the kernel, in seconds."""

SILENT_PROBES = 3
"""Probes, a second apart, without which a connection counts as dead."""


IDLE_MARGIN = 0.6
"""Part of the idle time of a backend server in which a connection to it is
used again; the rest covers what is on its way."""


class FailureKind(enum.Enum):
    """How a connection failed."""

    REFUSED = 'refused'
    CONNECT_TIMEOUT = 'connect_timeout'
    RESET = 'reset'
    CLOSED = 'closed'
    MALFORMED = 'malformed'


@dataclasses.dataclass(frozen=True)
class ConnectionFailure:
    """The connection failed.

    Attributes
    ----------
    kind : FailureKind
        How.
    may_have_run : bool
        Whether a byte of the request may have left.
    detail : str
        Message of the system or of the parser.
    """

    kind: FailureKind
    may_have_run: bool
    detail: str


@dataclasses.dataclass(frozen=True)
class Head:
    """Status and headers of an answer."""

    status: int
    headers: Headers


class EngineConnection:
    """A connection that carries one request at a time.

    Parameters
    ----------
    stream : SocketStream
        The TCP connection.

    Attributes
    ----------
    idle_since : float
        When its last answer ended, on trio's clock.
    idle_limit : float or None
        Idle time that the backend server allows, in seconds.
    used : bool
        Whether it carried a request before.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._sent = False
        self._resent: h11.Request | None = None
        self.idle_since = 0.0
        self.idle_limit: float | None = None
        self.used = False

    async def send(
        self, method: str, target: bytes, headers: Headers, body: bytes
    ) -> ConnectionFailure | None:
        """Send a request; return None once it has left."""
        fields = list(headers)
        if body or method not in ('GET', 'HEAD', 'DELETE'):
            fields.append((b'content-length', b'%d' % len(body)))
        req = h11.Request(method=method, target=target, headers=fields)
        self._resent = h11.Request(
            method=method, target=target, headers=[(b'host', b'-')]
        )
        data = self._http.send(req) or b''
        if body:
            data += self._http.send(h11.Data(data=body)) or b''
        data += self._http.send(h11.EndOfMessage()) or b''
        self._sent = True
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            # The answer may have come before the request was read.
            return self._broken(FailureKind.RESET, exc)
        return None

    async def head(self) -> Head | ConnectionFailure:
        """Wait for the head of the answer."""
        while True:
            event = await self._next()
            if isinstance(event, ConnectionFailure):
                return event
            if isinstance(event, h11.Response):
                self._note_keep_alive(event)
                headers = [(n, v) for n, v in event.headers.raw_items()]
                return Head(event.status_code, headers)
            if not isinstance(event, h11.InformationalResponse):
                return self._broken(FailureKind.MALFORMED, repr(event))

    async def read(self) -> bytes | ConnectionFailure | None:
        """Return the next piece of the body; None at its end."""
        event = await self._next()
        if isinstance(event, ConnectionFailure):
            return event
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        return self._broken(FailureKind.MALFORMED, repr(event))

    async def read_all(self, limit: int) -> bytes | ConnectionFailure:
        """Return the whole body, at most ``limit`` bytes."""
        parts: list[bytes] = []
        size = 0
        while (part := await self.read()) is not None:
            if isinstance(part, ConnectionFailure):
                return part
            size += len(part)
            if size > limit:
                return self._broken(
                    FailureKind.MALFORMED, f'its body exceeds {limit} bytes'
                )
            parts.append(part)
        return b''.join(parts)

    async def skip_response(self, limit: int) -> ConnectionFailure | None:
        """Drop the rest of an answer to another request, and read on.

        The parser takes one answer for each request, so a new one gets the
        bytes that stand behind the dropped answer.
        """
        body = await self.read_all(limit)
        if isinstance(body, ConnectionFailure):
            return body
        assert self._resent is not None
        if self._http.their_state is h11.MUST_CLOSE:
            return self._broken(
                FailureKind.CLOSED, 'closed after a late answer'
            )
        rest, ended = self._http.trailing_data
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._http.send(self._resent)
        self._http.send(h11.EndOfMessage())
        if rest:
            self._http.receive_data(rest)
        if ended:
            self._http.receive_data(b'')
        return None

    def finish(self) -> bool:
        """Note that the answer was read; False when it cannot go on."""
        if self._http.their_state is not h11.DONE:
            return False
        if self._http.our_state is not h11.DONE:
            return False
        if self._http.trailing_data[0]:
            return False
        self._http.start_next_cycle()
        self._sent = False
        self.used = True
        self.idle_since = trio.current_time()
        return True

    def usable(self, now: float, longest_idle: float) -> bool:
        """Return whether an idle connection may carry another request."""
        limit = longest_idle
        if self.idle_limit is not None:
            limit = min(limit, self.idle_limit)
        if now - self.idle_since > limit:
            return False
        # Bytes, or the end, of an idle connection mean that it is done.
        return not self._stream.socket.is_readable()

    def close(self) -> None:
        """Close at once; a backend server then drops the request."""
        self._stream.socket.close()

    async def _next(self) -> h11.Event | ConnectionFailure:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as exc:
                return self._broken(FailureKind.MALFORMED, exc)
            if event is h11.PAUSED:
                return self._broken(
                    FailureKind.MALFORMED, 'bytes after its end'
                )
            if isinstance(event, h11.ConnectionClosed):
                return self._broken(FailureKind.CLOSED, 'closed')
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            try:
                data = await self._stream.receive_some(MAX_RECEIVE)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
                return self._broken(FailureKind.RESET, exc)
            try:
                self._http.receive_data(data)
            except h11.RemoteProtocolError as exc:
                return self._broken(FailureKind.MALFORMED, exc)

    def _note_keep_alive(self, res: h11.Response) -> None:
        for name, value in res.headers:
            if name != b'keep-alive':
                continue
            for item in value.split(b','):
                key, _, number = item.strip().partition(b'=')
                if key.lower() == b'timeout' and number.strip().isdigit():
                    self.idle_limit = float(number) * IDLE_MARGIN

    def _broken(self, kind: FailureKind, detail: object) -> ConnectionFailure:
        return ConnectionFailure(kind, self._sent, str(detail))


async def connect(
    address: str, port: int, within: float
) -> EngineConnection | ConnectionFailure:
    """Open a connection to an IP number.

    Parameters
    ----------
    address : str
        IP number.
    port : int
        TCP port.
    within : float
        Longest time in seconds.
    """
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        with trio.move_on_after(within):
            _set_options(sock)
            await sock.connect((address, port))
            return EngineConnection(trio.SocketStream(sock))
    except OSError as exc:
        sock.close()
        return ConnectionFailure(FailureKind.REFUSED, False, str(exc))
    except BaseException:
        sock.close()
        raise
    sock.close()
    return ConnectionFailure(
        FailureKind.CONNECT_TIMEOUT, False, f'not connected in {within:g} s'
    )


def _set_options(sock: trio.socket.SocketType) -> None:
    """Let the kernel find out that the other end is dead."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, SILENT_IDLE)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, SILENT_PROBES)
