"""Which engines probably hold which prompt prefixes."""

import collections
import collections.abc

from corianderloft._internal.models import ids

_MOST_PREFIXES = 20_000
"""Prefixes that are remembered for one service."""


class Prefixes:
    """What was sent where, corrected by cache events, late and with gaps."""

    def __init__(self) -> None:
        self._engines: collections.OrderedDict[int, set[ids.EngineId]] = (
            collections.OrderedDict()
        )

    def add(
        self, engine_id: ids.EngineId, hashes: collections.abc.Iterable[int]
    ) -> None:
        """Note prefixes that an engine holds."""
        for prefix in hashes:
            self._engines.setdefault(prefix, set()).add(engine_id)
            self._engines.move_to_end(prefix)
        while len(self._engines) > _MOST_PREFIXES:
            self._engines.popitem(last=False)

    def remove(
        self, engine_id: ids.EngineId, hashes: collections.abc.Iterable[int]
    ) -> None:
        """Note prefixes that an engine dropped."""
        for prefix in hashes:
            self._engines.get(prefix, set()).discard(engine_id)

    def matched(self, hashes: tuple[int, ...]) -> dict[ids.EngineId, float]:
        """Return the part of the prefixes that engines hold, 0 to 1."""
        found: dict[ids.EngineId, float] = {}
        for place, prefix in enumerate(hashes, start=1):
            for engine_id in self._engines.get(prefix, ()):
                found[engine_id] = place / len(hashes)
        return found
