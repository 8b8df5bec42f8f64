"""Which addresses a caller is told to use."""

import collections.abc
import random

from corianderloft._internal.models import ids
from corianderloft._internal.shared import interface


def choose(
    live: collections.abc.Sequence[interface.Host],
    failure_domain: ids.FailureDomain | None,
    size: int,
    ttl: float,
    rng: random.Random,
) -> interface.AddressAnswer:
    """Answer a caller: hosts of its failure domain first, both parts mixed.

    Every caller gets the hosts of one part in an order of its own, so that
    callers spread; the hosts of other domains follow for the case that the
    caller's own fails.

    Parameters
    ----------
    live : sequence of Host
        Hosts that are live and not leaving.
    failure_domain : FailureDomain or None
        Where the caller stands, if it said so.
    size : int
        Largest number of addresses.
    ttl : float
        How long the caller may keep the answer, in seconds.
    rng : random.Random
        Source of the order.
    """
    hosts = list(live)
    rng.shuffle(hosts)
    hosts.sort(key=lambda host: host.failure_domain != failure_domain)
    near = [h for h in hosts if h.failure_domain == failure_domain]
    if len(near) >= size and len(near) < len(hosts):
        # One place is kept for another domain.
        hosts = [*near[: max(1, size - 1)], *hosts[len(near) :]]
    return interface.AddressAnswer(tuple(hosts[:size]), ttl)
