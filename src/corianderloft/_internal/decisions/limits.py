"""Limits of workspaces that hold across hosts."""

import collections.abc
import dataclasses
import math

from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids

_BURST = 2.0
"""Seconds of its rate that a workspace may use at once."""

_DEMAND_MEMORY = 5.0
"""Time constant of observed demand, in seconds."""

_DIGEST_LIFE = 10.0
"""How long what a peer told of its demand counts, in seconds."""

_LEAST_SHARE = 0.25
"""Part of the even share that a host keeps whatever its peers demand."""


@dataclasses.dataclass
class _Bucket:
    """Tokens of one rate; starts full."""

    level: float = math.inf
    updated: float = 0.0

    def refill(self, rate: float, now: float) -> None:
        most = max(1.0, rate * _BURST)
        gained = rate * (now - self.updated)
        self.level = min(most, self.level + gained)
        self.updated = now

    def wait(self, amount: float, rate: float) -> float:
        """Return seconds until ``amount`` may be taken; 0 when it may."""
        if self.level >= min(amount, max(1.0, rate * _BURST)):
            return 0.0
        return (amount - self.level) / rate if rate > 0 else math.inf


@dataclasses.dataclass
class _Usage:
    """What one workspace does on this host."""

    requests: _Bucket = dataclasses.field(default_factory=_Bucket)
    tokens: _Bucket = dataclasses.field(default_factory=_Bucket)
    demand: float = 0.0
    demand_at: float = 0.0

    def seen(self, now: float) -> float:
        """Return requests a second, of late."""
        age = now - self.demand_at
        return self.demand * math.exp(-age / _DEMAND_MEMORY) / _DEMAND_MEMORY

    def count(self, now: float) -> None:
        """Note one request."""
        self.demand = self.seen(now) * _DEMAND_MEMORY + 1
        self.demand_at = now


class Limits:
    """Splits each workspace's limit over the live hosts.

    A host has the even share. What peers tell of their demand, when they
    do, corrects it: shares follow demand, and those of all hosts that heard
    the same add up to the limit.
    """

    def __init__(self) -> None:
        self._limits: dict[ids.WorkspaceId, catalog.WorkspaceLimits] = {}
        self._usage: dict[ids.WorkspaceId, _Usage] = {}
        self._own = ids.HostId('')
        self._hosts: tuple[ids.HostId, ...] = ()
        self._peers: dict[
            ids.HostId, tuple[float, dict[ids.WorkspaceId, float]]
        ] = {}

    def use_catalog(self, current: catalog.Catalog) -> None:
        """Replace the limits; usage is kept."""
        self._limits = {
            w.workspace_id: w.limits
            for w in current.limited_workspaces()
            if w.limits.requests_per_second is not None
            or w.limits.tokens_per_second is not None
        }
        self._usage = {
            key: usage
            for key, usage in self._usage.items()
            if key in self._limits
        }

    def use_hosts(
        self, own: ids.HostId, live: collections.abc.Iterable[ids.HostId]
    ) -> None:
        """Replace the live hosts, this one included."""
        self._own = own
        self._hosts = tuple(live)

    def use_peer_demand(
        self,
        host: ids.HostId,
        demand: collections.abc.Mapping[ids.WorkspaceId, float],
        now: float,
    ) -> None:
        """Take in what a peer sees of limited workspaces."""
        self._peers[host] = (now, dict(demand))

    def own_demand(self, now: float) -> dict[ids.WorkspaceId, float]:
        """Return requests a second of limited workspaces, for the peers."""
        return {key: usage.seen(now) for key, usage in self._usage.items()}

    def wait(
        self, workspace: ids.WorkspaceId, cost: float, now: float
    ) -> float:
        """Charge a request, or return when to come back.

        Parameters
        ----------
        workspace : WorkspaceId
            Who sends it.
        cost : float
            Estimated work, in tokens.
        now : float
            Current time.

        Returns
        -------
        float
            0 when it was charged and may go on; else seconds to wait.
        """
        limits = self._limits.get(workspace)
        if limits is None:
            return 0.0
        usage = self._usage.setdefault(workspace, _Usage())
        usage.count(now)
        share = self._share(workspace, usage, now)
        charges = [
            (bucket, amount, rate * share)
            for bucket, amount, rate in (
                (usage.requests, 1.0, limits.requests_per_second),
                (usage.tokens, cost, limits.tokens_per_second),
            )
            if rate is not None
        ]
        for bucket, _, rate in charges:
            bucket.refill(rate, now)
        wait = max(b.wait(amount, rate) for b, amount, rate in charges)
        if wait > 0:
            return wait
        for bucket, amount, _ in charges:
            bucket.level -= amount
        return 0.0

    def _share(
        self, workspace: ids.WorkspaceId, usage: _Usage, now: float
    ) -> float:
        even = 1 / max(1, len(self._hosts))
        peers = [host for host in self._hosts if host != self._own]
        heard = [self._peers[host] for host in peers if host in self._peers]
        fresh = [d for at, d in heard if now - at <= _DIGEST_LIFE]
        if not peers or len(fresh) < len(peers):
            return even
        own = usage.seen(now)
        total = own + sum(d.get(workspace, 0.0) for d in fresh)
        if total <= 0:
            return even
        return even * _LEAST_SHARE + (1 - _LEAST_SHARE) * own / total
