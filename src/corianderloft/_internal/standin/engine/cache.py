"""Prefix cache with limited memory.

Its change events are reported with a delay and may be lost.
"""

import collections
import collections.abc
import dataclasses
import itertools
import random

import trio

from corianderloft._internal.standin import settings as standin_settings
from corianderloft._internal.utils import prefixes

MAX_KEPT_EVENTS = 1000


@dataclasses.dataclass(frozen=True)
class CacheEvent:
    """One change of the cache; ``visible_at`` is in trio's clock time."""

    event_id: int
    visible_at: float
    added: tuple[int, ...]
    removed: tuple[int, ...]


class PrefixCache:
    """Hashes of cached prefixes with least-recently-used eviction.

    Parameters
    ----------
    settings : EngineSettings
        Size of the cache, and delay and loss rate of its events.
    """

    def __init__(self, settings: standin_settings.EngineSettings) -> None:
        self._settings = settings
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=MAX_KEPT_EVENTS
        )
        self._event_ids = itertools.count(1)
        self._random = random.Random(settings.seed)

    @property
    def used_fraction(self) -> float:
        """Fraction of the cache in use, from 0 to 1."""
        return len(self._blocks) / self._settings.cache_blocks

    def cached_tokens(self, hashes: collections.abc.Sequence[int]) -> int:
        """Return the number of leading prompt tokens that are cached."""
        found = itertools.takewhile(self._blocks.__contains__, hashes)
        return prefixes.BLOCK_TOKENS * sum(1 for _ in found)

    def cached_hashes(
        self, hashes: collections.abc.Sequence[int]
    ) -> list[int]:
        """Return those of ``hashes`` that are cached."""
        return [item for item in hashes if item in self._blocks]

    def add(self, hashes: collections.abc.Sequence[int]) -> None:
        """Cache prefixes and evict others when the cache is full."""
        added = tuple(item for item in hashes if item not in self._blocks)
        for item in hashes:
            self._blocks[item] = None
            self._blocks.move_to_end(item)
        excess = len(self._blocks) - self._settings.cache_blocks
        removed = tuple(
            self._blocks.popitem(last=False)[0] for _ in range(excess)
        )
        if added or removed:
            self._record(added, removed)

    def clear(self) -> None:
        """Drop all cached prefixes and events."""
        self._blocks.clear()
        self._events.clear()

    def _record(
        self, added: tuple[int, ...], removed: tuple[int, ...]
    ) -> None:
        event_id = next(self._event_ids)
        if self._random.random() < self._settings.cache_event_loss:
            return
        visible_at = trio.current_time() + self._settings.cache_event_lag
        self._events.append(CacheEvent(event_id, visible_at, added, removed))

    def events_after(self, after: int) -> dict[str, object]:
        """Return the response body with the visible events after ``after``."""
        now = trio.current_time()
        visible = [item for item in self._events if item.visible_at <= now]
        newer = [item for item in visible if item.event_id > after]
        return {
            'next': newer[-1].event_id if newer else after,
            'oldest': visible[0].event_id if visible else 0,
            'events': [
                {
                    'id': item.event_id,
                    'added': item.added,
                    'removed': item.removed,
                }
                for item in newer
            ],
        }
