"""Groups of entry hosts, alike on all hosts without a word."""

import collections
import collections.abc
import dataclasses
import math

from corianderloft._internal.models import members
from corianderloft._internal.placement import hashing

TARGET_GROUP_SIZE = 8
"""Hosts of a group: each tells the others directly."""

MAX_SINGLE_GROUP_HOSTS = 12
"""Hosts of a fleet that still is one group."""


@dataclasses.dataclass(frozen=True)
class GroupAssignment:
    """Where a host stands among the others.

    Attributes
    ----------
    group : tuple of Member
        The others of its group.
    delegates : tuple of Member
        The delegates of the other groups.
    is_delegate : bool
        Whether it speaks for its group; never in a fleet of one group.
    delegate : Member or None
        Who speaks for its group, if another host does.
    """

    group: tuple[members.Member, ...]
    delegates: tuple[members.Member, ...]
    is_delegate: bool
    delegate: members.Member | None = None


def assign(
    own: members.Member, fleet: collections.abc.Sequence[members.Member]
) -> GroupAssignment:
    """Return the place of a host in a fleet.

    Hosts of a failure domain are grouped together, as bytes between failure
    domains cost more.
    """
    grouped = _grouped(fleet)
    own_name = _group_of(own, fleet)
    group = grouped.get(own_name, [own])
    others = [m for m in group if m.host_id != own.host_id]
    delegates = [
        found[0] for name, found in grouped.items() if name != own_name
    ]
    is_delegate = bool(delegates) and group[0].host_id == own.host_id
    return GroupAssignment(
        tuple(others),
        tuple(delegates) if is_delegate else (),
        is_delegate,
        group[0] if delegates and not is_delegate else None,
    )


_GroupName = tuple[str, int]


def _grouped(
    fleet: collections.abc.Sequence[members.Member],
) -> dict[_GroupName, list[members.Member]]:
    """Return the groups, the delegate of each first."""
    grouped: dict[_GroupName, list[members.Member]] = {}
    for member in hashing.ranked('delegate', fleet, lambda m: m.host_id):
        grouped.setdefault(_group_of(member, fleet), []).append(member)
    return grouped


def _group_of(
    member: members.Member, fleet: collections.abc.Sequence[members.Member]
) -> _GroupName:
    if len(fleet) <= MAX_SINGLE_GROUP_HOSTS:
        return ('', 0)
    sizes = collections.Counter(m.failure_domain for m in fleet)
    count = math.ceil(sizes[member.failure_domain] / TARGET_GROUP_SIZE)
    number = hashing.weight('group', member.host_id) % max(1, count)
    return (member.failure_domain, number)
