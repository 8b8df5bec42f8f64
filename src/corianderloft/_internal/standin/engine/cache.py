"""Prefix cache with limited memory; its events come late and with gaps."""

import collections
import collections.abc
import dataclasses
import itertools
import random

import trio

from corianderloft._internal.standin import settings as standin_settings
from corianderloft._internal.utils import prefixes

EVENT_LIMIT = 1000


@dataclasses.dataclass(frozen=True)
class CacheEvent:
    """One change of the cache; ``visible_at`` is on trio's clock."""

    event_id: int
    visible_at: float
    added: tuple[int, ...]
    removed: tuple[int, ...]


class PrefixCache:
    """Hashes of cached prefixes, the least recently used dropped first.

    Parameters
    ----------
    settings : EngineSettings
        Size, lag and gaps.
    """

    def __init__(self, settings: standin_settings.EngineSettings) -> None:
        self._settings = settings
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=EVENT_LIMIT
        )
        self._event_ids = itertools.count(1)
        self._random = random.Random(settings.seed)

    @property
    def fraction(self) -> float:
        """Part of the memory in use, from 0 to 1."""
        return len(self._blocks) / self._settings.cache_blocks

    def cached_tokens(self, hashes: collections.abc.Sequence[int]) -> int:
        """Return how many leading prompt tokens are cached."""
        found = itertools.takewhile(self._blocks.__contains__, hashes)
        return prefixes.BLOCK_TOKENS * sum(1 for _ in found)

    def held(self, hashes: collections.abc.Sequence[int]) -> list[int]:
        """Return those of ``hashes`` that are cached."""
        return [item for item in hashes if item in self._blocks]

    def add(self, hashes: collections.abc.Sequence[int]) -> None:
        """Cache prefixes, and drop others when memory runs out."""
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
        """Forget everything."""
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
        """Return the reply to a call for events later than ``after``."""
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
