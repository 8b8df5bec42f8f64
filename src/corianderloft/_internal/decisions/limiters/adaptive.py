"""Limiter ``adaptive``: even shares, borrowed idle slots, peak reserves."""

import collections.abc
import math

from corianderloft._internal.decisions import demand
from corianderloft._internal.decisions import engines
from corianderloft._internal.decisions import plugins
from corianderloft._internal.decisions import waiting

_BORROW_RATIO = 0.5
"""Fraction of its even share of free slots that a host borrows per report."""

_BORROW_DECAY_RATIO = 0.5
"""Fraction of borrowed slots kept when an engine reports that it is full."""

_FULL_ENGINE_RATIO = 0.9
"""Slot utilization from which an engine counts as full."""


@plugins.LIMITERS.register('adaptive')
class Adaptive:
    """Gives each host an even share and lets it borrow idle slots."""

    def __init__(self, cfg: plugins.Settings) -> None:
        self._host_count = 1
        self._peak_factor = cfg.crest_factor
        self._overcommit = cfg.overcommit

    def use_host_count(self, count: int) -> None:
        """Set the number of live hosts that share the engines."""
        self._host_count = max(1, count)

    def has_room(self, engine: engines.EngineView, lane: waiting.Lane) -> bool:
        """Return whether ``lane`` and higher lanes leave a free slot."""
        if engine.in_flight < engine.max_in_flight:
            return True
        return engine.in_flight_at_or_above(lane) < engine.max_in_flight

    def may_start(
        self, lane: waiting.Lane, load: demand.Demand, capacity: float
    ) -> bool:
        """Return whether this host has a slot for a request of ``lane``.

        Only work of this lane and higher ones counts, because engines
        schedule higher priorities ahead of running lower ones.
        """
        if load.has_lower_tier(lane):
            capacity *= self._overcommit
        reserve = load.reserved_for_higher(lane, self._peak_factor)
        return load.in_flight_at_or_above(lane) + reserve < max(1.0, capacity)

    def capacity(
        self, live: collections.abc.Iterable[engines.EngineView]
    ) -> float:
        """Return the slots that this host may use now."""
        return sum(map(self._share, live))

    def _share(self, engine: engines.EngineView) -> float:
        """Return this host's slots on an engine and set its limit."""
        usable = (
            engine.backend.slots / self._host_count + engine.borrowed_slots
        )
        max_in_flight = math.ceil(max(1.0, usable * self._overcommit))
        engine.max_in_flight = min(max_in_flight, engine.backend.slots)
        return usable

    def on_load_report(self, engine: engines.EngineView) -> None:
        """Borrow reported free slots; return them if the engine is full."""
        report = engine.report
        if report is None:
            return
        slots = engine.backend.slots
        free = slots * _FULL_ENGINE_RATIO - report.running - report.waiting
        if free > 0:
            engine.borrowed_slots += _BORROW_RATIO * free / self._host_count
            engine.borrowed_slots = min(engine.borrowed_slots, slots / 2)
        else:
            engine.borrowed_slots *= _BORROW_DECAY_RATIO

    def on_failed(self, engine: engines.EngineView) -> None:
        """Return all borrowed slots."""
        engine.borrowed_slots = 0.0
