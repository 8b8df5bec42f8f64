"""Limiter ``slot_share``: baseline with an even, fixed share of slots."""

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
        self._host_count = 1

    def use_host_count(self, count: int) -> None:
        """Set the number of live hosts that share the engines."""
        self._host_count = max(1, count)

    def has_room(self, engine: engines.EngineView, lane: waiting.Lane) -> bool:
        """Return whether the share, at least one slot, has a free slot."""
        share = max(1.0, engine.backend.slots / self._host_count)
        return engine.in_flight < share

    def may_start(
        self, lane: waiting.Lane, load: demand.Demand, capacity: float
    ) -> bool:
        """Return True: lanes do not limit each other."""
        return True

    def capacity(
        self, live: collections.abc.Iterable[engines.EngineView]
    ) -> float:
        """Return this host's share of all slots."""
        return sum(e.backend.slots for e in live) / self._host_count

    def on_load_report(self, engine: engines.EngineView) -> None:
        """Ignore load reports."""

    def on_failed(self, engine: engines.EngineView) -> None:
        """Ignore failures."""
