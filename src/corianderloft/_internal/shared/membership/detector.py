"""Discovers hosts, detects their failures and distributes both.

Each host probes one other host per interval, directly and if necessary
indirectly through peers, so the cost per host does not grow with the fleet.
Updates are piggybacked on the probes and also pushed at once to a few hosts.
"""

import dataclasses
import logging
import random
import typing

import trio

from corianderloft._internal.metrics import registry
from corianderloft._internal.models import ids
from corianderloft._internal.models import states
from corianderloft._internal.shared import interface
from corianderloft._internal.shared.membership import delegate
from corianderloft._internal.shared.membership import probes
from corianderloft._internal.shared.membership import timing
from corianderloft._internal.shared.membership import updates
from corianderloft._internal.shared.membership import view
from corianderloft._internal.shared.peers import messages
from corianderloft._internal.shared.peers import transport

logger = logging.getLogger(__name__)

CHANGES = registry.counter(
    'member_changes', 'Changes of the state of a host as seen here.'
)


class Detector:
    """Runs the membership protocol of one host.

    Parameters
    ----------
    members : View
        The view to maintain.
    peers : Transport
        Transport for messages to other hosts.
    host_delegate : Delegate
        Provides and receives the other state of this host.
    seeds : sequence of Address
        Addresses of peers from the settings.
    rng : random.Random
        Source of jitter and random choices.
    """

    def __init__(
        self,
        members: view.View,
        peers: transport.Transport,
        host_delegate: delegate.Delegate,
        seeds: tuple[messages.Address, ...],
        rng: random.Random,
    ) -> None:
        self.view = members
        self.targets = probes.ProbeTargets(members, rng)
        self.joined = False
        self._peers = peers
        self._delegate = host_delegate
        self._seeds = set(seeds)
        self._rng = rng
        self._pending_probes = probes.PendingProbes(
            timing.INDIRECT_PROBE_TIMEOUT_S + timing.PROBE_TIMEOUT_S
        )
        self._updates = updates.UpdateQueue(members)
        self._started_at = trio.current_time()
        self._updates.add_host(members.own.host_id)
        self._push_requested = trio.Event()
        self._digest_mismatches = 0
        self._last_view_fetch = -timing.MIN_VIEW_FETCH_INTERVAL_S
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Run the protocol until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for task in (
                self._receive_loop,
                self._join_loop,
                self._probe_loop,
                self._suspicion_loop,
                self._push_loop,
            ):
                nursery.start_soon(task)

    def add_seeds(self, *seeds: messages.Address) -> None:
        """Add addresses at which peers may listen."""
        self._seeds.update(seeds)

    def push_soon(self) -> None:
        """Push recent changes to a few peers without waiting for a probe."""
        self._push_requested.set()

    def leave(self) -> None:
        """Announce that this host is leaving."""
        self.view.set_own_state(states.HostState.LEAVING)
        self._broadcast_host(self.view.own.host_id)

    def cancel_leave(self) -> None:
        """Withdraw the announcement that this host is leaving."""
        self.view.set_own_state(states.HostState.LIVE)
        self._broadcast_host(self.view.own.host_id)

    def note_backend_leaving(self, engine_id: ids.EngineId) -> None:
        """Notify all hosts that a backend server announced it is leaving."""
        self._handle_backend_note(messages.BackendNote(engine_id, 0.0))

    async def _receive_loop(self) -> typing.NoReturn:
        while True:
            source, message = await self._peers.receive()
            if message.sender == self.view.own.host_id:
                self._handle_duplicate_id(message)
                continue
            await self._handle(source, message)

    async def _handle(
        self, source: messages.Address, message: messages.Datagram
    ) -> None:
        for host in message.members:
            self._merge(host)
        for note in message.notes:
            self._handle_backend_note(note)
        self.view.note_revision(message.sender, message.configuration)
        self._delegate.on_message(source, message)
        self._check_sender(source, message)
        self._compare_views(source, message)
        match message.kind:
            case messages.DatagramKind.PING:
                await self._handle_ping(source, message)
            case messages.DatagramKind.PING_REQUEST:
                self._spawn(self._probe_for_peer, source, message)
            case messages.DatagramKind.ACK:
                probe = self._pending_probes.match_ack(message)
                if probe:
                    self._delegate.on_ack(probe.sent_at, message)
            case messages.DatagramKind.UPDATE:
                pass

    def _check_sender(
        self, source: messages.Address, message: messages.Datagram
    ) -> None:
        """Fetch the view of an unknown sender; notify one seen as dead."""
        known = self.view.get(message.sender)
        if known is None or known.incarnation < message.incarnation:
            self._spawn(self._fetch_view, source)
        elif known.state is states.HostState.DEAD:
            self._updates.add_host(known.host_id)

    async def _handle_ping(
        self, source: messages.Address, message: messages.Datagram
    ) -> None:
        # A ping addressed to a previous host at this address must not be
        # acked.
        if message.target not in ('', self.view.own.host_id):
            return
        await self._send(
            source,
            messages.DatagramKind.ACK,
            self.view.own.host_id,
            message.sequence,
        )

    async def _probe_for_peer(
        self, source: messages.Address, message: messages.Datagram
    ) -> None:
        target = self.view.get(message.target)
        if target and await self._ping(target, timing.PROBE_TIMEOUT_S):
            await self._send(
                source,
                messages.DatagramKind.ACK,
                target.host_id,
                message.sequence,
            )

    async def _ping(self, target: interface.Host, timeout: float) -> bool:
        sequence, probe = self._pending_probes.add(target.host_id)
        await self._send(
            _address(target),
            messages.DatagramKind.PING,
            target.host_id,
            sequence,
        )
        with trio.move_on_after(timeout):
            await probe.acked.wait()
        self._pending_probes.remove(sequence)
        return probe.acked.is_set()

    async def _probe_loop(self) -> typing.NoReturn:
        rounds = 0
        while True:
            await trio.sleep(
                timing.PROBE_INTERVAL_S * self._rng.uniform(0.9, 1.1)
            )
            target = self.targets.next()
            if target:
                self._spawn(self._probe, target)
            rounds += 1
            if rounds % timing.INTERVALS_PER_UNREACHABLE_PROBE == 0:
                self._spawn(self._probe_unreachable)

    async def _probe(self, target: interface.Host) -> None:
        """Probe a member; suspect it if direct and indirect probes fail."""
        started = trio.current_time()
        if await self._ping(target, timing.PROBE_TIMEOUT_S):
            return
        sequence, probe = self._pending_probes.add(target.host_id)
        for peer in self.targets.sample(
            timing.INDIRECT_PROBES, target.host_id
        ):
            await self._send(
                _address(peer),
                messages.DatagramKind.PING_REQUEST,
                target.host_id,
                sequence,
            )
        with trio.move_on_after(timing.INDIRECT_PROBE_TIMEOUT_S):
            await probe.acked.wait()
        self._pending_probes.remove(sequence)
        elapsed = trio.current_time() - started
        paused = (
            elapsed
            > timing.PROBE_TIMEOUT_S
            + timing.INDIRECT_PROBE_TIMEOUT_S
            + timing.SUSPICION_CHECK_S
        )
        if not probe.acked.is_set() and not paused:
            self._merge(
                dataclasses.replace(target, state=states.HostState.SUSPECT)
            )

    async def _probe_unreachable(self) -> None:
        """Probe a suspect or dead member, and a seed that is not a member.

        The former learns that it is suspected and refutes it. This reunites
        the parts of a fleet after a network partition.
        """
        target = self.targets.unreachable()
        if target:
            self._updates.add_host(target.host_id)
            await self._ping(target, timing.PROBE_TIMEOUT_S)
        known = {_address(host) for host in self.view.all_members()}
        unknown_seeds = sorted(self._seeds - known)
        if unknown_seeds:
            await self._ping_seed(self._rng.choice(unknown_seeds))

    async def _suspicion_loop(self) -> typing.NoReturn:
        last = trio.current_time()
        while True:
            await trio.sleep(timing.SUSPICION_CHECK_S)
            now = trio.current_time()
            if now - last > timing.PAUSE_THRESHOLD_S:
                self.view.shift_times(now - last)
            last = now
            for host in self.view.suspects_since(
                now - timing.SUSPICION_TIMEOUT_S
            ):
                self._merge(
                    dataclasses.replace(host, state=states.HostState.DEAD)
                )
            self.view.remove_expired(now)

    async def _push_loop(self) -> typing.NoReturn:
        tokens = timing.MAX_PUSH_BURST
        last = trio.current_time()
        while True:
            await self._push_requested.wait()
            await trio.sleep(timing.PUSH_COALESCE_S)
            self._push_requested = trio.Event()
            now = trio.current_time()
            tokens = min(
                timing.MAX_PUSH_BURST,
                tokens + (now - last) * timing.MAX_PUSHES_PER_SECOND,
            )
            last = now
            if tokens < 1:
                await trio.sleep(1 / timing.MAX_PUSHES_PER_SECOND)
                self._push_requested.set()
                continue
            tokens -= 1
            for host in self.targets.sample(timing.PUSH_FANOUT):
                await self._send(
                    _address(host), messages.DatagramKind.UPDATE, host.host_id
                )

    async def _join_loop(self) -> typing.NoReturn:
        """Fetch views from seeds whenever no peer is reachable."""
        backoff = timing.JOIN_RETRY_S
        while True:
            if not self.targets.sample(1):
                seeds = list(self._seeds - {self._peers.address})
                self._rng.shuffle(seeds)
                for seed in seeds[: timing.SEEDS_PER_JOIN]:
                    await self._fetch_view(seed, force=True)
                    await self._ping_seed(seed)
            self.joined = True
            await trio.sleep(self._rng.uniform(0.5, 1.5) * backoff)
            backoff = min(timing.MIN_VIEW_FETCH_INTERVAL_S, backoff * 1.5)

    async def _ping_seed(self, seed: messages.Address) -> None:
        self._updates.add_host(self.view.own.host_id)
        await self._send(seed, messages.DatagramKind.PING, ids.HostId(''))

    async def _fetch_view(
        self, source: messages.Address, force: bool = False
    ) -> None:
        now = trio.current_time()
        if (
            not force
            and now - self._last_view_fetch < timing.MIN_VIEW_FETCH_INTERVAL_S
        ):
            return
        self._last_view_fetch = now
        fetched = await self._peers.fetch(
            source,
            messages.Fetch(
                messages.FetchKind.VIEW, transport.new_nonce(self._rng)
            ),
        )
        if isinstance(fetched, messages.Fetched):
            for host in fetched.members:
                self._merge(host)

    def _compare_views(
        self, source: messages.Address, message: messages.Datagram
    ) -> None:
        """Fetch a peer's view after repeated digest mismatches."""
        if message.view_digest == self.view.digest():
            self._digest_mismatches = 0
            return
        self._digest_mismatches += 1
        if self._digest_mismatches >= timing.MAX_DIGEST_MISMATCHES:
            self._digest_mismatches = 0
            self._spawn(self._fetch_view, source)

    def _merge(self, update: interface.Host) -> None:
        now = trio.current_time()
        joining = now - self._started_at < timing.JOIN_GRACE_S
        result = self.view.merge(update, now, joining)
        if result is view.MergeResult.OLD:
            return
        if result is view.MergeResult.REPLACED:
            logger.error(
                'host id %s is in use by a newer host; refusing new work',
                update.host_id,
            )
        CHANGES.inc({'state': update.state.value})
        self._broadcast_host(update.host_id)

    def _handle_duplicate_id(self, message: messages.Datagram) -> None:
        joining = trio.current_time() - self._started_at < timing.JOIN_GRACE_S
        if message.incarnation > self.view.own.incarnation and not joining:
            self.view.replaced = True
            self._delegate.on_members_changed()

    def _broadcast_host(self, host_id: ids.HostId) -> None:
        self._updates.add_host(host_id)
        self._delegate.on_members_changed()
        self.push_soon()

    def _handle_backend_note(self, note: messages.BackendNote) -> None:
        if self._delegate.on_backend_leaving(note.engine_id, note.age):
            self._updates.add_note(note)
            self.push_soon()

    async def _send(
        self,
        to: messages.Address,
        kind: messages.DatagramKind,
        target: ids.HostId,
        sequence: int = 0,
    ) -> None:
        host_count = len(self.view.all_members())
        message = messages.Datagram(
            kind,
            self.view.own.host_id,
            self.view.own.incarnation,
            sequence,
            target,
            self._delegate.configuration_revision(),
            self._delegate.platform_revision(),
            self._delegate.verified_age(),
            self.view.digest(),
            self._updates.take_hosts(host_count),
            self._updates.take_notes(host_count),
        )
        await self._peers.send(to, message)

    def _spawn(
        self,
        task: typing.Callable[..., typing.Awaitable[typing.Any]],
        *args: object,
    ) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(task, *args)


def _address(host: interface.Host) -> messages.Address:
    return messages.Address(host.address, host.peer_port)
