"""Queue policy ``fair``: strict tiers, with fair queueing of workspaces."""

import collections
import dataclasses
import heapq
import itertools

from corianderloft._internal.decisions import plugins
from corianderloft._internal.decisions import waiting
from corianderloft._internal.models import ids

_Fifo = collections.OrderedDict[waiting.Waiter, None]


@dataclasses.dataclass
class _Flow:
    """Queued requests of one workspace in one lane.

    Attributes
    ----------
    classes : dict
        FIFO queue of each class.
    served_cost : dict
        Cost served for each class since the flow was created, in tokens.
    """

    classes: dict[ids.ClassName, _Fifo] = dataclasses.field(
        default_factory=dict
    )
    served_cost: dict[ids.ClassName, float] = dataclasses.field(
        default_factory=dict
    )

    def next_class(self) -> ids.ClassName:
        """Return the class with the least served cost."""
        return min(self.classes, key=lambda c: self.served_cost.get(c, 0.0))


class _LaneQueue:
    """Start-time fair queueing of the workspaces in one lane.

    Requests that can no longer start in time for their target move to
    ``_late`` and start only when no other request of the lane is queued.

    Parameters
    ----------
    finish_times : dict of WorkspaceId to float
        Virtual finish time of the last request of each workspace.
    """

    def __init__(self, finish_times: dict[ids.WorkspaceId, float]) -> None:
        self.waiters: _Fifo = collections.OrderedDict()
        self._flows: dict[ids.WorkspaceId, _Flow] = {}
        self._heap: list[tuple[float, int, ids.WorkspaceId]] = []
        self._finish_times = finish_times
        self._serial = itertools.count()
        self._late: _Fifo = collections.OrderedDict()
        self._virtual_time = 0.0

    def push(self, waiter: waiting.Waiter, front: bool = False) -> None:
        self.waiters[waiter] = None
        workspace = waiter.ticket.workspace
        flow = self._flows.get(workspace)
        if flow is None:
            flow = self._flows[workspace] = _Flow()
            self._schedule(workspace)
        fifo = flow.classes.setdefault(
            waiter.ticket.class_name, collections.OrderedDict()
        )
        fifo[waiter] = None
        if front:
            fifo.move_to_end(waiter, last=False)

    def pop(self, now: float) -> waiting.Waiter | None:
        while self._heap:
            start, _, workspace = self._heap[0]
            flow = self._flows.get(workspace)
            if flow is None:
                heapq.heappop(self._heap)
                continue
            waiter = next(iter(flow.classes[flow.next_class()]))
            if now > waiter.start_target:
                self._remove_from_flow(waiter)
                self._late[waiter] = None
                continue
            heapq.heappop(self._heap)
            self._virtual_time = max(self._virtual_time, start)
            self._charge(flow, waiter, waiter.cost)
            self.discard(waiter)
            if workspace in self._flows:
                self._schedule(workspace)
            return waiter
        if self._late:
            waiter = next(iter(self._late))
            self.discard(waiter)
            return waiter
        return None

    def put_back(self, waiter: waiting.Waiter) -> None:
        """Return a popped request to the front and undo its finish time."""
        self._finish_times[waiter.ticket.workspace] = (
            self._finish_times.get(waiter.ticket.workspace, 0.0)
            - waiter.cost / waiter.weight
        )
        self.push(waiter, front=True)

    def discard(self, waiter: waiting.Waiter) -> None:
        if waiter not in self.waiters:
            return
        del self.waiters[waiter]
        if waiter in self._late:
            del self._late[waiter]
        else:
            self._remove_from_flow(waiter)

    def _remove_from_flow(self, waiter: waiting.Waiter) -> None:
        flow = self._flows[waiter.ticket.workspace]
        fifo = flow.classes[waiter.ticket.class_name]
        del fifo[waiter]
        if not fifo:
            del flow.classes[waiter.ticket.class_name]
        if not flow.classes:
            del self._flows[waiter.ticket.workspace]

    def _schedule(self, workspace: ids.WorkspaceId) -> None:
        start = max(self._virtual_time, self._finish_times.get(workspace, 0.0))
        heapq.heappush(self._heap, (start, next(self._serial), workspace))

    def _charge(
        self, flow: _Flow, waiter: waiting.Waiter, cost: float
    ) -> None:
        name = waiter.ticket.class_name
        flow.served_cost[name] = flow.served_cost.get(name, 0.0) + cost
        workspace = waiter.ticket.workspace
        start = max(self._virtual_time, self._finish_times.get(workspace, 0.0))
        self._finish_times[workspace] = start + cost / waiter.weight


@plugins.QUEUE_POLICIES.register('fair')
class Fair:
    """Uses one fair queue for each lane, in order of priority."""

    def __init__(self, cfg: plugins.Settings) -> None:
        del cfg
        self._lanes: dict[waiting.Lane, _LaneQueue] = {}
        self._order: list[waiting.Lane] = []
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def push(self, waiter: waiting.Waiter) -> None:
        """Add a request to the queue of its lane and workspace."""
        self._count += 1
        self._get_lane(waiter.lane).push(waiter)

    def pop(
        self, now: float, may_start: waiting.LaneFilter
    ) -> waiting.Waiter | None:
        """Remove and return the next request of a lane that may start.

        Lanes that the filter rejects are skipped.
        """
        for key in self._order:
            lane = self._lanes[key]
            if lane.waiters and may_start(key):
                waiter = lane.pop(now)
                if waiter is not None:
                    self._count -= 1
                    return waiter
        return None

    def put_back(self, waiter: waiting.Waiter) -> None:
        """Return a popped request to the front of its queue."""
        self._count += 1
        self._get_lane(waiter.lane).put_back(waiter)

    def discard(self, waiter: waiting.Waiter) -> None:
        """Remove a request if it is still queued."""
        lane = self._lanes.get(waiter.lane)
        if lane is not None and waiter in lane.waiters:
            self._count -= 1
            lane.discard(waiter)

    def waiters(self) -> list[waiting.Waiter]:
        """Return all queued requests, in order of arrival."""
        waiters = itertools.chain.from_iterable(
            lane.waiters for lane in self._lanes.values()
        )
        return sorted(waiters, key=lambda waiter: waiter.sequence)

    def newest_of_lowest_tier(self) -> waiting.Waiter | None:
        """Return the newest request of the lowest non-empty tier."""
        return max(
            (
                next(reversed(lane.waiters))
                for lane in self._lanes.values()
                if lane.waiters
            ),
            key=lambda waiter: (waiter.lane.tier, waiter.sequence),
            default=None,
        )

    def _get_lane(self, key: waiting.Lane) -> _LaneQueue:
        lane = self._lanes.get(key)
        if lane is None:
            lane = self._lanes[key] = _LaneQueue({})
            self._order = sorted(self._lanes)
        return lane
