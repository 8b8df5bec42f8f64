"""Limiter ``adaptive``: shares, spare slots of others, room for crests."""

import collections.abc
import math

from corianderloft._internal.decisions import demand
from corianderloft._internal.decisions import engines
from corianderloft._internal.decisions import plugins
from corianderloft._internal.decisions import waiting

_GAIN = 0.5
"""Part of its even share of reported free slots that a host takes."""

_DECAY = 0.5
"""What remains of borrowed slots when an engine reports itself full."""

_BUSY = 0.9
"""Part of its slots in use from which an engine counts as full."""


@plugins.LIMITERS.register('adaptive')
class Adaptive:
    """Gives each host a share and lets it borrow what stands idle."""

    def __init__(self, cfg: plugins.Settings) -> None:
        self._hosts = 1
        self._crest = cfg.crest_factor
        self._overcommit = cfg.overcommit

    def use_host_count(self, count: int) -> None:
        """Note how many live hosts share the engines."""
        self._hosts = max(1, count)

    def has_room(self, engine: engines.EngineView, lane: waiting.Lane) -> bool:
        """Return whether the lane and those above leave it room."""
        if engine.in_flight < engine.most:
            return True
        return engine.in_flight_at_or_above(lane) < engine.most

    def may_start(
        self, lane: waiting.Lane, load: demand.Demand, capacity: float
    ) -> bool:
        """Return whether this host's slots hold one more of ``lane``.

        Only the lane's own and higher work counts: an engine lets higher
        priorities go before running lower ones.
        """
        if load.has_below(lane):
            capacity *= self._overcommit
        reserve = load.reserve_above(lane, self._crest)
        return load.in_flight_at_or_above(lane) + reserve < max(1.0, capacity)

    def capacity(
        self, live: collections.abc.Iterable[engines.EngineView]
    ) -> float:
        """Return the slots that this host may use now."""
        return sum(map(self._share, live))

    def _share(self, engine: engines.EngineView) -> float:
        """Return this host's part of an engine, and note its bound."""
        own = engine.backend.slots / self._hosts + engine.borrowed
        most = math.ceil(max(1.0, own * self._overcommit))
        engine.most = min(most, engine.backend.slots)
        return own

    def reported(self, engine: engines.EngineView) -> None:
        """Borrow what an engine reports as free; give back when full."""
        report = engine.report
        if report is None:
            return
        slots = engine.backend.slots
        free = slots * _BUSY - report.running - report.waiting
        if free > 0:
            engine.borrowed += _GAIN * free / self._hosts
            engine.borrowed = min(engine.borrowed, slots / 2)
        else:
            engine.borrowed *= _DECAY

    def failed(self, engine: engines.EngineView) -> None:
        """Give back what was borrowed."""
        engine.borrowed = 0.0
