"""Assigns a subset of the engines to each host by rendezvous hashing."""

import collections.abc
import heapq

import xxhash

from corianderloft._internal.models import ids


def _score(engine_id: ids.EngineId, host_id: ids.HostId) -> int:
    return xxhash.xxh64_intdigest(f'{engine_id}/{host_id}'.encode())


class Subset:
    """Assigns a fixed number of hosts to each engine.

    Each engine is used by the hosts with the highest scores for it, so
    that the number of hosts per engine stays the same while hosts join and
    leave. When a host leaves, only its engines are reassigned, each to one
    other host. Hosts compute the assignment without coordination.

    Parameters
    ----------
    threshold : int
        Number of engines up to which every host uses all engines.
    hosts_per_engine : int
        Number of hosts per engine above the threshold.
    """

    def __init__(self, threshold: int, hosts_per_engine: int) -> None:
        self._threshold = threshold
        self._hosts_per_engine = hosts_per_engine
        self._hosts: frozenset[ids.HostId] = frozenset()
        self._users_by_engine: dict[
            ids.EngineId, list[tuple[int, ids.HostId]]
        ] = {}

    def hosts_per_engine(self, hosts: int, engines: int) -> int:
        """Return the number of hosts that use one engine."""
        if engines <= self._threshold:
            return max(1, hosts)
        return max(1, min(hosts, self._hosts_per_engine))

    def choose(
        self,
        own_host: ids.HostId,
        hosts: collections.abc.Iterable[ids.HostId],
        engines: collections.abc.Collection[ids.EngineId],
    ) -> set[ids.EngineId]:
        """Return the engines that ``own_host`` uses."""
        if len(engines) <= self._threshold:
            return set(engines)
        self._update(frozenset(hosts) | {own_host}, engines)
        return {
            engine_id
            for engine_id, users in self._users_by_engine.items()
            if any(host == own_host for _, host in users)
        }

    def _update(
        self,
        hosts: frozenset[ids.HostId],
        engines: collections.abc.Collection[ids.EngineId],
    ) -> None:
        """Score only new hosts, new engines and engines that lost a host."""
        joined = hosts - self._hosts
        users = {e: self._users_by_engine.get(e) for e in engines}
        self._users_by_engine = {
            engine_id: self._select_users(engine_id, previous, hosts, joined)
            for engine_id, previous in users.items()
        }
        self._hosts = hosts

    def _select_users(
        self,
        engine_id: ids.EngineId,
        previous: list[tuple[int, ids.HostId]] | None,
        hosts: frozenset[ids.HostId],
        joined: frozenset[ids.HostId],
    ) -> list[tuple[int, ids.HostId]]:
        candidates = joined
        remaining = [entry for entry in previous or () if entry[1] in hosts]
        if previous is None or len(remaining) < len(previous):
            candidates, remaining = hosts, []
        scored = [(_score(engine_id, host), host) for host in candidates]
        return heapq.nlargest(self._hosts_per_engine, remaining + scored)
