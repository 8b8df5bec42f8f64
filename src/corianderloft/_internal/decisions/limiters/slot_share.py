"""Limiter ``slot_share``: an even, fixed share of slots; a baseline."""

import collections.abc

from corianderloft._internal.decisions import demand
from corianderloft._internal.decisions import engines
from corianderloft._internal.decisions import plugins
from corianderloft._internal.decisions import waiting


@plugins.LIMITERS.register('slot_share')
class SlotShare:
    """Gives each live host the same share of an engine's slots."""

    def __init__(self, cfg: plugins.Settings) -> None:
        del cfg
        self._hosts = 1

    def use_host_count(self, count: int) -> None:
        """Note how many live hosts share the engines."""
        self._hosts = max(1, count)

    def has_room(self, engine: engines.EngineView, lane: waiting.Lane) -> bool:
        """Return whether the share, at least one slot, is not used up."""
        share = max(1.0, engine.backend.slots / self._hosts)
        return engine.in_flight < share

    def may_start(
        self, lane: waiting.Lane, load: demand.Demand, capacity: float
    ) -> bool:
        """Return True: no lane holds another back."""
        return True

    def capacity(
        self, live: collections.abc.Iterable[engines.EngineView]
    ) -> float:
        """Return this host's share of all slots."""
        return sum(e.backend.slots for e in live) / self._hosts

    def reported(self, engine: engines.EngineView) -> None:
        """Ignore reports."""

    def failed(self, engine: engines.EngineView) -> None:
        """Ignore failures."""
