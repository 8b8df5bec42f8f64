"""Finding hosts, noticing that they fail, and spreading both.

Each host probes one other in each period, itself or through helpers, so the
cost a node does not grow with the fleet. News travels with the probes, and
is besides passed on at once to a few hosts.
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
        The view to keep.
    peers : Transport
        Messages to other hosts.
    known : Knowledge
        The rest of this host.
    seeds : sequence of Address
        Peers from the settings.
    rng : random.Random
        Source of jitter and choices.
    """

    def __init__(
        self,
        members: view.View,
        peers: transport.Transport,
        known: delegate.Knowledge,
        seeds: tuple[messages.Address, ...],
        rng: random.Random,
    ) -> None:
        self.view = members
        self.targets = probes.Targets(members, rng)
        self.joined = False
        self._peers = peers
        self._known = known
        self._seeds = set(seeds)
        self._rng = rng
        self._questions = probes.Questions(
            timing.HELPED_TIMEOUT_S + timing.PROBE_TIMEOUT_S
        )
        self._news = updates.News(members)
        self._started = trio.current_time()
        self._news.add_host(members.own.host_id)
        self._push = trio.Event()
        self._disagreements = 0
        self._last_view_fetch = -timing.VIEW_FETCH_PAUSE_S
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Take part until cancelled."""
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
        """Learn of addresses where peers may listen."""
        self._seeds.update(seeds)

    def spread(self) -> None:
        """Tell a few peers at once what changed here."""
        self._push.set()

    def leave(self) -> None:
        """Announce that this host leaves."""
        self.view.set_own_state(states.HostState.LEAVING)
        self._tell(self.view.own.host_id)

    def stay(self) -> None:
        """Take back that this host leaves."""
        self.view.set_own_state(states.HostState.LIVE)
        self._tell(self.view.own.host_id)

    def note_backend_leaving(self, engine_id: ids.EngineId) -> None:
        """Spread that a backend server said that it leaves."""
        self._take_note(messages.BackendNote(engine_id, 0.0))

    async def _receive_loop(self) -> typing.NoReturn:
        while True:
            source, message = await self._peers.receive()
            if message.sender == self.view.own.host_id:
                self._hear_of_double(message)
                continue
            await self._handle(source, message)

    async def _handle(
        self, source: messages.Address, message: messages.Datagram
    ) -> None:
        for host in message.members:
            self._merge(host)
        for note in message.notes:
            self._take_note(note)
        self.view.note_revision(message.sender, message.configuration)
        self._known.heard(source, message)
        self._check_sender(source, message)
        self._compare_views(source, message)
        match message.kind:
            case messages.DatagramKind.PING:
                await self._answer_ping(source, message)
            case messages.DatagramKind.PING_REQUEST:
                self._start(self._help, source, message)
            case messages.DatagramKind.ACK:
                question = self._questions.answer(message)
                if question:
                    self._known.confirmed(question.sent_at, message)
            case messages.DatagramKind.NEWS:
                pass

    def _check_sender(
        self, source: messages.Address, message: messages.Datagram
    ) -> None:
        """Ask a sender who it is, or tell it that it is held for dead."""
        known = self.view.get(message.sender)
        if known is None or known.incarnation < message.incarnation:
            self._start(self._fetch_view, source)
        elif known.state is states.HostState.DEAD:
            self._news.add_host(known.host_id)

    async def _answer_ping(
        self, source: messages.Address, message: messages.Datagram
    ) -> None:
        # A ping meant for a predecessor on this address is not answered in
        # its name.
        if message.target not in ('', self.view.own.host_id):
            return
        await self._send(
            source,
            messages.DatagramKind.ACK,
            self.view.own.host_id,
            message.sequence,
        )

    async def _help(
        self, source: messages.Address, message: messages.Datagram
    ) -> None:
        target = self.view.get(message.target)
        if target and await self._ask(target, timing.PROBE_TIMEOUT_S):
            await self._send(
                source,
                messages.DatagramKind.ACK,
                target.host_id,
                message.sequence,
            )

    async def _ask(self, target: interface.Host, timeout: float) -> bool:
        sequence, question = self._questions.ask(target.host_id)
        await self._send(
            _address(target),
            messages.DatagramKind.PING,
            target.host_id,
            sequence,
        )
        with trio.move_on_after(timeout):
            await question.answered.wait()
        self._questions.close(sequence)
        return question.answered.is_set()

    async def _probe_loop(self) -> typing.NoReturn:
        turn = 0
        while True:
            await trio.sleep(timing.PERIOD_S * self._rng.uniform(0.9, 1.1))
            target = self.targets.next()
            if target:
                self._start(self._probe, target)
            turn += 1
            if turn % timing.LOST_PROBE_EVERY == 0:
                self._start(self._probe_lost)

    async def _probe(self, target: interface.Host) -> None:
        """Probe a member; suspect it when nobody gets an answer."""
        started = trio.current_time()
        if await self._ask(target, timing.PROBE_TIMEOUT_S):
            return
        sequence, question = self._questions.ask(target.host_id)
        for helper in self.targets.sample(timing.HELPERS, target.host_id):
            await self._send(
                _address(helper),
                messages.DatagramKind.PING_REQUEST,
                target.host_id,
                sequence,
            )
        with trio.move_on_after(timing.HELPED_TIMEOUT_S):
            await question.answered.wait()
        self._questions.close(sequence)
        took = trio.current_time() - started
        paused = (
            took
            > timing.PROBE_TIMEOUT_S + timing.HELPED_TIMEOUT_S + timing.TICK_S
        )
        if not question.answered.is_set() and not paused:
            self._merge(
                dataclasses.replace(target, state=states.HostState.SUSPECT)
            )

    async def _probe_lost(self) -> None:
        """Try a host that is held for dead, and a listed one never heard of.

        The first learns how it is seen and refutes it. So the parts of a
        fleet that was cut find each other again.
        """
        target = self.targets.lost()
        if target:
            self._news.add_host(target.host_id)
            await self._ask(target, timing.PROBE_TIMEOUT_S)
        known = {_address(host) for host in self.view.everyone()}
        strangers = sorted(self._seeds - known)
        if strangers:
            await self._ping_seed(self._rng.choice(strangers))

    async def _suspicion_loop(self) -> typing.NoReturn:
        last = trio.current_time()
        while True:
            await trio.sleep(timing.TICK_S)
            now = trio.current_time()
            if now - last > timing.PAUSE_S:
                self.view.shift_times(now - last)
            last = now
            for host in self.view.suspects_since(now - timing.SUSPICION_S):
                self._merge(
                    dataclasses.replace(host, state=states.HostState.DEAD)
                )
            self.view.forget(now)

    async def _push_loop(self) -> typing.NoReturn:
        allowance = timing.PUSH_BURST
        last = trio.current_time()
        while True:
            await self._push.wait()
            await trio.sleep(timing.COALESCE_S)
            self._push = trio.Event()
            now = trio.current_time()
            allowance = min(
                timing.PUSH_BURST,
                allowance + (now - last) * timing.PUSHES_PER_SECOND,
            )
            last = now
            if allowance < 1:
                await trio.sleep(1 / timing.PUSHES_PER_SECOND)
                self._push.set()
                continue
            allowance -= 1
            for host in self.targets.sample(timing.FANOUT):
                await self._send(
                    _address(host), messages.DatagramKind.NEWS, host.host_id
                )

    async def _join_loop(self) -> typing.NoReturn:
        """Ask seeds for the view until a peer is known."""
        pause = timing.JOIN_PAUSE_S
        while True:
            if not self.targets.sample(1):
                seeds = list(self._seeds - {self._peers.address})
                self._rng.shuffle(seeds)
                for seed in seeds[: timing.JOIN_PEERS]:
                    await self._fetch_view(seed, force=True)
                    await self._ping_seed(seed)
            self.joined = True
            await trio.sleep(self._rng.uniform(0.5, 1.5) * pause)
            pause = min(timing.VIEW_FETCH_PAUSE_S, pause * 1.5)

    async def _ping_seed(self, seed: messages.Address) -> None:
        self._news.add_host(self.view.own.host_id)
        await self._send(seed, messages.DatagramKind.PING, ids.HostId(''))

    async def _fetch_view(
        self, source: messages.Address, force: bool = False
    ) -> None:
        now = trio.current_time()
        if (
            not force
            and now - self._last_view_fetch < timing.VIEW_FETCH_PAUSE_S
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
        """Fetch a peer's view when views go on to differ."""
        if message.view_digest == self.view.digest():
            self._disagreements = 0
            return
        self._disagreements += 1
        if self._disagreements >= timing.DISAGREEMENTS:
            self._disagreements = 0
            self._start(self._fetch_view, source)

    def _merge(self, heard: interface.Host) -> None:
        now = trio.current_time()
        joining = now - self._started < timing.JOIN_S
        merged = self.view.merge(heard, now, joining)
        if merged is view.Merged.OLD:
            return
        if merged is view.Merged.REPLACED:
            logger.error('host %s was replaced by another', heard.host_id)
        CHANGES.inc({'state': heard.state.value})
        self._tell(heard.host_id)

    def _hear_of_double(self, message: messages.Datagram) -> None:
        joining = trio.current_time() - self._started < timing.JOIN_S
        if message.incarnation > self.view.own.incarnation and not joining:
            self.view.replaced = True
            self._known.members_changed()

    def _tell(self, host_id: ids.HostId) -> None:
        self._news.add_host(host_id)
        self._known.members_changed()
        self.spread()

    def _take_note(self, note: messages.BackendNote) -> None:
        if self._known.backend_leaving(note.engine_id, note.age):
            self._news.add_note(note)
            self.spread()

    async def _send(
        self,
        to: messages.Address,
        kind: messages.DatagramKind,
        target: ids.HostId,
        sequence: int = 0,
    ) -> None:
        fleet = len(self.view.everyone())
        message = messages.Datagram(
            kind,
            self.view.own.host_id,
            self.view.own.incarnation,
            sequence,
            target,
            self._known.configuration_revision(),
            self._known.platform_revision(),
            self._known.verified_age(),
            self.view.digest(),
            self._news.take_hosts(fleet),
            self._news.take_notes(fleet),
        )
        await self._peers.send(to, message)

    def _start(
        self,
        task: typing.Callable[..., typing.Awaitable[typing.Any]],
        *args: object,
    ) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(task, *args)


def _address(host: interface.Host) -> messages.Address:
    return messages.Address(host.address, host.peer_port)
