"""One host's view of the fleet's members."""

import collections.abc
import dataclasses
import enum

import xxhash

from corianderloft._internal.models import ids
from corianderloft._internal.models import states
from corianderloft._internal.shared import interface

DEAD_RETENTION_S = 3600.0
_PRECEDENCE = {
    states.HostState.LIVE: 0,
    states.HostState.LEAVING: 1,
    states.HostState.SUSPECT: 2,
    states.HostState.DEAD: 3,
}


class MergeResult(enum.Enum):
    """Result of merging an update about a member."""

    OLD = 'old'
    CHANGED = 'changed'
    REFUTED = 'refuted'
    REPLACED = 'replaced'


@dataclasses.dataclass
class Member:
    """A member and the time of its last state change, on trio's clock."""

    host: interface.Host
    changed_at: float


class View:
    """Members by id, including this host.

    The update with the larger incarnation wins; within one incarnation, the
    state with the higher precedence wins. Late and duplicate messages
    therefore change nothing.

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
        self, update: interface.Host, now: float, joining: bool = False
    ) -> MergeResult:
        """Merge an update about a member.

        Parameters
        ----------
        update : Host
            Received state of the member.
        now : float
            Current time on trio's clock, in seconds.
        joining : bool
            Whether this host has just started, so that a larger incarnation
            with its own id belongs to a predecessor.
        """
        if update.host_id == self.own.host_id:
            return self._merge_own(update, joining)
        known = self._members.get(update.host_id)
        if known and not _is_newer(update, known.host):
            return MergeResult.OLD
        self._members[update.host_id] = Member(update, now)
        self._digest = None
        return MergeResult.CHANGED

    def set_own_state(self, state: states.HostState) -> None:
        """Set the state of this host and increment its incarnation."""
        self.own = dataclasses.replace(
            self.own,
            state=state,
            incarnation=ids.Incarnation(self.own.incarnation + 1),
        )
        self._digest = None

    def note_revision(
        self, host_id: ids.HostId, revision: ids.Revision
    ) -> None:
        """Record the configuration that another member has applied."""
        member = self._members.get(host_id)
        if member is not None and member.host.revision < revision:
            member.host = dataclasses.replace(member.host, revision=revision)

    def get(self, host_id: ids.HostId) -> interface.Host | None:
        """Return another member by id, or None."""
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

    def all_members(self) -> tuple[interface.Host, ...]:
        """Return all members, including this host."""
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
        """Shift all times by ``gap`` seconds in which this host was paused."""
        for member in self._members.values():
            member.changed_at += gap

    def remove_expired(self, now: float) -> None:
        """Remove members that have been dead for `DEAD_RETENTION_S`."""
        expired = [
            host_id
            for host_id, member in self._members.items()
            if member.host.state is states.HostState.DEAD
            and member.changed_at < now - DEAD_RETENTION_S
        ]
        for host_id in expired:
            del self._members[host_id]

    def digest(self) -> int:
        """Return a hash of all members that are not dead."""
        if self._digest is None:
            not_dead = sorted(
                f'{host.host_id}/{host.incarnation}/{host.state.value}'
                for host in self.all_members()
                if host.state is not states.HostState.DEAD
            )
            self._digest = xxhash.xxh64_intdigest('\n'.join(not_dead).encode())
        return self._digest

    def _merge_own(self, update: interface.Host, joining: bool) -> MergeResult:
        own = self.own
        if not _is_newer(update, own):
            return MergeResult.OLD
        other_address = (update.address, update.peer_port) != (
            own.address,
            own.peer_port,
        )
        successor = update.incarnation > own.incarnation and other_address
        if successor and not joining:
            self.replaced = True
            return MergeResult.REPLACED
        self.own = dataclasses.replace(
            own, incarnation=ids.Incarnation(update.incarnation + 1)
        )
        self._digest = None
        return MergeResult.REFUTED


def _is_newer(update: interface.Host, known: interface.Host) -> bool:
    return (update.incarnation, _PRECEDENCE[update.state]) > (
        known.incarnation,
        _PRECEDENCE[known.state],
    )
