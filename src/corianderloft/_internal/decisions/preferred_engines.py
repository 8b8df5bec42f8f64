"""Preferred engines of each host, so that few hosts share an engine."""

import collections.abc

from corianderloft._internal.models import ids


def preferred_fractions(
    own_host: ids.HostId,
    hosts: collections.abc.Collection[ids.HostId],
    engines: collections.abc.Collection[ids.EngineId],
) -> dict[ids.EngineId, float]:
    """Return the fraction of each engine that is assigned to a host.

    Sorted engines form intervals of length 1 on a line, which is split into
    equal intervals for the sorted hosts. A host is assigned the overlap of
    its interval with each engine. The fractions of each engine add up to 1
    over all hosts, and all hosts have the same total.

    Parameters
    ----------
    own_host : HostId
        The host.
    hosts : collection of HostId
        All live hosts, including ``own_host``.
    engines : collection of EngineId
        All live engines of a service.

    Returns
    -------
    dict of EngineId to float
        Fractions above 0, by engine.
    """
    ordered = sorted({*hosts, own_host})
    interval_length = len(engines) / len(ordered)
    start = ordered.index(own_host) * interval_length
    end = start + interval_length
    covered = {
        engine_id: min(end, position + 1) - max(start, position)
        for position, engine_id in enumerate(sorted(engines))
    }
    return {e: fraction for e, fraction in covered.items() if fraction > 1e-9}
