"""Selects the members to probe and tracks the probes in flight."""

import dataclasses
import itertools
import random

import trio
import xxhash

from corianderloft._internal.models import ids
from corianderloft._internal.models import states
from corianderloft._internal.shared import interface
from corianderloft._internal.shared.membership import view
from corianderloft._internal.shared.peers import messages


@dataclasses.dataclass(eq=False)
class PendingProbe:
    """A ping that waits for its ack.

    Attributes
    ----------
    target : HostId
        Host that must send the ack.
    sent_at : float
        When the ping was sent, on trio's clock, in seconds.
    acked : trio.Event
        Set when the ack arrives.
    """

    target: ids.HostId
    sent_at: float
    acked: trio.Event = dataclasses.field(default_factory=trio.Event)


class PendingProbes:
    """Probes in flight by sequence number.

    Parameters
    ----------
    max_age : float
        Age in seconds above which the ack of a probe is ignored. A late ack
        says nothing about the present state of the target, because this host
        may have been paused in between.
    """

    def __init__(self, max_age: float) -> None:
        self._max_age = max_age
        self._pending: dict[int, PendingProbe] = {}
        self._sequence = itertools.count(1)

    def add(self, target: ids.HostId) -> tuple[int, PendingProbe]:
        """Add a probe; return its sequence number and the probe."""
        sequence = next(self._sequence) % 2**32
        probe = PendingProbe(target, trio.current_time())
        self._pending[sequence] = probe
        return sequence, probe

    def remove(self, sequence: int) -> None:
        """Stop waiting for the ack of a probe."""
        self._pending.pop(sequence, None)

    def match_ack(self, message: messages.Datagram) -> PendingProbe | None:
        """Return the probe that an ack belongs to, or None."""
        probe = self._pending.get(message.sequence)
        if probe is None or probe.target != message.target:
            return None
        if trio.current_time() - probe.sent_at > self._max_age:
            return None
        probe.acked.set()
        return probe


class ProbeTargets:
    """Selects the members to probe.

    Every other probe goes to the next member on a ring of hashed ids, so
    that each host is probed at a steady rate. The others go to random
    members, which distributes updates quickly.

    Parameters
    ----------
    members : View
        This host's view of the members.
    rng : random.Random
        Source of random choices.
    """

    def __init__(self, members: view.View, rng: random.Random) -> None:
        self._view = members
        self._rng = rng
        self._own_position = _ring_position(members.own.host_id)
        self._probe_count = 0

    def next(self) -> interface.Host | None:
        """Return the member to probe next, or None if there is none."""
        candidates = list(
            self._view.others(states.HostState.LIVE, states.HostState.LEAVING)
        )
        if not candidates:
            return None
        self._probe_count += 1
        if self._probe_count % 2:
            return min(candidates, key=self._distance)
        return self._rng.choice(candidates)

    def unreachable(self) -> interface.Host | None:
        """Return a random suspect or dead member, or None."""
        candidates = list(
            self._view.others(states.HostState.DEAD, states.HostState.SUSPECT)
        )
        return self._rng.choice(candidates) if candidates else None

    def sample(self, count: int, *exclude: ids.HostId) -> list[interface.Host]:
        """Return up to ``count`` random members that are reachable."""
        candidates = [
            host
            for host in self._view.others(
                states.HostState.LIVE, states.HostState.LEAVING
            )
            if host.host_id not in exclude
        ]
        return self._rng.sample(candidates, min(count, len(candidates)))

    def _distance(self, host: interface.Host) -> int:
        return (_ring_position(host.host_id) - self._own_position) % 2**64


def _ring_position(host_id: ids.HostId) -> int:
    return xxhash.xxh64_intdigest(host_id.encode())
