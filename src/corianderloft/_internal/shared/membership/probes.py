"""Whom to probe next, and questions that wait for an answer."""

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
class Question:
    """A ping that waits for its answer.

    Attributes
    ----------
    target : HostId
        Who must answer.
    sent_at : float
        When it was sent, on trio's clock, in seconds.
    answered : trio.Event
        Set by the answer.
    """

    target: ids.HostId
    sent_at: float
    answered: trio.Event = dataclasses.field(default_factory=trio.Event)


class Questions:
    """Questions by sequence number; an answer counts once and in time.

    Parameters
    ----------
    life : float
        An answer later than this is ignored, in seconds: it says nothing
        about now, for this host may have been paused in between.
    """

    def __init__(self, life: float) -> None:
        self._life = life
        self._open: dict[int, Question] = {}
        self._numbers = itertools.count(1)

    def ask(self, target: ids.HostId) -> tuple[int, Question]:
        """Open a question."""
        sequence = next(self._numbers) % 2**32
        question = Question(target, trio.current_time())
        self._open[sequence] = question
        return sequence, question

    def close(self, sequence: int) -> None:
        """Stop waiting for an answer."""
        self._open.pop(sequence, None)

    def answer(self, message: messages.Datagram) -> Question | None:
        """Return the question that a message answers, or None."""
        question = self._open.get(message.sequence)
        if question is None or question.target != message.target:
            return None
        if trio.current_time() - question.sent_at > self._life:
            return None
        question.answered.set()
        return question


class Targets:
    """Chooses whom to probe.

    Every other probe goes to the next member on a ring of hashed ids, so
    that each host is probed at a steady pace; the rest go to members chosen
    at random, which spreads news fast.

    Parameters
    ----------
    members : View
        The view of this host.
    rng : random.Random
        Source of the random choices.
    """

    def __init__(self, members: view.View, rng: random.Random) -> None:
        self._view = members
        self._rng = rng
        self._own_place = _place(members.own.host_id)
        self._turn = 0

    def next(self) -> interface.Host | None:
        """Return the member to probe now, or None when there is none."""
        candidates = list(
            self._view.others(states.HostState.LIVE, states.HostState.LEAVING)
        )
        if not candidates:
            return None
        self._turn += 1
        if self._turn % 2:
            return min(candidates, key=self._distance)
        return self._rng.choice(candidates)

    def lost(self) -> interface.Host | None:
        """Return a member that may have come back, or None."""
        candidates = list(
            self._view.others(states.HostState.DEAD, states.HostState.SUSPECT)
        )
        return self._rng.choice(candidates) if candidates else None

    def sample(self, count: int, *without: ids.HostId) -> list[interface.Host]:
        """Return up to ``count`` members that are reachable, at random."""
        candidates = [
            host
            for host in self._view.others(
                states.HostState.LIVE, states.HostState.LEAVING
            )
            if host.host_id not in without
        ]
        return self._rng.sample(candidates, min(count, len(candidates)))

    def _distance(self, host: interface.Host) -> int:
        return (_place(host.host_id) - self._own_place) % 2**64


def _place(host_id: ids.HostId) -> int:
    return xxhash.xxh64_intdigest(host_id.encode())
