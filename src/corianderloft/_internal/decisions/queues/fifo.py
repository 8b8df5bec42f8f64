"""Queue policy ``fifo``: baseline with one FIFO queue per strict tier."""

import collections
import itertools

from corianderloft._internal.decisions import plugins
from corianderloft._internal.decisions import waiting
from corianderloft._internal.models import ids


@plugins.QUEUE_POLICIES.register('fifo')
class Fifo:
    """Uses one first-in first-out queue for each tier."""

    def __init__(self, cfg: plugins.Settings) -> None:
        del cfg
        self._tiers: dict[
            ids.Tier, collections.OrderedDict[waiting.Waiter, None]
        ] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def push(self, waiter: waiting.Waiter) -> None:
        """Add a request at the end of the queue of its tier."""
        tier = self._tiers.setdefault(
            waiter.lane.tier, collections.OrderedDict()
        )
        tier[waiter] = None
        self._count += 1

    def pop(
        self, now: float, may_start: waiting.LaneFilter
    ) -> waiting.Waiter | None:
        """Remove and return the oldest request of the highest tier."""
        for number in sorted(self._tiers):
            tier = self._tiers[number]
            if not tier:
                continue
            waiter = next(iter(tier))
            if not may_start(waiter.lane):
                continue
            self.discard(waiter)
            return waiter
        return None

    def put_back(self, waiter: waiting.Waiter) -> None:
        """Return a popped request to the front of its tier."""
        self.push(waiter)
        self._tiers[waiter.lane.tier].move_to_end(waiter, last=False)

    def discard(self, waiter: waiting.Waiter) -> None:
        """Remove a request if it is still queued."""
        tier = self._tiers.get(waiter.lane.tier)
        if tier is not None and waiter in tier:
            del tier[waiter]
            self._count -= 1

    def waiters(self) -> list[waiting.Waiter]:
        """Return all queued requests, in order of arrival."""
        waiters = itertools.chain.from_iterable(self._tiers.values())
        return sorted(waiters, key=lambda waiter: waiter.sequence)

    def newest_of_lowest_tier(self) -> waiting.Waiter | None:
        """Return the newest request of the lowest non-empty tier."""
        waiting_tiers = [n for n, tier in self._tiers.items() if tier]
        if not waiting_tiers:
            return None
        return next(reversed(self._tiers[max(waiting_tiers)]))
