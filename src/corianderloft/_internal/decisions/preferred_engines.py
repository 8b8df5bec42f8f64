"""Which engines a host prefers, so that few hosts meet on each engine."""

import collections.abc

from corianderloft._internal.models import ids


def home_shares(
    own: ids.HostId,
    hosts: collections.abc.Collection[ids.HostId],
    engines: collections.abc.Collection[ids.EngineId],
) -> dict[ids.EngineId, float]:
    """Return the part of each engine that is home to a host.

    Hosts and engines, each in order, are laid along one line of the same
    length; a host's home is what its part of the line covers. Parts of all
    hosts add up to 1 for each engine, and all hosts have equally much.

    Parameters
    ----------
    own : HostId
        The host.
    hosts : collection of HostId
        All live hosts, ``own`` included.
    engines : collection of EngineId
        All live engines of a service.

    Returns
    -------
    dict of EngineId to float
        Parts above 0, of an engine each.
    """
    ordered = sorted({*hosts, own})
    width = len(engines) / len(ordered)
    low = ordered.index(own) * width
    high = low + width
    covered = {
        engine_id: min(high, place + 1) - max(low, place)
        for place, engine_id in enumerate(sorted(engines))
    }
    return {e: part for e, part in covered.items() if part > 1e-9}
