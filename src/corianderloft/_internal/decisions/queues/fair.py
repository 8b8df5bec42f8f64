"""Queue policy ``fair``: strict tiers, fair workspaces, in time first."""

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
    """What one workspace has waiting in one lane.

    Attributes
    ----------
    classes : dict
        One first-in first-out queue a class.
    served : dict
        Cost served of each class since the flow began, in tokens.
    """

    classes: dict[ids.ClassName, _Fifo] = dataclasses.field(
        default_factory=dict
    )
    served: dict[ids.ClassName, float] = dataclasses.field(
        default_factory=dict
    )

    def next_class(self) -> ids.ClassName:
        """Return the class that was served least."""
        return min(self.classes, key=lambda c: self.served.get(c, 0.0))


class _Lane:
    """Start-time fair queueing of the workspaces of one lane.

    Requests that can no longer start in time for their target wait in
    ``late`` and start when no request of the lane is in time.
    """

    def __init__(self, finished: dict[ids.WorkspaceId, float]) -> None:
        self.everything: _Fifo = collections.OrderedDict()
        self._flows: dict[ids.WorkspaceId, _Flow] = {}
        self._heap: list[tuple[float, int, ids.WorkspaceId]] = []
        self._finished = finished
        self._serial = itertools.count()
        self._late: _Fifo = collections.OrderedDict()
        self._virtual = 0.0

    def push(self, waiter: waiting.Waiter, front: bool = False) -> None:
        self.everything[waiter] = None
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
            self._virtual = max(self._virtual, start)
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
        self._finished[waiter.ticket.workspace] = (
            self._finished.get(waiter.ticket.workspace, 0.0)
            - waiter.cost / waiter.weight
        )
        self.push(waiter, front=True)

    def discard(self, waiter: waiting.Waiter) -> None:
        if waiter not in self.everything:
            return
        del self.everything[waiter]
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
        start = max(self._virtual, self._finished.get(workspace, 0.0))
        heapq.heappush(self._heap, (start, next(self._serial), workspace))

    def _charge(
        self, flow: _Flow, waiter: waiting.Waiter, cost: float
    ) -> None:
        name = waiter.ticket.class_name
        flow.served[name] = flow.served.get(name, 0.0) + cost
        workspace = waiter.ticket.workspace
        start = max(self._virtual, self._finished.get(workspace, 0.0))
        self._finished[workspace] = start + cost / waiter.weight


@plugins.QUEUE_POLICIES.register('fair')
class Fair:
    """One fair lane for each tier and expected length."""

    def __init__(self, cfg: plugins.Settings) -> None:
        del cfg
        self._lanes: dict[waiting.Lane, _Lane] = {}
        self._order: list[waiting.Lane] = []
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def push(self, waiter: waiting.Waiter) -> None:
        """Add a request to its workspace's queue."""
        self._count += 1
        self._lane(waiter.lane).push(waiter)

    def pop(
        self, now: float, may_start: waiting.LaneFilter
    ) -> waiting.Waiter | None:
        """Remove and return the next request of a lane that may start.

        A lane that may not start holds back no higher lane, and lower
        lanes only through the filter.
        """
        for key in self._order:
            lane = self._lanes[key]
            if lane.everything and may_start(key):
                waiter = lane.pop(now)
                if waiter is not None:
                    self._count -= 1
                    return waiter
        return None

    def put_back(self, waiter: waiting.Waiter) -> None:
        """Return a popped request to the front of its queue."""
        self._count += 1
        self._lane(waiter.lane).put_back(waiter)

    def discard(self, waiter: waiting.Waiter) -> None:
        """Remove a request if it still waits."""
        lane = self._lanes.get(waiter.lane)
        if lane is not None and waiter in lane.everything:
            self._count -= 1
            lane.discard(waiter)

    def waiters(self) -> list[waiting.Waiter]:
        """Return all that wait, in order of arrival."""
        everything = itertools.chain.from_iterable(
            lane.everything for lane in self._lanes.values()
        )
        return sorted(everything, key=lambda waiter: waiter.sequence)

    def newest_of_lowest_tier(self) -> waiting.Waiter | None:
        """Return the newest request of the lowest tier that waits."""
        return max(
            (
                next(reversed(lane.everything))
                for lane in self._lanes.values()
                if lane.everything
            ),
            key=lambda waiter: (waiter.lane.tier, waiter.sequence),
            default=None,
        )

    def _lane(self, key: waiting.Lane) -> _Lane:
        lane = self._lanes.get(key)
        if lane is None:
            lane = self._lanes[key] = _Lane({})
            self._order = sorted(self._lanes)
        return lane
