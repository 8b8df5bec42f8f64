"""Selects the addresses that a caller should use."""

import collections.abc
import random

from corianderloft._internal.models import ids
from corianderloft._internal.shared import interface


def choose(
    live: collections.abc.Sequence[interface.Host],
    failure_domain: ids.FailureDomain | None,
    limit: int,
    ttl: float,
    rng: random.Random,
) -> interface.AddressAnswer:
    """Return addresses for a caller, hosts of its failure domain first.

    The hosts within each group are shuffled to distribute callers. Hosts of
    other domains follow in case the caller's own domain fails.

    Parameters
    ----------
    live : sequence of Host
        Live hosts that are not leaving.
    failure_domain : FailureDomain or None
        Failure domain of the caller, if known.
    limit : int
        Maximum number of addresses.
    ttl : float
        How long the caller may cache the result, in seconds.
    rng : random.Random
        Source of the random order.
    """
    hosts = list(live)
    rng.shuffle(hosts)
    hosts.sort(key=lambda host: host.failure_domain != failure_domain)
    local = [h for h in hosts if h.failure_domain == failure_domain]
    if len(local) >= limit and len(local) < len(hosts):
        # Keep one entry for a host of another domain.
        hosts = [*local[: max(1, limit - 1)], *hosts[len(local) :]]
    return interface.AddressAnswer(tuple(hosts[:limit]), ttl)
