"""Updates that are piggybacked on other messages for a limited time."""

import collections.abc
import math
import typing

MAX_KEYS_PER_MESSAGE = 6
RETRANSMIT_FACTOR = 3

K = typing.TypeVar('K', bound=collections.abc.Hashable)


class PiggybackQueue(typing.Generic[K]):
    """Keys of recent updates, the least often sent first.

    Each key is sent a limited number of times.
    """

    def __init__(self) -> None:
        self._sent_counts: dict[K, int] = {}

    def add(self, key: K) -> None:
        """Start to send the update of ``key``."""
        self._sent_counts[key] = 0

    def take(self, host_count: int) -> tuple[K, ...]:
        """Return keys for one message.

        Parameters
        ----------
        host_count : int
            Number of hosts; an update is sent about ``3 log2`` of it times.
        """
        limit = RETRANSMIT_FACTOR * math.ceil(math.log2(host_count + 1))
        chosen = sorted(self._sent_counts, key=self._sent_counts.__getitem__)[
            :MAX_KEYS_PER_MESSAGE
        ]
        for key in chosen:
            self._sent_counts[key] += 1
            if self._sent_counts[key] >= limit:
                del self._sent_counts[key]
        return tuple(chosen)

    def __len__(self) -> int:
        return len(self._sent_counts)
