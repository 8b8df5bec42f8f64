"""A share of starts for every lane, however much higher work waits."""

from corianderloft._internal.decisions import demand as demand_module
from corianderloft._internal.decisions import plugins
from corianderloft._internal.decisions import waiting


class Guarantee:
    """Says which lane is owed the next free slot.

    All started work earns credit for the lanes below it. A lane that has
    waited ``guaranteed_after`` without a start may spend its credit; one
    that has waited ``guaranteed_within`` needs none. It takes a turn at a
    free slot and sheds nothing.
    """

    def __init__(self, cfg: plugins.Settings) -> None:
        self._cfg = cfg

    def started(
        self,
        waiter: waiting.Waiter,
        demand: demand_module.Demand,
        guaranteed: bool,
    ) -> None:
        """Earn credit for lower lanes, or spend a lane's own."""
        if guaranteed:
            own = demand.of(waiter.lane)
            own.credit = max(-waiter.cost, own.credit - waiter.cost)
        for key, lane in demand.lanes.items():
            if key > waiter.lane and lane.waiting:
                lane.credit += self._cfg.guaranteed_part * waiter.cost

    def owed(
        self, demand: demand_module.Demand, now: float
    ) -> waiting.Lane | None:
        """Return the lane that has waited longest beyond its bound."""
        owed = [
            (lane.unserved_since, key)
            for key, lane in demand.lanes.items()
            if lane.waiting and self._is_owed(lane, now)
        ]
        return min(owed)[1] if owed else None

    def _is_owed(self, lane: demand_module.LaneDemand, now: float) -> bool:
        waited = now - lane.unserved_since
        if waited < self._cfg.guaranteed_after:
            return False
        if waited >= self._cfg.guaranteed_within:
            return True
        return lane.credit > 0
