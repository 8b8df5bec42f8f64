"""Groups of entry hosts, computed identically on every host."""

import collections.abc
import dataclasses
import itertools
import math

from corianderloft._internal.models import ids
from corianderloft._internal.models import members
from corianderloft._internal.placement import hashing

TARGET_GROUP_SIZE = 8
"""Mean number of hosts in a group; the hosts of a group send to each other
directly."""

MAX_SINGLE_GROUP_HOSTS = 12
"""Largest fleet that forms a single group."""


MAX_SUCCESSORS = 2
"""Hosts that a host may follow while its delegate fails."""


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
    successors : tuple of Member
        Delegates of other groups that it may follow instead, those of its
        failure domain first; empty unless it has a delegate.
    """

    group: tuple[members.Member, ...]
    delegates: tuple[members.Member, ...]
    is_delegate: bool
    delegate: members.Member | None = None
    successors: tuple[members.Member, ...] = ()


def assign(
    own: members.Member, fleet: collections.abc.Sequence[members.Member]
) -> GroupAssignment:
    """Return the group assignment of a host in a fleet.

    In fleets of several groups, a group lies within one failure domain, since
    traffic between failure domains costs more.
    """
    if len(fleet) <= MAX_SINGLE_GROUP_HOSTS:
        others = [m for m in _ranked(fleet) if m.host_id != own.host_id]
        return GroupAssignment(tuple(others), (), False)
    delegates = _delegates(fleet)
    own_delegate, group = _own_group(own, fleet, delegates)
    others = [member for member in group if member.host_id != own.host_id]
    other_delegates = [
        member
        for member in itertools.chain.from_iterable(delegates.values())
        if member.host_id != own_delegate.host_id
    ]
    if own_delegate.host_id == own.host_id:
        # Without another group there is nobody to represent it to.
        return GroupAssignment(
            tuple(others), tuple(other_delegates), bool(other_delegates)
        )
    if not other_delegates:
        return GroupAssignment(tuple(others), (), False)
    successors = sorted(
        hashing.ranked(own.host_id, other_delegates, lambda m: m.host_id),
        key=lambda m: m.failure_domain != own.failure_domain,
    )
    return GroupAssignment(
        tuple(others),
        (),
        False,
        own_delegate,
        tuple(successors[:MAX_SUCCESSORS]),
    )


_Delegates = dict[ids.FailureDomain, list[members.Member]]


def _ranked(
    fleet: collections.abc.Iterable[members.Member],
) -> list[members.Member]:
    return hashing.ranked('delegate', fleet, lambda m: m.host_id)


def _delegates(
    fleet: collections.abc.Sequence[members.Member],
) -> _Delegates:
    """Return the delegates of each failure domain.

    They are the hosts with the widest links: a delegate receives what it
    passes on from the store, which sends everything without compression.
    """
    by_domain: _Delegates = {}
    for member in sorted(_ranked(fleet), key=lambda m: -m.link_kbps):
        by_domain.setdefault(member.failure_domain, []).append(member)
    return {
        domain: hosts[: math.ceil(len(hosts) / TARGET_GROUP_SIZE)]
        for domain, hosts in by_domain.items()
    }


def _own_group(
    own: members.Member,
    fleet: collections.abc.Sequence[members.Member],
    delegates: _Delegates,
) -> tuple[members.Member, list[members.Member]]:
    """Return the delegate of a host, and its group with the delegate first.

    The groups of a failure domain are of the same size, and a host that
    leaves moves few of the others.
    """
    own_delegates = delegates.get(own.failure_domain, [own])
    domain = {
        m.host_id: m for m in fleet if m.failure_domain == own.failure_domain
    }
    domain.setdefault(own.host_id, own)
    capacity = math.ceil(len(domain) / len(own_delegates))
    groups = {delegate.host_id: [delegate] for delegate in own_delegates}
    for member in _ranked(domain.values()):
        if member.host_id in groups:
            continue
        delegate_id = min(
            (found for found in groups if len(groups[found]) < capacity),
            key=lambda found: hashing.weight(found, member.host_id),
        )
        groups[delegate_id].append(member)
    group = next(
        group
        for group in groups.values()
        if any(member.host_id == own.host_id for member in group)
    )
    return group[0], group
