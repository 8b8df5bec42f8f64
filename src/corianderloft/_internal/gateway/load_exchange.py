"""Tells other entry hosts what this host has at each backend server.

Datagrams may be lost or late: each one holds everything, and what a host
said is forgotten when it says nothing more.
"""

import collections.abc
import dataclasses
import logging
import typing

import orjson
import trio

from corianderloft._internal.models import ids
from corianderloft._internal.models import listener
from corianderloft._internal.models import members
from corianderloft._internal.placement import engines
from corianderloft._internal.placement import placer

logger = logging.getLogger(__name__)

SEND_INTERVAL = 0.03
"""Least time between two datagrams in seconds: a long prompt occupies an
engine several times as long."""

REFRESH_INTERVAL = 0.5
"""Longest time between two datagrams in seconds."""

FORGET_TIME = 1.6
"""Silence after which the load of another host is forgotten, in seconds."""

MAX_DATAGRAM = 60000
"""Longest datagram in bytes, below the bound of UDP."""


@dataclasses.dataclass(frozen=True)
class HostLoad:
    """What one host has at the backend servers.

    Attributes
    ----------
    host_id : HostId
        The host.
    start : str
        Which start of the host it is.
    number : int
        Grows with each datagram of one start.
    loads : dict
        Loads by backend server.
    """

    host_id: ids.HostId
    start: str
    number: int
    loads: dict[engines.Key, engines.PeerLoad]


def encode(load: HostLoad) -> bytes:
    """Return a load as a datagram."""
    return orjson.dumps(
        [
            load.host_id,
            load.start,
            load.number,
            [
                [*key, *dataclasses.astuple(at)]
                for key, at in load.loads.items()
            ],
        ]
    )


def decode(data: bytes) -> HostLoad | None:
    """Return the load in a datagram, or None for one that is malformed."""
    try:
        host_id, start, number, rows = orjson.loads(data)
        loads = {
            (ids.EngineId(engine_id), int(born)): engines.PeerLoad(
                *map(int, figures)
            )
            for engine_id, born, *figures in rows
        }
        return HostLoad(ids.HostId(host_id), str(start), int(number), loads)
    except (ValueError, TypeError):
        return None


class LoadExchange(listener.Listener):
    """Sends the loads of this host, and takes in those of others.

    Parameters
    ----------
    decisions : Placer
        Knows the loads of this host, and uses those of others.
    own : Member
        Entry of this host.
    """

    def __init__(self, decisions: placer.Placer, own: members.Member) -> None:
        self._decisions = decisions
        self._own = own
        self._others: tuple[members.Member, ...] = ()
        self._heard: dict[ids.HostId, tuple[str, int, float]] = {}
        self._number = 0
        self._malformed = 0

    def use_members(
        self, current: collections.abc.Sequence[members.Member]
    ) -> None:
        """Take over a new list of entry hosts."""
        self._others = tuple(
            member for member in current if member.host_id != self._own.host_id
        )

    async def run(self) -> None:
        """Exchange loads until cancelled."""
        with trio.socket.socket(
            trio.socket.AF_INET, trio.socket.SOCK_DGRAM
        ) as sock:
            await sock.bind((self._own.address, self._own.peer_port))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send, sock)
                nursery.start_soon(self._receive, sock)
                nursery.start_soon(self._forget)

    async def _send(self, sock: trio.socket.SocketType) -> typing.NoReturn:
        while True:
            with trio.move_on_after(REFRESH_INTERVAL):
                await self._decisions.load_changed.wait()
            self._decisions.load_changed = trio.Event()
            self._number += 1
            data = encode(
                HostLoad(
                    self._own.host_id,
                    self._own.start,
                    self._number,
                    self._decisions.own_loads(),
                )
            )
            for member in self._others:
                await self._send_to(sock, data, member)
            await trio.sleep(SEND_INTERVAL)

    async def _send_to(
        self,
        sock: trio.socket.SocketType,
        data: bytes,
        member: members.Member,
    ) -> None:
        try:
            await sock.sendto(data, (member.address, member.peer_port))
        except OSError as exc:
            logger.debug('load not sent to %s: %s', member.host_id, exc)

    async def _receive(self, sock: trio.socket.SocketType) -> typing.NoReturn:
        while True:
            try:
                data = await sock.recv(MAX_DATAGRAM)
            except OSError as exc:
                logger.debug('no datagram could be read: %s', exc)
                continue
            load = decode(data)
            if load is None:
                self._malformed += 1
                if self._malformed & (self._malformed - 1) == 0:
                    logger.warning(
                        'malformed datagrams ignored',
                        extra={'count': self._malformed},
                    )
                continue
            self._take(load)

    def _take(self, load: HostLoad) -> None:
        start, number, _ = self._heard.get(load.host_id, ('', 0, 0.0))
        if start == load.start and number >= load.number:
            return
        now = trio.current_time()
        self._heard[load.host_id] = load.start, load.number, now
        self._decisions.use_peer_load(load.host_id, load.loads)

    async def _forget(self) -> typing.NoReturn:
        while True:
            await trio.sleep(FORGET_TIME / 4)
            oldest = trio.current_time() - FORGET_TIME
            for host_id, (_, _, at) in list(self._heard.items()):
                if at < oldest:
                    del self._heard[host_id]
                    self._decisions.use_peer_load(host_id, {})
