"""Guarantees each lane a share of starts to prevent starvation."""

from corianderloft._internal.decisions import demand as demand_module
from corianderloft._internal.decisions import plugins
from corianderloft._internal.decisions import waiting


class Guarantee:
    """Selects the lane that must get the next free slot.

    All started work earns credit for the lanes below it. A lane that has
    waited ``guaranteed_after`` without a start may spend its credit; one
    that has waited ``guaranteed_within`` needs none. The guarantee only
    assigns free slots; it sheds and preempts nothing.
    """

    def __init__(self, cfg: plugins.Settings) -> None:
        self._cfg = cfg

    def on_started(
        self,
        waiter: waiting.Waiter,
        demand: demand_module.Demand,
        guaranteed: bool,
    ) -> None:
        """Add credit to lower lanes; charge a guaranteed start."""
        if guaranteed:
            own_lane = demand.for_lane(waiter.lane)
            own_lane.credit = max(-waiter.cost, own_lane.credit - waiter.cost)
        for key, lane in demand.lanes.items():
            if key > waiter.lane and lane.waiting:
                lane.credit += self._cfg.guaranteed_part * waiter.cost

    def overdue_lane(
        self, demand: demand_module.Demand, now: float
    ) -> waiting.Lane | None:
        """Return the overdue lane that has waited longest, or None."""
        overdue = [
            (lane.unserved_since, key)
            for key, lane in demand.lanes.items()
            if lane.waiting and self._is_overdue(lane, now)
        ]
        return min(overdue)[1] if overdue else None

    def _is_overdue(self, lane: demand_module.LaneDemand, now: float) -> bool:
        waited = now - lane.unserved_since
        if waited < self._cfg.guaranteed_after:
            return False
        if waited >= self._cfg.guaranteed_within:
            return True
        return lane.credit > 0
