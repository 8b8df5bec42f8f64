"""Index of prompt prefixes that engines probably have cached."""

import collections
import collections.abc

from corianderloft._internal.models import ids

_MAX_PREFIXES = 20_000
"""Limit on the number of prefixes kept for one service."""


class PrefixIndex:
    """Index of prefixes by engine, from sent requests and cache events.

    Cache events correct the index, but may be late or missing.
    """

    def __init__(self) -> None:
        self._engines_by_prefix: collections.OrderedDict[
            int, set[ids.EngineId]
        ] = collections.OrderedDict()

    def add(
        self, engine_id: ids.EngineId, hashes: collections.abc.Iterable[int]
    ) -> None:
        """Add prefixes that an engine has cached."""
        for prefix in hashes:
            self._engines_by_prefix.setdefault(prefix, set()).add(engine_id)
            self._engines_by_prefix.move_to_end(prefix)
        while len(self._engines_by_prefix) > _MAX_PREFIXES:
            self._engines_by_prefix.popitem(last=False)

    def remove(
        self, engine_id: ids.EngineId, hashes: collections.abc.Iterable[int]
    ) -> None:
        """Remove prefixes that an engine evicted."""
        for prefix in hashes:
            self._engines_by_prefix.get(prefix, set()).discard(engine_id)

    def match_fractions(
        self, hashes: tuple[int, ...]
    ) -> dict[ids.EngineId, float]:
        """Return the fraction of prefixes that each engine caches, 0 to 1."""
        fractions: dict[ids.EngineId, float] = {}
        for count, prefix in enumerate(hashes, start=1):
            for engine_id in self._engines_by_prefix.get(prefix, ()):
                fractions[engine_id] = count / len(hashes)
        return fractions
