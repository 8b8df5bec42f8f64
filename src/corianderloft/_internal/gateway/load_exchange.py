"""Tells other entry hosts what this host has at each backend server.

Hosts of one group tell each other. One host of each group, its delegate,
tells the delegates of the others what its group has, and its own group what
the others have, so that the datagrams of a host do not grow with the fleet.

Datagrams may be lost or late. Each holds what changed lately, some hold
everything, and what a host said is forgotten when it says nothing more.
"""

import collections.abc
import logging
import typing

import trio

from corianderloft._internal.gateway import load_messages as messages
from corianderloft._internal.models import listener
from corianderloft._internal.models import members
from corianderloft._internal.placement import engines
from corianderloft._internal.placement import groups
from corianderloft._internal.placement import placer

logger = logging.getLogger(__name__)

SEND_INTERVAL = 0.03
"""Least time between two datagrams in seconds: a long prompt occupies an
engine several times as long."""

REFRESH_INTERVAL = 0.5
"""Longest time between two datagrams in seconds; these hold everything."""

FORGET_TIME = 1.6
"""Silence after which the load of another host is forgotten, in seconds."""

MAX_DATAGRAM = 60000
"""Longest datagram in bytes, below the bound of UDP."""


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
        self._place = groups.assign(own, (own,))
        self._heard: dict[messages.Source, messages.Heard] = {}
        self._changed = trio.Event()
        self._senders = {
            scope: messages.Sender(own, scope) for scope in messages.Scope
        }
        self._malformed = 0
        decisions.set_load_listener(self._wake)

    def use_members(
        self, current: collections.abc.Sequence[members.Member]
    ) -> None:
        """Take over a new list of entry hosts."""
        self._place = groups.assign(self._own, current)

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

    def _wake(self) -> None:
        self._changed.set()

    async def _send(self, sock: trio.socket.SocketType) -> typing.NoReturn:
        refreshed = float('-inf')
        while True:
            with trio.move_on_after(REFRESH_INTERVAL):
                await self._changed.wait()
            self._changed = trio.Event()
            now = trio.current_time()
            whole = now - refreshed >= REFRESH_INTERVAL
            refreshed = now if whole else refreshed
            await self._send_all(sock, whole)
            await trio.sleep(SEND_INTERVAL)

    async def _send_all(
        self, sock: trio.socket.SocketType, whole: bool
    ) -> None:
        own = self._decisions.own_loads()
        place = self._place
        scopes = messages.Scope
        await self._tell(sock, scopes.HOST, own, place.group, whole)
        if not place.is_delegate:
            return
        group = _sum([own, *self._loads(scopes.HOST)])
        await self._tell(sock, scopes.GROUP, group, place.delegates, whole)
        rest = _sum(self._loads(scopes.GROUP))
        await self._tell(sock, scopes.REST, rest, place.group, whole)

    async def _tell(
        self,
        sock: trio.socket.SocketType,
        scope: messages.Scope,
        loads: messages.Loads,
        others: collections.abc.Sequence[members.Member],
        whole: bool,
    ) -> None:
        data = self._senders[scope].datagram(loads, whole)
        if data is None:
            return
        for member in others:
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
            message = messages.decode(data)
            if message is None:
                self._note_malformed()
            else:
                self._take(message)

    def _take(self, message: messages.Message) -> None:
        source = message.source
        heard = self._heard.setdefault(source, messages.Heard())
        if heard.take(message, trio.current_time()):
            self._decisions.update_peer_loads(str(source), heard.loads)
            if self._place.is_delegate:
                self._changed.set()

    def _loads(
        self, scope: messages.Scope
    ) -> collections.abc.Iterator[messages.Loads]:
        return (
            heard.loads
            for source, heard in self._heard.items()
            if source.scope is scope
        )

    async def _forget(self) -> typing.NoReturn:
        while True:
            await trio.sleep(FORGET_TIME / 4)
            oldest = trio.current_time() - FORGET_TIME
            for source, heard in list(self._heard.items()):
                if heard.at < oldest:
                    del self._heard[source]
                    self._decisions.update_peer_loads(str(source), {})

    def _note_malformed(self) -> None:
        """Log the first malformed datagrams, then ever fewer of them."""
        self._malformed += 1
        if self._malformed & (self._malformed - 1) == 0:
            logger.warning(
                'malformed datagrams ignored',
                extra={'count': self._malformed},
            )


def _sum(
    parts: collections.abc.Iterable[messages.Loads],
) -> dict[engines.Key, engines.PeerLoad]:
    total: dict[engines.Key, engines.PeerLoad] = {}
    for part in parts:
        for key, load in part.items():
            found = total.get(key)
            total[key] = load if found is None else found.combined(load)
    return total
