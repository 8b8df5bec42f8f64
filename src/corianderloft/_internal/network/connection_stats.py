"""Counts and times of the connections of a server, kept as plain numbers.

`metrics.exposition` turns them into metrics when these are read. Nothing here
waits or writes to the network.
"""

import collections
import collections.abc
import dataclasses
import enum
import socket
import struct
import typing

MAX_PENDING_TIMES = 4096
"""Times of each kind kept until the metrics are read; the oldest ones are
dropped on a host whose metrics nobody reads."""

LONG_WAIT_S = 0.1
"""Time before the accept after which clients that have gone are taken to have
given up; probes that connect and leave have not."""

CLOSED_STATES = (7, 8)
"""TCP_CLOSE and TCP_CLOSE_WAIT of the kernel's tcp_states.h."""

_INFO = struct.Struct('=B23xI24xI72xQ')
"""``state``, ``unacked``, ``last_data_recv`` and ``bytes_received`` of the
kernel's ``struct tcp_info``."""


class Stage(enum.Enum):
    """Parts of the time that a client waits on a new connection.

    The values are labels of a metric.
    """

    ACCEPT = 'accept'
    FIRST_READ = 'first_read'
    ANSWER = 'answer'


@dataclasses.dataclass(frozen=True)
class SocketInfo:
    """What the kernel tells of a TCP socket.

    Attributes
    ----------
    peer_has_closed : bool
        Whether the peer has closed or reset the connection.
    queued : int
        Connections that wait to be accepted, for a listening socket.
    idle_s : float
        Time since the last bytes arrived, or since the connection was opened
        if there were none, in seconds.
    has_received : bool
        Whether any bytes have arrived.
    """

    peer_has_closed: bool
    queued: int
    idle_s: float
    has_received: bool


class HasOptions(typing.Protocol):
    """A socket of the standard library or of trio."""

    def getsockopt(self, level: int, optname: int, buflen: int) -> bytes:
        """Return the value of an option."""


def socket_info(sock: HasOptions) -> SocketInfo | None:
    """Return what the kernel tells of a socket; None if it tells nothing."""
    try:
        raw = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _INFO.size)
        state, queued, idle_ms, received = _INFO.unpack(raw)
    except (OSError, struct.error):
        return None
    return SocketInfo(
        state in CLOSED_STATES, queued, idle_ms / 1000, received > 0
    )


class ConnectionStats:
    """Counts and times of one port.

    Attributes
    ----------
    accepted : Counter of bool
        Accepted connections, by whether their client had gone already.
    refused : int
        Connections that got a refusal in place of a slot.
    times : dict of Stage to deque of float
        Times that have not been read yet, in seconds.
    loop_delays : deque of float
        Times by which the event loop was late, in seconds.
    read_uses, read_queued : callable or None
        Return the connections by use, and those that wait to be accepted.
    """

    def __init__(self) -> None:
        self.accepted: collections.Counter[bool] = collections.Counter()
        self.refused = 0
        self.times: dict[Stage, collections.deque[float]] = {
            stage: collections.deque(maxlen=MAX_PENDING_TIMES)
            for stage in Stage
        }
        self.loop_delays: collections.deque[float] = collections.deque(
            maxlen=MAX_PENDING_TIMES
        )
        self.read_uses: collections.abc.Callable[
            [], collections.abc.Mapping[str, int]
        ] = dict
        self.read_queued: collections.abc.Callable[[], int] = int
        self._interval = _Interval()

    def record_accepted(self, info: SocketInfo | None) -> None:
        """Record a connection that was accepted just now."""
        if info is None:
            self.accepted[False] += 1
            return
        self.accepted[info.peer_has_closed] += 1
        self._interval.accepted += 1
        self._interval.gone += info.peer_has_closed
        self.record(Stage.ACCEPT, info.idle_s)

    def record(self, stage: Stage, seconds: float) -> None:
        """Record how long a client waited for a stage."""
        self.times[stage].append(seconds)
        longest = self._interval.longest
        longest[stage] = max(longest[stage], seconds)

    def record_closed(self, reason: str) -> None:
        """Record a connection that was closed for another client."""
        self._interval.closed[reason] += 1

    def record_refused(self) -> None:
        """Record a connection that got a refusal in place of a slot."""
        self.refused += 1
        self._interval.refused += 1

    def connections_were_short(self) -> bool:
        """Return whether clients got none in time since the last log line."""
        interval = self._interval
        has_waited = interval.longest[Stage.ACCEPT] > LONG_WAIT_S
        return bool(
            interval.refused
            or interval.closed
            or (interval.gone and has_waited)
        )

    def record_loop_delay(self, seconds: float) -> None:
        """Record by how much the event loop was late."""
        self.loop_delays.append(seconds)
        self._interval.loop_delay = max(self._interval.loop_delay, seconds)

    def take_log_fields(self) -> dict[str, typing.Any]:
        """Return log fields on the time since the last call."""
        interval, self._interval = self._interval, _Interval()
        return {
            'uses': dict(self.read_uses()),
            'queued': self.read_queued(),
            'accepted': interval.accepted,
            'gone': interval.gone,
            'refused': interval.refused,
            'closed': dict(interval.closed),
            'loop_delay_s': round(interval.loop_delay, 3),
            **{
                f'longest_{stage.value}_s': round(seconds, 3)
                for stage, seconds in interval.longest.items()
            },
        }


class _Interval:
    """What happened since the last log line."""

    def __init__(self) -> None:
        self.accepted = 0
        self.gone = 0
        self.refused = 0
        self.loop_delay = 0.0
        self.closed: collections.Counter[str] = collections.Counter()
        self.longest = dict.fromkeys(Stage, 0.0)


def take(times: collections.deque[float]) -> list[float]:
    """Return the recorded times and forget them."""
    taken = list(times)
    times.clear()
    return taken


PORTS: dict[str, ConnectionStats] = {}
"""Stats of the ports of this process, by name."""


__all__ = [
    'CLOSED_STATES',
    'PORTS',
    'ConnectionStats',
    'SocketInfo',
    'Stage',
    'socket_info',
    'take',
]
