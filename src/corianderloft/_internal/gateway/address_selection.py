"""Selects the hosts that callers of one failure domain should use."""

import collections.abc
import itertools

from corianderloft._internal.models import ids
from corianderloft._internal.models import members
from corianderloft._internal.placement import hashing


def select(
    current: collections.abc.Sequence[members.Member],
    domain: ids.FailureDomain | None,
    limit: int,
) -> list[members.Member]:
    """Return the hosts to list, at most ``limit``.

    A fleet has more hosts than a list may have addresses. The hosts of the
    caller's failure domain come first. The rest are taken in an order of its
    own for each failure domain, so that all hosts are listed somewhere and
    every host gives the same answer: callers close their connections to hosts
    that a new list lacks.

    Parameters
    ----------
    current : sequence of Member
        Hosts that hold a lease.
    domain : FailureDomain or None
        Failure domain of the caller; None if it is unknown.
    limit : int
        Maximum length of the list.
    """
    if len(current) <= limit:
        return list(current)
    key = f'addresses of {domain}'
    ranked = hashing.ranked(key, current, lambda member: member.host_id)
    local = (m for m in ranked if m.failure_domain == domain)
    remote = (m for m in ranked if m.failure_domain != domain)
    return list(itertools.islice(itertools.chain(local, remote), limit))
