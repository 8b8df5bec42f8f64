"""News that is passed on with other messages, a bounded number of times."""

import collections.abc
import math
import typing

PER_MESSAGE = 6
SPREAD_FACTOR = 3

K = typing.TypeVar('K', bound=collections.abc.Hashable)


class RumorQueue(typing.Generic[K]):
    """Names what changed lately; the newest and least told goes first."""

    def __init__(self) -> None:
        self._told: dict[K, int] = {}

    def add(self, key: K) -> None:
        """Begin to pass on news about ``key``."""
        self._told[key] = 0

    def take(self, fleet: int) -> tuple[K, ...]:
        """Return keys for one message.

        Parameters
        ----------
        fleet : int
            Number of hosts; news is told about ``3 log2`` of it times.
        """
        limit = SPREAD_FACTOR * math.ceil(math.log2(fleet + 1))
        chosen = sorted(self._told, key=self._told.__getitem__)[:PER_MESSAGE]
        for key in chosen:
            self._told[key] += 1
            if self._told[key] >= limit:
                del self._told[key]
        return tuple(chosen)

    def __len__(self) -> int:
        return len(self._told)
