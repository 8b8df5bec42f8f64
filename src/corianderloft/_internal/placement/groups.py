"""Groups of entry hosts, computed identically on every host."""

import collections
import collections.abc
import dataclasses
import math

from corianderloft._internal.models import members
from corianderloft._internal.placement import hashing

TARGET_GROUP_SIZE = 8
"""Mean number of hosts in a group; the hosts of a group send to each other
directly."""

MAX_SINGLE_GROUP_HOSTS = 12
"""Largest fleet that forms a single group."""


@dataclasses.dataclass(frozen=True)
class GroupAssignment:
    """Group of a host, and the hosts that it exchanges messages with.

    Attributes
    ----------
    group : tuple of Member
        The other members of its group.
    delegates : tuple of Member
        Delegates of the other groups; empty unless this host is a delegate.
    is_delegate : bool
        Whether it represents its group; always false in a single group.
    delegate : Member or None
        Delegate of its group, if that is another host.
    """

    group: tuple[members.Member, ...]
    delegates: tuple[members.Member, ...]
    is_delegate: bool
    delegate: members.Member | None = None


def assign(
    own: members.Member, fleet: collections.abc.Sequence[members.Member]
) -> GroupAssignment:
    """Return the group assignment of a host in a fleet.

    In fleets of several groups, a group lies within one failure domain, since
    traffic between failure domains costs more.
    """
    grouped = _grouped(fleet)
    own_key = _group_of(own, fleet)
    group = grouped.get(own_key, [own])
    others = [m for m in group if m.host_id != own.host_id]
    delegates = [found[0] for key, found in grouped.items() if key != own_key]
    is_delegate = bool(delegates) and group[0].host_id == own.host_id
    return GroupAssignment(
        tuple(others),
        tuple(delegates) if is_delegate else (),
        is_delegate,
        group[0] if delegates and not is_delegate else None,
    )


_GroupKey = tuple[str, int]


def _grouped(
    fleet: collections.abc.Sequence[members.Member],
) -> dict[_GroupKey, list[members.Member]]:
    """Return the members by group, the delegate of each group first."""
    grouped: dict[_GroupKey, list[members.Member]] = {}
    for member in hashing.ranked('delegate', fleet, lambda m: m.host_id):
        grouped.setdefault(_group_of(member, fleet), []).append(member)
    return grouped


def _group_of(
    member: members.Member, fleet: collections.abc.Sequence[members.Member]
) -> _GroupKey:
    if len(fleet) <= MAX_SINGLE_GROUP_HOSTS:
        return ('', 0)
    sizes = collections.Counter(m.failure_domain for m in fleet)
    count = math.ceil(sizes[member.failure_domain] / TARGET_GROUP_SIZE)
    number = hashing.weight('group', member.host_id) % max(1, count)
    return (member.failure_domain, number)
