"""Requests queued at this host, fair between workspaces.

Responds to one workspace that sends several times its usual traffic, and to
overload in which less urgent classes would never be served.
"""

import bisect
import collections.abc
import heapq
import itertools
import typing

from corianderloft._internal.models import ids
from corianderloft._internal.placement import queue

AGING_TARGET_RATIO = 4.0
AGING_WAIT_RATIO = 0.75
"""Waiting time, in multiples of its target and of the longest wait, after the
first of which a request counts as one priority higher."""

MAX_FAILURES = 8
"""Requests of a lane without an engine after which a pass leaves the lane:
engines are free for requests later in the order only by their prefixes, and
the order has to hold while memory is short."""

MAX_SUMMED_REQUESTS = 512
"""Requests whose work is added up for an estimate of the wait."""

MAX_IDLE_WORKSPACES = 4096
"""Workspaces whose last tags are kept."""

Lane = tuple[ids.ServiceName, bool]
"""Service, and whether the route has long prompts."""


class _Entry(typing.NamedTuple):
    rank: int
    key: float
    number: int
    tokens: int
    tag: float


class _Class:
    """Start-time fair queueing of the requests of one lane and priority.

    Its virtual time is the greatest start tag of a dispatched request, but
    not later than any request that waits: requests may be dispatched out of
    order, as engines that one may not use are free for another. A request
    starts at the virtual time or at the end of the previous one of its
    workspace, whichever is later.
    """

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self._tags: list[float] = []
        self._ends: dict[ids.WorkspaceId | None, float] = {}

    def start_tag(
        self, workspace: ids.WorkspaceId | None, tokens: int
    ) -> float:
        """Return the tag of a request, and advance its workspace."""
        tag = max(self.virtual_time, self._ends.get(workspace, 0.0))
        if len(self._ends) > MAX_IDLE_WORKSPACES:
            self._ends = {
                name: end
                for name, end in self._ends.items()
                if end > self.virtual_time
            }
        self._ends[workspace] = tag + tokens
        bisect.insort(self._tags, tag)
        return tag

    def dispatched(self, tag: float) -> None:
        """Remove a request that was dispatched."""
        self._remove(tag)
        first = self._tags[0] if self._tags else tag
        self.virtual_time = max(self.virtual_time, min(tag, first))

    def withdrawn(
        self, workspace: ids.WorkspaceId | None, entry: _Entry
    ) -> None:
        """Remove a request that was not dispatched, and its tokens."""
        self._remove(entry.tag)
        end = self._ends.get(workspace, 0.0) - entry.tokens
        self._ends[workspace] = max(self.virtual_time, end)

    def _remove(self, tag: float) -> None:
        del self._tags[bisect.bisect_left(self._tags, tag)]


class _Group:
    """The queued requests of one lane in order."""

    def __init__(self) -> None:
        self.entries: list[_Entry] = []
        self._urgencies: list[int] = []
        self._classes: dict[int, _Class] = {}

    def class_of(self, urgency: int) -> _Class:
        """Return the requests of a priority."""
        if urgency not in self._classes:
            bisect.insort(self._urgencies, urgency)
            self._classes[urgency] = _Class()
        return self._classes[urgency]

    def more_urgent(self, urgency: int) -> int:
        """Return the next priority above one, or the same if none is."""
        index = bisect.bisect_left(self._urgencies, urgency)
        return self._urgencies[max(0, index - 1)]

    def remove(self, entry: _Entry) -> None:
        del self.entries[bisect.bisect_left(self.entries, entry)]


class FairQueue:
    """Queued requests by lane, priority and start tag.

    Within a priority, requests that may still meet their target go before
    late ones. A request that has waited for some multiples of its target is
    ordered among the late ones of the next priority above, so that it never
    goes before those of them that still meet their target.
    """

    max_failures = MAX_FAILURES

    def __init__(self) -> None:
        self._waiters: dict[int, queue.Waiter] = {}
        self._entries: dict[int, tuple[Lane, _Entry]] = {}
        self._groups: dict[Lane, _Group] = {}
        self._changes: list[tuple[float, int, int]] = []

    def __len__(self) -> int:
        return len(self._waiters)

    def add(self, waiter: queue.Waiter) -> None:
        """Queue a request."""
        job = waiter.job
        lane = job.service, waiter.long_prompt
        group = self._groups.setdefault(lane, _Group())
        tag = group.class_of(job.urgency).start_tag(
            job.workspace, waiter.tokens
        )
        entry = _Entry(2 * job.urgency, tag, waiter.number, waiter.tokens, tag)
        self._waiters[waiter.number] = waiter
        self._entries[waiter.number] = lane, entry
        bisect.insort(group.entries, entry)
        late_at = job.arrived + job.route.target
        aged_at = job.arrived + min(
            AGING_TARGET_RATIO * job.route.target,
            AGING_WAIT_RATIO * (waiter.wait_deadline - job.arrived),
        )
        for number, at in enumerate((late_at, max(late_at, aged_at))):
            heapq.heappush(self._changes, (at, waiter.number, number))

    def discard(self, waiter: queue.Waiter) -> None:
        """Remove a request if it is still queued."""
        if self._waiters.pop(waiter.number, None) is None:
            return
        lane, entry = self._entries.pop(waiter.number)
        group = self._groups[lane]
        group.remove(entry)
        served = group.class_of(waiter.job.urgency)
        if waiter.engine is None:
            served.withdrawn(waiter.job.workspace, entry)
        else:
            served.dispatched(entry.tag)

    def batches(
        self, now: float
    ) -> collections.abc.Sequence[collections.abc.Sequence[queue.Waiter]]:
        """Return the first requests of each lane, most urgent lanes first.

        Parameters
        ----------
        now : float
            Current time on trio's clock.
        """
        self._apply_changes(now)
        waiting = [group for group in self._groups.values() if group.entries]
        if not waiting:
            return []
        limit = max(MAX_FAILURES, queue.MAX_SCANNED_REQUESTS // len(waiting))
        return [
            [self._waiters[entry.number] for entry in group.entries[:limit]]
            for group in sorted(waiting, key=lambda g: g.entries[0].rank)
        ]

    def waiting_like(self, waiter: queue.Waiter) -> int:
        """Return the number of queued requests of the lane of a request."""
        group = self._groups.get((waiter.job.service, waiter.long_prompt))
        return len(group.entries) if group else 0

    def tokens_ahead(self, waiter: queue.Waiter) -> int:
        """Return the tokens of the requests that go before a queued one."""
        found = self._entries.get(waiter.number)
        if found is None:
            return 0
        lane, entry = found
        entries = self._groups[lane].entries
        index = bisect.bisect_left(entries, entry)
        ahead = itertools.islice(entries, min(index, MAX_SUMMED_REQUESTS))
        return sum(other.tokens for other in ahead)

    def _apply_changes(self, now: float) -> None:
        """Reorder the requests that have become late or have aged."""
        while self._changes and self._changes[0][0] <= now:
            _, number, change = heapq.heappop(self._changes)
            found = self._entries.get(number)
            if found is None:
                continue
            lane, entry = found
            group = self._groups[lane]
            urgency = self._waiters[number].job.urgency
            # Virtual times of classes differ: what counts among requests of
            # several classes is how far one is ahead of that of its class.
            key = entry.tag - group.class_of(urgency).virtual_time
            if change:
                urgency = group.more_urgent(urgency)
            changed = entry._replace(rank=2 * urgency + 1, key=key)
            group.remove(entry)
            bisect.insort(group.entries, changed)
            self._entries[number] = lane, changed
