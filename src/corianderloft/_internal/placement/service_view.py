"""The backend servers of one service, with cached hash orders."""

import collections.abc
import functools
import heapq

from corianderloft._internal.placement import engines
from corianderloft._internal.placement import hashing

PREFERRED_ENGINES = 24
"""Engines that the order of a key begins with: several lanes' worth of the
ones that a chooser compares."""

MAX_CACHED_KEYS = 4096


class ServiceView:
    """Live backend servers of a service; replaced when they change.

    Parameters
    ----------
    live : sequence of Engine
        Backend servers that are not draining, including ejected ones.

    Attributes
    ----------
    live : tuple of Engine
        The same.
    slots : int
        Slots of all of them together.
    """

    def __init__(
        self, live: collections.abc.Iterable[engines.Engine] = ()
    ) -> None:
        self.live = tuple(live)
        self.slots = sum(engine.instance.slots for engine in self.live)
        self.preferred = functools.lru_cache(MAX_CACHED_KEYS)(self._preferred)

    @functools.cached_property
    def short_order(self) -> list[engines.Engine]:
        """All servers in the order in which they join the short lane."""
        return hashing.ranked('short lane', self.live, _engine_id)

    def refused_until(self) -> float:
        """Return when the first of the servers wants requests again.

        That is in the past if one does now, or if there is none.
        """
        return min(
            (engine.statements.refuses_until for engine in self.live),
            default=float('-inf'),
        )

    def _preferred(self, key: str) -> list[engines.Engine]:
        """Return the first servers in the hash order of a key."""
        return heapq.nsmallest(
            PREFERRED_ENGINES,
            self.live,
            key=lambda engine: hashing.weight(key, engine.engine_id),
        )


def _engine_id(engine: engines.Engine) -> str:
    return engine.engine_id
