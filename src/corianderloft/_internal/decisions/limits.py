"""Rate limits of workspaces, split across entry hosts."""

import collections.abc
import dataclasses
import math

from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids

_BURST_S = 2.0
"""Burst size of a workspace, in seconds at its rate."""

_DEMAND_TIME_CONSTANT_S = 5.0
"""Time constant of observed demand, in seconds."""

_PEER_DEMAND_TTL_S = 10.0
"""Time for which a demand report of a peer is valid, in seconds."""

_MIN_SHARE_RATIO = 0.25
"""Fraction of the even share that a host keeps at any demand of peers."""


@dataclasses.dataclass
class _Bucket:
    """Token bucket; starts full."""

    level: float = math.inf
    updated: float = 0.0

    def refill(self, rate: float, now: float) -> None:
        capacity = max(1.0, rate * _BURST_S)
        gained = rate * (now - self.updated)
        self.level = min(capacity, self.level + gained)
        self.updated = now

    def seconds_until(self, amount: float, rate: float) -> float:
        """Return the seconds until ``amount`` is available; 0 if it is."""
        if self.level >= min(amount, max(1.0, rate * _BURST_S)):
            return 0.0
        return (amount - self.level) / rate if rate > 0 else math.inf


@dataclasses.dataclass
class _Usage:
    """Usage of one workspace on this host."""

    requests: _Bucket = dataclasses.field(default_factory=_Bucket)
    tokens: _Bucket = dataclasses.field(default_factory=_Bucket)
    demand: float = 0.0
    demand_at: float = 0.0

    def request_rate(self, now: float) -> float:
        """Return the recent rate of requests, in requests/s."""
        age = now - self.demand_at
        return (
            self.demand
            * math.exp(-age / _DEMAND_TIME_CONSTANT_S)
            / _DEMAND_TIME_CONSTANT_S
        )

    def count_request(self, now: float) -> None:
        """Count one request."""
        self.demand = self.request_rate(now) * _DEMAND_TIME_CONSTANT_S + 1
        self.demand_at = now


class Limits:
    """Splits each workspace's limit over the live hosts.

    A host has an even share until all peers report their demand; then the
    shares follow demand. Shares of hosts that have the same reports add up
    to the limit.
    """

    def __init__(self) -> None:
        self._limits: dict[ids.WorkspaceId, catalog.WorkspaceLimits] = {}
        self._usage: dict[ids.WorkspaceId, _Usage] = {}
        self._own_host = ids.HostId('')
        self._hosts: tuple[ids.HostId, ...] = ()
        self._peer_demand: dict[
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
        self, own_host: ids.HostId, live: collections.abc.Iterable[ids.HostId]
    ) -> None:
        """Replace the live hosts, including this one."""
        self._own_host = own_host
        self._hosts = tuple(live)

    def use_peer_demand(
        self,
        host: ids.HostId,
        demand: collections.abc.Mapping[ids.WorkspaceId, float],
        now: float,
    ) -> None:
        """Record a peer's request rates of limited workspaces."""
        self._peer_demand[host] = (now, dict(demand))

    def own_demand(self, now: float) -> dict[ids.WorkspaceId, float]:
        """Return this host's requests/s of each limited workspace."""
        return {
            key: usage.request_rate(now) for key, usage in self._usage.items()
        }

    def charge(
        self, workspace: ids.WorkspaceId, cost: float, now: float
    ) -> float:
        """Charge a request, or return the time to wait if over the limit.

        Parameters
        ----------
        workspace : WorkspaceId
            Sender of the request.
        cost : float
            Estimated cost, in tokens.
        now : float
            Current time, in seconds.

        Returns
        -------
        float
            0 if the request was charged; else the seconds until a retry
            may succeed.
        """
        limits = self._limits.get(workspace)
        if limits is None:
            return 0.0
        usage = self._usage.setdefault(workspace, _Usage())
        usage.count_request(now)
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
        wait = max(
            b.seconds_until(amount, rate) for b, amount, rate in charges
        )
        if wait > 0:
            return wait
        for bucket, amount, _ in charges:
            bucket.level -= amount
        return 0.0

    def _share(
        self, workspace: ids.WorkspaceId, usage: _Usage, now: float
    ) -> float:
        even_share = 1 / max(1, len(self._hosts))
        peers = [host for host in self._hosts if host != self._own_host]
        reports = [
            self._peer_demand[host]
            for host in peers
            if host in self._peer_demand
        ]
        fresh_rates = [
            d for at, d in reports if now - at <= _PEER_DEMAND_TTL_S
        ]
        if not peers or len(fresh_rates) < len(peers):
            return even_share
        own_rate = usage.request_rate(now)
        total = own_rate + sum(d.get(workspace, 0.0) for d in fresh_rates)
        if total <= 0:
            return even_share
        return (
            even_share * _MIN_SHARE_RATIO
            + (1 - _MIN_SHARE_RATIO) * own_rate / total
        )
