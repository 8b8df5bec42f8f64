"""Tracks in-flight and queued requests of one service, by lane."""

import dataclasses
import math

from corianderloft._internal.decisions import waiting
from corianderloft._internal.models import ids

_DEMAND_TIME_CONSTANT_S = 20.0
"""Time constant of the mean occupancy, in seconds."""

_MIN_BACKLOG_TOKENS = 1e-6
"""Backlog below which a workspace has nothing queued, in tokens.

Absorbs rounding errors of the floating-point sums.
"""

_MIN_BUSY_S = 2.0
"""Time with queued work before the start rate is reliable, in seconds."""

_START_RATE_TIME_CONSTANT_S = 10.0
"""Time constant of the start rate, in seconds."""


@dataclasses.dataclass
class LaneDemand:
    """Demand of one lane.

    Attributes
    ----------
    in_flight : int
        Attempts that hold a slot.
    waiting : int
        Queued requests.
    backlog : float
        Estimated cost of the queued requests, in tokens.
    workspaces : dict of WorkspaceId to float
        Backlog of each workspace with queued requests, in tokens.
    mean : float
        Moving average of in-flight and queued requests, in slots.
    unserved_since : float
        When the lane last started a request or became non-empty, on
        trio's clock, in seconds; undefined while the lane is empty.
    longest_wait : float
        Longest time without a start while requests waited, in seconds.
    credit : float
        Guaranteed work that the lane may still start, in tokens.
    """

    in_flight: int = 0
    waiting: int = 0
    backlog: float = 0.0
    workspaces: dict[ids.WorkspaceId, float] = dataclasses.field(
        default_factory=dict
    )
    mean: float = 0.0
    unserved_since: float = 0.0
    longest_wait: float = 0.0
    credit: float = 0.0
    _updated: float = 0.0

    def update_mean(self, now: float) -> None:
        """Update the moving average to ``now``, before the counts change."""
        weight = 1 - math.exp((self._updated - now) / _DEMAND_TIME_CONSTANT_S)
        self.mean += (self.in_flight + self.waiting - self.mean) * weight
        self._updated = now

    def add_backlog(self, workspace: ids.WorkspaceId, cost: float) -> None:
        """Add ``cost``, which may be negative, to the backlog."""
        self.backlog = max(0.0, self.backlog + cost)
        own_backlog = self.workspaces.get(workspace, 0.0) + cost
        if own_backlog > _MIN_BACKLOG_TOKENS:
            self.workspaces[workspace] = own_backlog
        else:
            self.workspaces.pop(workspace, None)

    def cost_ahead_of(self, workspace: ids.WorkspaceId) -> float:
        """Return the cost queued ahead of a new request, in tokens.

        Workspaces are served in turn, so the cost is the workspace's own
        backlog times the number of workspaces, at most the whole backlog.
        """
        own_backlog = self.workspaces.get(workspace, 0.0)
        workspace_count = len(self.workspaces) + (own_backlog <= 0)
        mean_cost = self.backlog / max(1, self.waiting)
        return min(self.backlog, (own_backlog + mean_cost) * workspace_count)


class Demand:
    """Demand of all lanes of one service on one host.

    Attributes
    ----------
    lanes : dict of Lane to LaneDemand
        Every lane that has ever had a request.
    in_flight : int
        In-flight attempts of all lanes.
    """

    def __init__(self) -> None:
        self.lanes: dict[waiting.Lane, LaneDemand] = {}
        self.in_flight = 0
        self._started_cost = 0.0
        self._last_started_at = 0.0
        self._busy_since = 0.0

    def for_lane(self, lane: waiting.Lane) -> LaneDemand:
        """Return the demand of one lane, created if missing."""
        found = self.lanes.get(lane)
        if found is None:
            found = self.lanes[lane] = LaneDemand()
        return found

    def on_queued(self, waiter: waiting.Waiter, now: float) -> None:
        """Count a request that was queued."""
        lane = self.for_lane(waiter.lane)
        lane.update_mean(now)
        if not any(other.waiting for other in self.lanes.values()):
            self._busy_since = now
            self._started_cost = 0.0
        if not lane.waiting:
            lane.unserved_since = now
        lane.waiting += 1
        lane.add_backlog(waiter.ticket.workspace, waiter.cost)

    def on_dequeued(self, waiter: waiting.Waiter, now: float) -> None:
        """Count a request that left the queue."""
        lane = self.for_lane(waiter.lane)
        lane.update_mean(now)
        lane.waiting -= 1
        lane.add_backlog(waiter.ticket.workspace, -waiter.cost)

    def on_started(self, waiter: waiting.Waiter, now: float) -> None:
        """Count an attempt that took a slot."""
        lane = self.for_lane(waiter.lane)
        lane.update_mean(now)
        lane.in_flight += 1
        lane.longest_wait = max(lane.longest_wait, now - lane.unserved_since)
        lane.unserved_since = now
        self.in_flight += 1
        self._started_cost = self._recent_started_cost(now) + waiter.cost
        self._last_started_at = now

    def on_ended(self, waiter: waiting.Waiter, now: float) -> None:
        """Count an attempt that released its slot."""
        lane = self.for_lane(waiter.lane)
        lane.update_mean(now)
        lane.in_flight -= 1
        self.in_flight -= 1

    def start_rate(self, now: float) -> float:
        """Return the cost started while work is queued, in tokens/s.

        Infinite until work has been queued for `_MIN_BUSY_S`.
        """
        busy = now - self._busy_since
        if busy < _MIN_BUSY_S:
            return math.inf
        window = _START_RATE_TIME_CONSTANT_S * (
            1 - math.exp(-busy / _START_RATE_TIME_CONSTANT_S)
        )
        return self._recent_started_cost(now) / window

    def in_flight_at_or_above(self, lane: waiting.Lane) -> int:
        """Return the in-flight attempts of ``lane`` and higher lanes."""
        return sum(d.in_flight for key, d in self.lanes.items() if key <= lane)

    def fraction_at_or_above(self, lane: waiting.Lane) -> float:
        """Return the share of mean demand in ``lane`` and higher lanes."""
        total = sum(d.mean for d in self.lanes.values())
        if total <= 0:
            return 1.0
        at_or_above = sum(
            d.mean for key, d in self.lanes.items() if key <= lane
        )
        return at_or_above / total

    def has_lower_tier(self, lane: waiting.Lane) -> bool:
        """Return whether a lower tier, which can be delayed, was ever used."""
        return any(key.tier > lane.tier for key in self.lanes)

    def cost_ahead_of(self, waiter: waiting.Waiter) -> float:
        """Return the cost that starts before a new request, in tokens."""
        higher = sum(
            d.backlog for key, d in self.lanes.items() if key < waiter.lane
        )
        own_lane = self.for_lane(waiter.lane)
        return higher + own_lane.cost_ahead_of(waiter.ticket.workspace)

    def reserved_for_higher(
        self, lane: waiting.Lane, peak_factor: float
    ) -> float:
        """Return the slots to reserve for load peaks of higher lanes.

        Parameters
        ----------
        lane : Lane
            Lane of the request that would start.
        peak_factor : float
            Ratio of the peak demand of a lane to its mean.
        """
        if peak_factor <= 0:
            return 0.0
        return sum(
            max(0.0, peak_factor * demand.mean - demand.in_flight)
            for key, demand in self.lanes.items()
            if key < lane
        )

    def _recent_started_cost(self, now: float) -> float:
        age = now - self._last_started_at
        return self._started_cost * math.exp(
            -age / _START_RATE_TIME_CONSTANT_S
        )
