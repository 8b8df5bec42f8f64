"""One host's view of the members of the fleet."""

import collections.abc
import dataclasses
import enum

import xxhash

from corianderloft._internal.models import ids
from corianderloft._internal.models import states
from corianderloft._internal.shared import interface

FORGET_AFTER_S = 3600.0
_PRECEDENCE = {
    states.HostState.LIVE: 0,
    states.HostState.LEAVING: 1,
    states.HostState.SUSPECT: 2,
    states.HostState.DEAD: 3,
}


class Merged(enum.Enum):
    """What became of news about a member."""

    OLD = 'old'
    CHANGED = 'changed'
    REFUTED = 'refuted'
    REPLACED = 'replaced'


@dataclasses.dataclass
class Member:
    """A member and when its state last changed, on trio's clock."""

    host: interface.Host
    changed_at: float


class View:
    """Members by id, this host included.

    News of a larger incarnation wins; within one incarnation the state of
    the higher precedence wins. So late and repeated messages change nothing.

    Parameters
    ----------
    own : Host
        This host.
    """

    def __init__(self, own: interface.Host) -> None:
        self.own = own
        self.replaced = False
        self._members: dict[ids.HostId, Member] = {}
        self._digest: int | None = None

    def merge(
        self, news: interface.Host, now: float, joining: bool = False
    ) -> Merged:
        """Take in news about a member.

        Parameters
        ----------
        news : Host
            What was heard.
        now : float
            Time on trio's clock in seconds.
        joining : bool
            Whether this host has just started, so that a larger incarnation
            under its own id belongs to a predecessor.
        """
        if news.host_id == self.own.host_id:
            return self._merge_own(news, joining)
        known = self._members.get(news.host_id)
        if known and not _is_newer(news, known.host):
            return Merged.OLD
        self._members[news.host_id] = Member(news, now)
        self._digest = None
        return Merged.CHANGED

    def set_own_state(self, state: states.HostState) -> None:
        """Give this host a state that outlives what was said before."""
        self.own = dataclasses.replace(
            self.own,
            state=state,
            incarnation=ids.Incarnation(self.own.incarnation + 1),
        )
        self._digest = None

    def note_revision(
        self, host_id: ids.HostId, revision: ids.Revision
    ) -> None:
        """Note which configuration another member said to have in force."""
        member = self._members.get(host_id)
        if member is not None and member.host.revision < revision:
            member.host = dataclasses.replace(member.host, revision=revision)

    def get(self, host_id: ids.HostId) -> interface.Host | None:
        """Return one other member, or None."""
        member = self._members.get(host_id)
        return member.host if member else None

    def others(
        self, *wanted: states.HostState
    ) -> collections.abc.Iterator[interface.Host]:
        """Iterate over the other members in the given states."""
        return (
            member.host
            for member in self._members.values()
            if member.host.state in wanted
        )

    def everyone(self) -> tuple[interface.Host, ...]:
        """Return all members, this host included."""
        return (self.own, *(m.host for m in self._members.values()))

    def suspects_since(self, before: float) -> tuple[interface.Host, ...]:
        """Return members that have been suspect since ``before``."""
        return tuple(
            member.host
            for member in self._members.values()
            if member.host.state is states.HostState.SUSPECT
            and member.changed_at <= before
        )

    def shift_times(self, gap: float) -> None:
        """Move all times by the seconds that this host did not run."""
        for member in self._members.values():
            member.changed_at += gap

    def forget(self, now: float) -> None:
        """Drop members that have been dead for long."""
        gone = [
            host_id
            for host_id, member in self._members.items()
            if member.host.state is states.HostState.DEAD
            and member.changed_at < now - FORGET_AFTER_S
        ]
        for host_id in gone:
            del self._members[host_id]

    def digest(self) -> int:
        """Return a hash that is equal for equal views of the live."""
        if self._digest is None:
            alive = sorted(
                f'{host.host_id}/{host.incarnation}/{host.state.value}'
                for host in self.everyone()
                if host.state is not states.HostState.DEAD
            )
            self._digest = xxhash.xxh64_intdigest('\n'.join(alive).encode())
        return self._digest

    def _merge_own(self, news: interface.Host, joining: bool) -> Merged:
        own = self.own
        if not _is_newer(news, own):
            return Merged.OLD
        elsewhere = (news.address, news.peer_port) != (
            own.address,
            own.peer_port,
        )
        successor = news.incarnation > own.incarnation and elsewhere
        if successor and not joining:
            self.replaced = True
            return Merged.REPLACED
        self.own = dataclasses.replace(
            own, incarnation=ids.Incarnation(news.incarnation + 1)
        )
        self._digest = None
        return Merged.REFUTED


def _is_newer(news: interface.Host, known: interface.Host) -> bool:
    return (news.incarnation, _PRECEDENCE[news.state]) > (
        known.incarnation,
        _PRECEDENCE[known.state],
    )
