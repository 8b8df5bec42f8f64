"""Arithmetic of ordered engines over a curve of demand, in virtual time.

No requests are simulated: what callers get is the engines that serve, compared
with the engines that the demand keeps busy.
"""

import dataclasses

from corianderloft._internal.models import ids
from corianderloft._internal.models import routing
from corianderloft._internal.placement import demand_reports
from corianderloft._internal.placement.scaling import decision
from corianderloft._internal.placement.scaling import interface
from corianderloft._internal.placement.scaling import state

STEP_S = 0.5
REPORT_DELAY_S = 1.5
RATE = 1000.0
"""Prompt tokens that one engine prefills in a second."""

EAST, NORTH, WEST = map(ids.FailureDomain, ('east', 'north', 'west'))
PRICES = {EAST: 1.0, NORTH: 0.8, WEST: 1.25}


def scaling(least=1, most=40, boot_time=4.0, price=0.15, prices=PRICES):
    return routing.Scaling(least, most, boot_time, price, prices)


def pool(domain, reclaimable):
    return interface.Pool(domain, reclaimable)


def observations(load, supply, urgent=0.3, hosts=5, coverage=1.0):
    """Return observations of a demand that keeps ``load`` engines busy."""
    demand = demand_reports.ServiceDemand(
        prefill_tokens_per_s=load * RATE, urgent_fraction=urgent, hosts=hosts
    )
    capacity = interface.Capacity(RATE, 0.0, 48)
    return interface.Observations(demand, coverage, capacity, supply)


@dataclasses.dataclass
class Day:
    """A platform, a holder of the duty and a curve of demand.

    Attributes
    ----------
    load : callable
        Engines that the demand keeps busy, by time in seconds.
    declared : Scaling
        Bounds and prices.
    refused : callable
        Whether a pool has no engines available, by pool and time.
    lost : callable
        Whether an order or its reply is lost, by time: 'order' or 'reply'.
    duds : dict
        Ordered engines that never come, by pool.
    urgent : float
        Fraction of the demand of the most urgent class.
    spared : list
        Engines beyond the need that were left by each removal.
    """

    load: object
    declared: routing.Scaling = dataclasses.field(default_factory=scaling)
    refused: object = lambda pool, now: False
    lost: object = lambda now: None
    duds: dict = dataclasses.field(default_factory=dict)
    urgent: float = 0.3
    spared: list = dataclasses.field(default_factory=list)

    def __post_init__(self):
        self.now = 0.0
        self.ready = {
            pool(domain, kind): []
            for domain in self.declared.prices
            for kind in (False, True)
        }
        self.reclaimed = {}
        self.sent = []
        self.margins = []
        self.cost = 0.0
        self.take_over()

    def take_over(self):
        """Let a new host hold the duty."""
        self.state = state.ServiceState(self.now)

    def start(self, count):
        """Let on-demand engines run in each failure domain from the start."""
        for domain in self.declared.prices:
            self.ready[pool(domain, False)] = [0.0] * count
        return self

    def reclaim(self, domain):
        """Take all reclaimable engines of a failure domain away."""
        self.reclaimed[domain] = self.now + 2.5
        self.ready[pool(domain, True)] = []

    def live(self, key):
        return sum(ready <= self.now for ready in self.ready[key])

    def total(self, reclaimable=None):
        return sum(
            self.live(key)
            for key in self.ready
            if reclaimable in (None, key.reclaimable)
        )

    def run(self, until):
        """Decide, order and count until a time."""
        while self.now < until:
            self._step()
            self.now += STEP_S
        return self

    def _step(self):
        supply = {
            key: interface.Supply(
                self.live(key),
                int(
                    key.reclaimable
                    and self.reclaimed.get(key.domain, -1) > self.now
                ),
            )
            for key in self.ready
        }
        seen = observations(
            self.load(max(0.0, self.now - REPORT_DELAY_S)), supply, self.urgent
        )
        self.state.observe(seen, self.declared, self.now)
        decided = decision.decide(seen, self.declared, self.state, self.now)
        for order in decided.orders:
            result = self._order(order)
            self.sent.append((self.now, order, result))
            self.state.record(order, result, self.declared, self.now)
        self.margins.append((self.now, self.total() - self.load(self.now)))
        self.cost += STEP_S * sum(
            len(ready)
            * self.declared.prices[key.domain]
            * ((self.declared.reclaimable_price or 1) ** key.reclaimable)
            for key, ready in self.ready.items()
        )

    def _order(self, order):
        results = interface.Result
        ready = self.ready[order.pool]
        fate = self.lost(self.now)
        if fate == 'order':
            return results.UNKNOWN
        if order.count > len(ready):
            if self.refused(order.pool, self.now):
                return results.NONE_AVAILABLE
            due = self.now + self.declared.boot_time
            added = order.count - len(ready)
            duds = min(added, self.duds.get(order.pool, 0))
            ready += [due] * (added - duds) + [float('inf')] * duds
        if order.count < len(ready):
            del ready[order.count :]
            kept = self.state.wanted if order.pool.reclaimable else 0.0
            kept = max(kept, self.state.firm)
            self.spared.append(self.total() - kept)
        return results.UNKNOWN if fate == 'reply' else results.ACCEPTED

    def least_margin(self, start=0.0, end=float('inf')):
        """Return the fewest idle engines within a time."""
        return min(
            margin for now, margin in self.margins if start <= now < end
        )
