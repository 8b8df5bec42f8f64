"""What each lane of one service has in flight and waiting on a host."""

import dataclasses
import math

from corianderloft._internal.decisions import waiting
from corianderloft._internal.models import ids

_MEMORY = 20.0
"""Time constant of the mean occupancy, in seconds."""

_NOTHING = 1e-6
"""Backlog below which a workspace counts as not waiting, in tokens."""

_LEAST_BUSY = 2.0
"""Time with work waiting from which the rate is known, in seconds."""

_RATE_MEMORY = 10.0
"""Time constant of the rate of started work, in seconds."""


@dataclasses.dataclass
class LaneDemand:
    """Demand of one lane.

    Attributes
    ----------
    in_flight : int
        Attempts that hold a slot.
    waiting : int
        Requests in the queue.
    backlog : float
        Estimated cost of what waits, in tokens.
    workspaces : dict of WorkspaceId to float
        The same for each workspace that waits.
    mean : float
        Mean of in flight and waiting over the last seconds, in slots.
    unserved_since : float
        Since when the lane waits without a start, on trio's clock, in
        seconds; meaningless while nothing waits.
    longest_wait : float
        Longest time that the lane waited for a start, in seconds.
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

    def settle(self, now: float) -> None:
        """Bring the mean up to ``now`` before the counts change."""
        part = 1 - math.exp((self._updated - now) / _MEMORY)
        self.mean += (self.in_flight + self.waiting - self.mean) * part
        self._updated = now

    def add_backlog(self, workspace: ids.WorkspaceId, cost: float) -> None:
        """Note that ``cost`` more, or less, waits."""
        self.backlog = max(0.0, self.backlog + cost)
        own = self.workspaces.get(workspace, 0.0) + cost
        if own > _NOTHING:
            self.workspaces[workspace] = own
        else:
            self.workspaces.pop(workspace, None)

    def ahead_of(self, workspace: ids.WorkspaceId) -> float:
        """Return the cost served before a new request, in tokens.

        Workspaces take turns, so that one waits for its own backlog as
        many times as there are workspaces, and at most for all.
        """
        own = self.workspaces.get(workspace, 0.0)
        flows = len(self.workspaces) + (own <= 0)
        mean = self.backlog / max(1, self.waiting)
        return min(self.backlog, (own + mean) * flows)


class Demand:
    """Demand of all lanes of one service on one host.

    Attributes
    ----------
    lanes : dict of Lane to LaneDemand
        Lanes that were ever seen.
    in_flight : int
        Attempts of all lanes.
    """

    def __init__(self) -> None:
        self.lanes: dict[waiting.Lane, LaneDemand] = {}
        self.in_flight = 0
        self._started_cost = 0.0
        self._started_at = 0.0
        self._busy_since = 0.0

    def of(self, lane: waiting.Lane) -> LaneDemand:
        """Return the demand of one lane."""
        found = self.lanes.get(lane)
        if found is None:
            found = self.lanes[lane] = LaneDemand()
        return found

    def queued(self, waiter: waiting.Waiter, now: float) -> None:
        """Note that a request waits."""
        lane = self.of(waiter.lane)
        lane.settle(now)
        if not any(other.waiting for other in self.lanes.values()):
            self._busy_since = now
            self._started_cost = 0.0
        if not lane.waiting:
            lane.unserved_since = now
        lane.waiting += 1
        lane.add_backlog(waiter.ticket.workspace, waiter.cost)

    def left_queue(self, waiter: waiting.Waiter, now: float) -> None:
        """Note that a request no longer waits."""
        lane = self.of(waiter.lane)
        lane.settle(now)
        lane.waiting -= 1
        lane.add_backlog(waiter.ticket.workspace, -waiter.cost)

    def started(self, waiter: waiting.Waiter, now: float) -> None:
        """Note that a request holds a slot."""
        lane = self.of(waiter.lane)
        lane.settle(now)
        lane.in_flight += 1
        lane.longest_wait = max(lane.longest_wait, now - lane.unserved_since)
        lane.unserved_since = now
        self.in_flight += 1
        self._started_cost = self._decayed(now) + waiter.cost
        self._started_at = now

    def ended(self, waiter: waiting.Waiter, now: float) -> None:
        """Note that a slot came back."""
        lane = self.of(waiter.lane)
        lane.settle(now)
        lane.in_flight -= 1
        self.in_flight -= 1

    def start_rate(self, now: float) -> float:
        """Return the cost started a second while work waits, in tokens.

        Infinite while that has not been seen for long enough.
        """
        busy = now - self._busy_since
        if busy < _LEAST_BUSY:
            return math.inf
        span = _RATE_MEMORY * (1 - math.exp(-busy / _RATE_MEMORY))
        return self._decayed(now) / span

    def in_flight_at_or_above(self, lane: waiting.Lane) -> int:
        """Return attempts of ``lane`` and those above."""
        return sum(d.in_flight for key, d in self.lanes.items() if key <= lane)

    def part_up_to(self, lane: waiting.Lane) -> float:
        """Return the mean part of slots in ``lane`` and those above."""
        everything = sum(d.mean for d in self.lanes.values())
        if everything <= 0:
            return 1.0
        above = sum(d.mean for key, d in self.lanes.items() if key <= lane)
        return above / everything

    def has_below(self, lane: waiting.Lane) -> bool:
        """Return whether lower tiers were ever seen, which give way."""
        return any(key.tier > lane.tier for key in self.lanes)

    def ahead_of(self, waiter: waiting.Waiter) -> float:
        """Return the cost that starts before a new request, in tokens."""
        higher = sum(
            d.backlog for key, d in self.lanes.items() if key < waiter.lane
        )
        own = self.of(waiter.lane)
        return higher + own.ahead_of(waiter.ticket.workspace)

    def reserve_above(self, lane: waiting.Lane, crest: float) -> float:
        """Return slots that higher lanes would need beyond what they hold.

        Parameters
        ----------
        lane : Lane
            Lane that would start.
        crest : float
            How many times its mean a lane may need at a crest.
        """
        if crest <= 0:
            return 0.0
        return sum(
            max(0.0, crest * demand.mean - demand.in_flight)
            for key, demand in self.lanes.items()
            if key < lane
        )

    def _decayed(self, now: float) -> float:
        age = now - self._started_at
        return self._started_cost * math.exp(-age / _RATE_MEMORY)
