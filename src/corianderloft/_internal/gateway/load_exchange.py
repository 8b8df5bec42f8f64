"""Exchanges per-backend load between entry hosts over UDP.

The hosts of a group send their load to each other. One host of each group,
its delegate, sends the sum of its group to the delegates of the other groups,
and the sum of the other groups to its own group. The number of datagrams per
host therefore does not grow with the fleet.

Datagrams may be lost or delayed. Each contains recent changes, and some
contain the full state. The load of a host that falls silent expires.
"""

import collections.abc
import logging
import typing

import trio

from corianderloft._internal.gateway import crash_messages
from corianderloft._internal.gateway import load_messages as messages
from corianderloft._internal.gateway import outages
from corianderloft._internal.gateway import rate_messages
from corianderloft._internal.models import ids
from corianderloft._internal.models import listener
from corianderloft._internal.models import members
from corianderloft._internal.placement import engines
from corianderloft._internal.placement import groups
from corianderloft._internal.placement import lane_demand
from corianderloft._internal.placement import placer

logger = logging.getLogger(__name__)

K = typing.TypeVar('K')
V = typing.TypeVar('V', engines.PeerLoad, lane_demand.Demand)

SEND_INTERVAL_S = 0.03
"""Minimum interval between datagrams; the prefill of a long prompt takes
several times as long."""

DELEGATES_AT_FULL_PACE = 8
"""Delegates up to which the sums of groups are sent at the pace of the loads
of single hosts. With more of them the pace falls, so that the datagrams that
a delegate sends and receives do not grow with the fleet."""

REFRESH_INTERVAL_S = 0.5
"""Maximum interval between datagrams; one sent after it has the full state."""

EXPIRE_AFTER_S = 1.6
"""Time without a datagram after which the load of another host expires."""

MAX_DATAGRAM_BYTES = 60000
"""Maximum size of a datagram, below the limit of UDP."""


class StoreContact(typing.Protocol):
    """What hosts tell each other of the store and of the declarations."""

    def contact(self) -> outages.Contact | None:
        """Return what to tell other hosts."""

    def use_contact(
        self, host_id: ids.HostId, contact: outages.Contact
    ) -> None:
        """Use what another host tells."""

    def newest_version(self) -> int:
        """Return the newest version that this or another host has."""

    def use_version(self, version: int) -> None:
        """Use the version that another host has, or knows of."""


class DatagramHandler(typing.Protocol):
    """A part with datagrams of its own on the same port."""

    @property
    def prefix(self) -> bytes:
        """Beginning of its datagrams, and of no others."""

    def receive(self, data: bytes) -> bool:
        """Use a datagram; return False if it is malformed."""


class LoadExchange(listener.Listener):
    """Sends the loads of this host and receives those of other hosts.

    Hosts tell each other in the same datagrams whether they hear of the store
    and which declarations they know of.

    Parameters
    ----------
    request_placer : Placer
        Provides the loads of this host and uses those of other hosts.
    own : Member
        Entry of this host.
    store_contact : StoreContact
        The contact of this host with the store.
    """

    def __init__(
        self,
        request_placer: placer.Placer,
        own: members.Member,
        store_contact: StoreContact,
    ) -> None:
        self._placer = request_placer
        self._store_contact = store_contact
        self._own = own
        self._assignment = groups.assign(own, (own,))
        self._received: dict[messages.Source, messages.ReceivedLoads] = {}
        self._changed = trio.Event()
        self._builders = {
            scope: messages.DatagramBuilder(own, scope)
            for scope in messages.Scope
        }
        self._malformed_count = 0
        self._handlers: list[DatagramHandler] = []
        self._sock: trio.socket.SocketType | None = None
        self._next_sums_at = float('-inf')
        request_placer.set_load_listener(self._mark_changed)
        self._rates = rate_messages.RateReports(request_placer, own)
        self._crashes = crash_messages.CrashReports(
            request_placer.crashes, self._mark_changed
        )

    def use_members(
        self, current: collections.abc.Sequence[members.Member]
    ) -> None:
        """Use a new list of entry hosts."""
        self._assignment = groups.assign(self._own, current)

    def add_handler(self, handler: DatagramHandler) -> None:
        """Pass datagrams with the prefix of a handler to it."""
        self._handlers.append(handler)

    async def send(
        self, data: bytes, recipients: collections.abc.Sequence[members.Member]
    ) -> None:
        """Send a datagram of a handler; it may be lost."""
        if self._sock is not None:
            await _send_datagram(self._sock, data, recipients)

    async def run(self) -> None:
        """Exchange loads until cancelled."""
        with trio.socket.socket(
            trio.socket.AF_INET, trio.socket.SOCK_DGRAM
        ) as sock:
            await sock.bind((self._own.address, self._own.peer_port))
            self._sock = sock
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send, sock)
                nursery.start_soon(self._receive, sock)
                nursery.start_soon(self._expire)

    def _mark_changed(self) -> None:
        self._changed.set()

    async def _send(self, sock: trio.socket.SocketType) -> typing.NoReturn:
        last_full_at = float('-inf')
        while True:
            with trio.move_on_after(REFRESH_INTERVAL_S):
                await self._changed.wait()
            self._changed = trio.Event()
            now = trio.current_time()
            full = now - last_full_at >= REFRESH_INTERVAL_S
            last_full_at = now if full else last_full_at
            await self._send_all(sock, full)
            await trio.sleep(SEND_INTERVAL_S)

    async def _send_all(
        self, sock: trio.socket.SocketType, full: bool
    ) -> None:
        own, demands = self._placer.own_loads(), self._placer.own_demands()
        assignment = self._assignment
        scopes = messages.Scope
        await self._send_to(
            sock, scopes.HOST, own, demands, assignment.group, full
        )
        await self._send_reports(sock, scopes.HOST, assignment.group, full)
        if assignment.is_delegate:
            await self._send_sums(sock, own, demands, full)

    async def _send_reports(
        self,
        sock: trio.socket.SocketType,
        scope: messages.Scope,
        recipients: collections.abc.Sequence[members.Member],
        full: bool,
    ) -> None:
        """Send what there is on limited servers and on crashes."""
        for reports in (self._rates, self._crashes):
            data = reports.next_datagram(scope, full)
            if data is not None:
                await _send_datagram(sock, data, recipients)

    async def _send_sums(
        self,
        sock: trio.socket.SocketType,
        own: messages.Loads,
        demands: messages.Demands,
        full: bool,
    ) -> None:
        """Send the sum of this group to other delegates, and theirs to it."""
        now = trio.current_time()
        if now < self._next_sums_at and not full:
            # The changes wait for a later pass.
            self._changed.set()
            return
        assignment = self._assignment
        pace = max(1.0, len(assignment.delegates) / DELEGATES_AT_FULL_PACE)
        self._next_sums_at = now + pace * SEND_INTERVAL_S
        scopes = messages.Scope
        group = _sum([own, *self._loads(scopes.HOST)])
        group_demands = _sum([demands, *self._demands(scopes.HOST)])
        await self._send_to(
            sock,
            scopes.GROUP,
            group,
            group_demands,
            assignment.delegates,
            full,
        )
        rest = _sum(self._loads(scopes.GROUP))
        rest_demands = _sum(self._demands(scopes.GROUP))
        await self._send_to(
            sock, scopes.REST, rest, rest_demands, assignment.group, full
        )
        await self._send_reports(
            sock, scopes.GROUP, assignment.delegates, full
        )
        await self._send_reports(sock, scopes.REST, assignment.group, full)

    async def _send_to(
        self,
        sock: trio.socket.SocketType,
        scope: messages.Scope,
        loads: messages.Loads,
        demands: messages.Demands,
        recipients: collections.abc.Sequence[members.Member],
        full: bool,
    ) -> None:
        data = self._builders[scope].next_datagram(
            loads,
            demands,
            full,
            self._store_contact.contact(),
            self._store_contact.newest_version(),
        )
        if data is not None:
            await _send_datagram(sock, data, recipients)

    async def _receive(self, sock: trio.socket.SocketType) -> typing.NoReturn:
        while True:
            try:
                data = await sock.recv(MAX_DATAGRAM_BYTES)
            except OSError as exc:
                logger.debug('receiving a load datagram failed: %s', exc)
                continue
            handler = next(
                (h for h in self._handlers if data.startswith(h.prefix)), None
            )
            if handler is not None:
                if not handler.receive(data):
                    self._log_malformed()
                continue
            if rate_messages.is_rate_datagram(data):
                self._apply_rates(data)
                continue
            if crash_messages.is_crash_datagram(data):
                self._apply_crashes(data)
                continue
            message = messages.decode(data)
            if message is None:
                self._log_malformed()
            else:
                self._apply(message)

    def _apply_rates(self, data: bytes) -> None:
        if not self._rates.receive(data):
            self._log_malformed()
        elif self._assignment.is_delegate:
            self._mark_changed()

    def _apply_crashes(self, data: bytes) -> None:
        received = self._crashes.receive(data)
        if received is crash_messages.Received.MALFORMED:
            self._log_malformed()
        elif received is crash_messages.Received.NEWS:
            self._mark_changed()

    def _apply(self, message: messages.Message) -> None:
        source = message.source
        received = self._received.setdefault(source, messages.ReceivedLoads())
        changed = received.apply(message, trio.current_time())
        if changed is not None and message.contact is not None:
            self._store_contact.use_contact(source.host_id, message.contact)
        if changed is not None:
            self._store_contact.use_version(message.version)
            self._placer.update_peer_loads(
                source.label, received.loads, changed
            )
            self._placer.update_peer_demands(source.label, received.demands)
            if self._assignment.is_delegate:
                self._changed.set()

    def _loads(
        self, scope: messages.Scope
    ) -> collections.abc.Iterator[messages.Loads]:
        return (
            received.loads
            for source, received in self._received.items()
            if source.scope is scope
        )

    def _demands(
        self, scope: messages.Scope
    ) -> collections.abc.Iterator[messages.Demands]:
        return (
            received.demands
            for source, received in self._received.items()
            if source.scope is scope
        )

    async def _expire(self) -> typing.NoReturn:
        while True:
            await trio.sleep(EXPIRE_AFTER_S / 4)
            cutoff = trio.current_time() - EXPIRE_AFTER_S
            self._rates.expire(cutoff)
            for source, received in list(self._received.items()):
                if received.received_at < cutoff:
                    del self._received[source]
                    self._placer.update_peer_loads(
                        source.label, {}, received.loads.keys()
                    )
                    self._placer.update_peer_demands(source.label, {})

    def _log_malformed(self) -> None:
        """Log malformed datagrams when their count reaches a power of two."""
        self._malformed_count += 1
        if self._malformed_count & (self._malformed_count - 1) == 0:
            logger.warning(
                'malformed datagrams ignored',
                extra={'count': self._malformed_count},
            )


async def _send_datagram(
    sock: trio.socket.SocketType,
    data: bytes,
    recipients: collections.abc.Sequence[members.Member],
) -> None:
    for member in recipients:
        try:
            await sock.sendto(data, (member.address, member.peer_port))
        except OSError as exc:
            logger.debug('datagram not sent to %s: %s', member.host_id, exc)


def _sum(
    parts: collections.abc.Iterable[collections.abc.Mapping[K, V]],
) -> dict[K, V]:
    """Return the sum of the values of each key."""
    total: dict[K, V] = {}
    for part in parts:
        for key, value in part.items():
            found = total.get(key)
            total[key] = value if found is None else found + value
    return total
