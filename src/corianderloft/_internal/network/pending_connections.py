"""Accepted connections that wait for a slot of a server."""

import collections
import collections.abc
import dataclasses
import http
import math
import os
import select
import socket

import trio

from corianderloft._internal.network import connection_stats
from corianderloft._internal.network import pending
from corianderloft._internal.network import streams

LINGER_S = 1.0
"""Time for a client to read a refusal before its connection closes."""

DISCARD_BYTES = 65536
"""Bytes of a refused request that are read and thrown away at once."""

MAX_DISCARDS = 4
"""Such reads of one connection between two checks."""

_HAS_CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


@dataclasses.dataclass
class _Waiting:
    """A connection that waits, and what its client has done."""

    stream: trio.SocketStream
    state: pending.State
    since: float


@dataclasses.dataclass(frozen=True)
class Served:
    """Connections that do not wait any longer.

    Attributes
    ----------
    asking, silent : list of SocketStream
        Connections that get a slot, with a request and without.
    lacking : int
        Number of further slots that are needed.
    """

    asking: list[trio.SocketStream]
    silent: list[trio.SocketStream]
    lacking: int


class PendingConnections:
    """Connections without a slot.

    The kernel holds what their clients have sent; nothing of it is read
    before they get a slot or a refusal.

    Parameters
    ----------
    room : int
        Maximum number of connections that wait, and of refused ones that
        have not been closed yet.
    stats : ConnectionStats
        Counts of the port.
    max_wait : float
        Time after which a request that waits for a slot is refused, in
        seconds.
    max_wait_for_start : float
        The same while there are slots and only processor time is short.
    build_refusal : callable or None
        Returns the response to a request that gets no slot. Without one,
        requests wait until their clients give up, or the room is exceeded.
    """

    def __init__(
        self,
        room: int,
        stats: connection_stats.ConnectionStats,
        max_wait: float,
        max_wait_for_start: float,
        build_refusal: collections.abc.Callable[[], bytes] | None,
    ) -> None:
        self._room = room
        self._stats = stats
        self._build_refusal = build_refusal
        self._max_wait = math.inf if build_refusal is None else max_wait
        self._max_wait_for_start = max(self._max_wait, max_wait_for_start)
        self._waiting: dict[int, _Waiting] = {}
        self._newest_first = False
        self._poll = select.poll()
        self._refused: collections.deque[tuple[float, trio.SocketStream]] = (
            collections.deque()
        )

    def __len__(self) -> int:
        """Return the number of connections that wait."""
        return len(self._waiting)

    def is_empty(self) -> bool:
        """Return whether no connection waits or is to be closed."""
        return not self._waiting and not self._refused

    def add(
        self,
        stream: trio.SocketStream,
        info: connection_stats.SocketInfo | None,
        now: float,
    ) -> None:
        """Add a connection that was accepted just now."""
        fileno = stream.socket.fileno()
        self._waiting[fileno] = _Waiting(stream, pending.State.SILENT, now)
        if info is not None and info.has_received:
            self._waiting[fileno] = _Waiting(
                stream, pending.State.ASKING, now - info.idle_s
            )
        self._poll.register(fileno, select.POLLIN | _HAS_CLOSED)

    def decide(self, free: int, starts: int, now: float) -> Served:
        """Refuse and close connections that are not to wait any longer.

        Parameters
        ----------
        free : int
            Slots that nobody has.
        starts : int
            Number of requests that may be begun now.
        now : float
            Present time in seconds.
        """
        self._close_refused(now)
        self._update_states(now)
        by_choice = {
            pending.Pending(w.state, w.since): w
            for w in self._waiting.values()
        }
        max_wait = self._max_wait_for_start if free else self._max_wait
        decision = pending.decide(
            by_choice,
            free,
            self._room,
            now,
            starts=starts,
            newest_first=self._newest_first,
            max_wait=max_wait,
        )
        self._newest_first ^= len(decision.serve) % 2 == 1
        for choice in decision.close:
            self._remove(by_choice[choice]).socket.close()
        for choice in decision.refuse:
            self._refuse(self._remove(by_choice[choice]), now)
        return Served(
            [self._remove(by_choice[choice]) for choice in decision.serve],
            [self._remove(by_choice[choice]) for choice in decision.keep],
            decision.lacking,
        )

    def refuse_all(self, now: float) -> None:
        """Refuse all requests that wait; to be called when the server ends."""
        self._update_states(now)
        for waiting in tuple(self._waiting.values()):
            stream = self._remove(waiting)
            if waiting.state is pending.State.ASKING:
                self._refuse(stream, now)
            else:
                stream.socket.close()
        self._close_refused(now)
        while self._refused:
            self._refused.popleft()[1].socket.close()

    def _update_states(self, now: float) -> None:
        for fileno, events in self._poll.poll(0):
            waiting = self._waiting[fileno]
            if events & _HAS_CLOSED:
                waiting.state = pending.State.GONE
            elif waiting.state is pending.State.SILENT:
                waiting.state = pending.State.ASKING
                waiting.since = now

    def _remove(self, waiting: _Waiting) -> trio.SocketStream:
        fileno = waiting.stream.socket.fileno()
        self._poll.unregister(fileno)
        del self._waiting[fileno]
        return waiting.stream

    def _refuse(self, stream: trio.SocketStream, now: float) -> None:
        self._stats.record_refused()
        if self._build_refusal is None:
            stream.socket.close()
            return
        try:
            streams.write_now(stream.socket.fileno(), self._build_refusal())
            stream.socket.shutdown(socket.SHUT_WR)
        except OSError:
            stream.socket.close()
            return
        # Closing it with unread bytes would reset the connection, and the
        # client would lose the response.
        self._refused.append((now + LINGER_S, stream))
        if len(self._refused) > self._room:
            self._close_refused(now)
        if len(self._refused) > self._room:
            self._refused.popleft()[1].socket.close()

    def _close_refused(self, now: float) -> None:
        open_: list[tuple[float, trio.SocketStream]] = []
        for until, stream in self._refused:
            if now >= until or _has_ended(stream):
                stream.socket.close()
            else:
                open_.append((until, stream))
        self._refused = collections.deque(open_)


def final_response(
    status: int,
    headers: collections.abc.Iterable[tuple[bytes, bytes]],
    body: bytes,
) -> bytes:
    """Return a whole HTTP/1.1 response after which the connection ends."""
    fields = [
        *((n, v) for n, v in headers if n.lower() != b'connection'),
        (b'content-length', b'%d' % len(body)),
        (b'connection', b'close'),
    ]
    phrase = http.HTTPStatus(status).phrase.encode()
    lines = [b'HTTP/1.1 %d %b' % (status, phrase)]
    lines += [b'%b: %b' % field for field in fields]
    return b'\r\n'.join([*lines, b'', body])


def _has_ended(stream: trio.SocketStream) -> bool:
    """Throw away what a client has sent; return whether it has closed."""
    try:
        for _ in range(MAX_DISCARDS):
            if not os.read(stream.socket.fileno(), DISCARD_BYTES):
                return True
    except BlockingIOError:
        return False
    except OSError:
        return True
    return False


__all__ = ['PendingConnections', 'Served', 'final_response']
