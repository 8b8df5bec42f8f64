"""Subsets of many engines for many hosts, by rendezvous hashing."""

import collections.abc
import heapq

import xxhash

from corianderloft._internal.models import ids


def _score(engine_id: ids.EngineId, host_id: ids.HostId) -> int:
    return xxhash.xxh64_intdigest(f'{engine_id}/{host_id}'.encode())


class Subset:
    """Lets each engine be used by a fixed number of hosts.

    Each engine takes the hosts of the highest scores, so that all engines
    are covered alike whatever hosts come and go, and a host that leaves
    moves only the engines that it used, one other host each. No host needs
    to know what another chose.

    Parameters
    ----------
    above : int
        Number of engines up to which every host uses all.
    hosts_per_engine : int
        Hosts that use one engine otherwise.
    """

    def __init__(self, above: int, hosts_per_engine: int) -> None:
        self._above = above
        self._hosts_per_engine = hosts_per_engine
        self._hosts: frozenset[ids.HostId] = frozenset()
        self._takers: dict[ids.EngineId, list[tuple[int, ids.HostId]]] = {}

    def hosts_per_engine(self, hosts: int, engines: int) -> int:
        """Return how many hosts use one engine."""
        if engines <= self._above:
            return max(1, hosts)
        return max(1, min(hosts, self._hosts_per_engine))

    def choose(
        self,
        own: ids.HostId,
        hosts: collections.abc.Iterable[ids.HostId],
        engines: collections.abc.Collection[ids.EngineId],
    ) -> set[ids.EngineId]:
        """Return the engines that host ``own`` uses."""
        if len(engines) <= self._above:
            return set(engines)
        self._update(frozenset(hosts) | {own}, engines)
        return {
            engine_id
            for engine_id, takers in self._takers.items()
            if any(host == own for _, host in takers)
        }

    def _update(
        self,
        hosts: frozenset[ids.HostId],
        engines: collections.abc.Collection[ids.EngineId],
    ) -> None:
        """Score only what changed: new hosts, new engines, lost takers."""
        joined = hosts - self._hosts
        takers = {e: self._takers.get(e) for e in engines}
        self._takers = {
            engine_id: self._updated(engine_id, known, hosts, joined)
            for engine_id, known in takers.items()
        }
        self._hosts = hosts

    def _updated(
        self,
        engine_id: ids.EngineId,
        known: list[tuple[int, ids.HostId]] | None,
        hosts: frozenset[ids.HostId],
        joined: frozenset[ids.HostId],
    ) -> list[tuple[int, ids.HostId]]:
        candidates = joined
        kept = [entry for entry in known or () if entry[1] in hosts]
        if known is None or len(kept) < len(known):
            candidates, kept = hosts, []
        scored = [(_score(engine_id, host), host) for host in candidates]
        return heapq.nlargest(self._hosts_per_engine, kept + scored)
