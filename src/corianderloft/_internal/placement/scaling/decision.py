"""Decides which engines of one service are ordered.

Load that this responds to: demand that changes slowly, bursts that end before
a new engine serves, and reclaimable engines that a failure domain loses all at
once and that are not available for some time afterwards.
"""

import collections.abc
import math

from corianderloft._internal.models import ids
from corianderloft._internal.models import routing
from corianderloft._internal.placement.scaling import interface
from corianderloft._internal.placement.scaling import mix
from corianderloft._internal.placement.scaling import need
from corianderloft._internal.placement.scaling import state as states

LOWER_INTERVAL_S = 1.0
LOWER_FRACTION = 0.1
"""Interval between removals, and the most engines removed in one: the effect
of each is observed before the next."""

Counts = dict[interface.Pool, int]


def decide(
    observations: interface.Observations,
    declared: routing.Scaling,
    state: states.ServiceState,
    now: float,
) -> interface.Decision:
    """Return the orders for a service.

    More engines are ordered at once. Engines are removed in steps, on-demand
    ones only while reclaimable ones that serve cover the need without them,
    and none below what the highest load of the hold time needs.

    Parameters
    ----------
    observations : Observations
        What is known of the service, already recorded in ``state``.
    declared : Scaling
        Bounds and prices, without a `need.problem`.
    state : ServiceState
        Needs and earlier orders.
    now : float
        Current time in seconds.
    """
    return _Decider(observations, declared, state, now).decide()


class _Decider:
    """Steps of one decision."""

    def __init__(
        self,
        observations: interface.Observations,
        declared: routing.Scaling,
        state: states.ServiceState,
        now: float,
    ) -> None:
        self._declared = declared
        self._state = state
        self._now = now
        self._domains = sorted(declared.prices)
        self._price = need.reclaimable_price(declared)
        self._relative = mix.relative_prices(declared.prices)
        self._counts: Counts = {
            interface.Pool(domain, reclaimable): self._state.pool(
                interface.Pool(domain, reclaimable)
            ).current
            for domain in self._domains
            for reclaimable in (False, True)
        }
        self._reasons: dict[interface.Pool, interface.Reason] = {}
        # Without reclaimable engines the spare ones are on-demand.
        self._firm = state.firm if self._price is not None else state.wanted
        live = sum(self._pool(pool).live for pool in self._counts)
        due = now >= state.lowered_at + LOWER_INTERVAL_S
        self._steps = (
            max(1, int(LOWER_FRACTION * live))
            if due and state.may_lower(declared, now)
            else 0
        )
        self._demand = observations.demand

    def decide(self) -> interface.Decision:
        """Return the orders and the figures behind them."""
        if self._state.knows_demand():
            on_demand, reclaimable = self._plan()
            self._raise_reclaimable(reclaimable)
            self._set_on_demand(on_demand)
            self._lower_reclaimable(reclaimable)
        self._meet_bounds()
        return interface.Decision(
            orders=self._orders(),
            wanted=dict(self._counts),
            figures=interface.Figures(
                present=self._state.present,
                firm=self._state.firm,
                wanted=self._state.wanted,
                urgent=self._state.urgent,
                on_demand=self._sum(self._counts, False),
                reclaimable=self._sum(self._counts, True),
            ),
        )

    def _pool(self, pool: interface.Pool) -> states.PoolState:
        return self._state.pool(pool)

    def _of_kind(self, reclaimable: bool) -> list[interface.Pool]:
        return [
            pool for pool in self._counts if pool.reclaimable is reclaimable
        ]

    def _sum(self, counts: Counts, reclaimable: bool) -> int:
        return sum(counts[pool] for pool in self._of_kind(reclaimable))

    def _by_domain(
        self,
        reclaimable: bool,
        count: collections.abc.Callable[[interface.Pool], int],
    ) -> dict[ids.FailureDomain, int]:
        return {
            pool.domain: count(pool) for pool in self._of_kind(reclaimable)
        }

    def _expected(self, pool: interface.Pool) -> int:
        """Return the engines that run or are expected to come."""
        found = self._pool(pool)
        expected = found.live + found.pending(self._now)
        # The ones that are ordered now come as well.
        return expected + max(0, self._counts[pool] - found.current)

    def _settled(self, pool: interface.Pool) -> int:
        """Return the engines that serve and are not being removed."""
        return min(self._pool(pool).settled(), self._counts[pool])

    def _plan(self) -> tuple[int, dict[ids.FailureDomain, int]]:
        """Return the on-demand engines, and the reclaimable ones by domain.

        That is what the orders approach; the engines that are there decide
        when on-demand ones are removed.
        """
        pools = self._of_kind(True) if self._price is not None else []
        open_domains = [
            pool.domain
            for pool in pools
            if self._pool(pool).dependable(self._now)
        ]
        total = max(1, math.ceil(self._state.wanted))
        if self._price is None or not open_domains:
            return 1, {}
        on_demand, reclaimable = mix.plan(
            total,
            self._state.urgent,
            self._price,
            open_domains,
            self._declared.prices,
        )
        fixed = sum(
            self._pool(pool).live
            for pool in pools
            if pool.domain not in open_domains
        )
        limits = {
            domain: max(
                0,
                self._declared.max_engines
                - self._counts[interface.Pool(domain, False)],
            )
            for domain in open_domains
        }
        return on_demand, mix.allocate(
            max(0, reclaimable - fixed), limits, self._declared.prices
        )

    def _raise_reclaimable(
        self, planned: dict[ids.FailureDomain, int]
    ) -> None:
        for domain, count in planned.items():
            pool = interface.Pool(domain, True)
            if count > self._counts[pool]:
                self._change(pool, count, interface.Reason.DEMAND)

    def _set_on_demand(self, planned: int) -> None:
        """Raise or lower the on-demand engines.

        They are raised for what reclaimable engines, including those expected
        to come, do not cover, and lowered to what those that serve do not
        cover. In between they stay as they are.
        """
        expected = self._by_domain(True, self._expected)
        raise_to = self._on_demand_for(planned, expected, self._lasting())
        missing = raise_to - sum(map(self._expected, self._of_kind(False)))
        for _ in range(missing):
            if not self._add_on_demand():
                break
        if missing > 0:
            return
        settled = self._by_domain(True, self._settled)
        lower_to = self._on_demand_for(planned, settled, self._firm)
        while self._steps and self._sum(self._counts, False) > lower_to:
            if not self._remove_on_demand(settled):
                break

    def _lasting(self) -> float:
        """Return what on-demand engines are ordered for, in engines."""
        available = self._price is not None and any(
            self._pool(pool).dependable(self._now)
            for pool in self._of_kind(True)
        )
        if not available:
            return self._firm
        return self._state.lasting(self._declared, self._now)

    def _on_demand_for(
        self,
        planned: int,
        reclaimable: dict[ids.FailureDomain, int],
        needed: float,
    ) -> int:
        """Return the on-demand engines that are needed beside others.

        After the loss of all reclaimable engines of a failure domain, the
        rest carries the present load, and with one engine less the most
        urgent class.
        """
        kept = max(
            self._state.urgent + 1,
            self._state.recent(self._declared, self._now),
        )
        uncovered = max(
            kept - mix.survivors(reclaimable),
            needed - sum(reclaimable.values()),
        )
        return max(planned, math.ceil(uncovered))

    def _add_on_demand(self) -> bool:
        """Order one more on-demand engine; return False without room."""
        rooms = {
            pool.domain: pool
            for pool in self._of_kind(False)
            if self._pool(pool).dependable(self._now)
            and self._counts[pool] < self._on_demand_limit(pool.domain)
        }
        if not rooms:
            return False
        counts = {domain: self._counts[pool] for domain, pool in rooms.items()}
        pool = rooms[mix.cheapest(rooms, counts, self._relative)]
        self._change(pool, self._counts[pool] + 1, interface.Reason.DEMAND)
        return True

    def _on_demand_limit(self, domain: ids.FailureDomain) -> int:
        """Return how many on-demand engines a failure domain may have.

        Reclaimable ones that are ordered but not available make room.
        """
        pool = interface.Pool(domain, True)
        held = self._counts[pool]
        if not self._pool(pool).dependable(self._now):
            held = min(held, self._pool(pool).live)
        return max(0, self._declared.max_engines - held)

    def _remove_on_demand(self, settled: dict[ids.FailureDomain, int]) -> bool:
        """Remove one on-demand engine; return False if none may go."""
        pools = {
            pool.domain: pool
            for pool in self._of_kind(False)
            if self._counts[pool] > 0
            and self._counts[pool] + settled[pool.domain]
            > self._declared.min_engines
            and self._may_go(pool, max(self._firm, self._state.present))
        }
        if not pools:
            return False
        counts = {domain: self._counts[pool] for domain, pool in pools.items()}
        pool = pools[mix.dearest(pools, counts, self._relative)]
        covered = self._firm > self._sum(self._counts, False) - 1
        reasons = interface.Reason
        self._lower(pool, reasons.REPLACED if covered else reasons.SURPLUS)
        return True

    def _lower_reclaimable(
        self, planned: dict[ids.FailureDomain, int]
    ) -> None:
        """Remove reclaimable engines beyond the plan."""
        floor = max(self._state.wanted, self._state.present)
        # A domain outside the plan keeps its order, within the part that it
        # may have, for when its engines are available again.
        kept = math.ceil(mix.MAX_SHARE * math.ceil(self._state.wanted))
        if self._price is None:
            kept = 0
        for domain in self._domains:
            count = planned.get(domain, kept)
            pool = interface.Pool(domain, True)
            while (
                self._steps
                and self._counts[pool] > count
                and self._counts[pool]
                + self._counts[interface.Pool(domain, False)]
                > self._declared.min_engines
                and self._may_go(pool, floor)
            ):
                self._lower(pool, interface.Reason.SURPLUS)

    def _may_go(self, pool: interface.Pool, floor: float) -> bool:
        """Return whether a pool may be one smaller.

        That is so if the engines that serve without it are enough, or if the
        engine has not come.
        """
        if self._counts[pool] > self._pool(pool).live:
            return True
        return sum(map(self._settled, self._counts)) - 1 >= floor

    def _lower(self, pool: interface.Pool, reason: interface.Reason) -> None:
        self._steps -= 1
        self._change(pool, self._counts[pool] - 1, reason)

    def _change(
        self, pool: interface.Pool, count: int, reason: interface.Reason
    ) -> None:
        self._counts[pool] = count
        self._reasons[pool] = reason

    def _meet_bounds(self) -> None:
        """Keep each failure domain within the declared bounds."""
        reasons = interface.Reason
        for domain in self._domains:
            on_demand = interface.Pool(domain, False)
            reclaimable = interface.Pool(domain, True)
            found = self._pool(reclaimable)
            usable = self._price is not None and found.dependable(self._now)
            held = self._counts[reclaimable]
            if not usable:
                held = min(held, found.live)
            missing = self._declared.min_engines - (
                self._counts[on_demand] + held
            )
            if missing > 0:
                pool = reclaimable if usable else on_demand
                self._change(
                    pool, self._counts[pool] + missing, reasons.MINIMUM
                )
            excess = (
                self._counts[on_demand]
                + self._counts[reclaimable]
                - self._declared.max_engines
            )
            if excess > 0:
                least = min(found.live, self._counts[reclaimable])
                dropped = min(excess, self._counts[reclaimable] - least)
                if dropped:
                    self._change(
                        reclaimable,
                        self._counts[reclaimable] - dropped,
                        reasons.ROOM,
                    )
                self._cut(on_demand, reclaimable, excess - dropped)

    def _cut(
        self,
        on_demand: interface.Pool,
        reclaimable: interface.Pool,
        excess: int,
    ) -> None:
        """Remove engines beyond the maximum, the on-demand ones first."""
        for pool in (on_demand, reclaimable):
            dropped = min(excess, self._counts[pool])
            if dropped > 0:
                excess -= dropped
                self._change(
                    pool,
                    self._counts[pool] - dropped,
                    interface.Reason.SURPLUS,
                )

    def _orders(self) -> tuple[interface.Order, ...]:
        """Return the orders to send now: less first where room is needed."""
        orders = []
        for pool, count in self._counts.items():
            found = self._pool(pool)
            if self._now < found.retry_at:
                continue
            if count != found.current:
                if count > found.current and self._now < (
                    found.unavailable_until
                ):
                    continue
                reason = self._reasons[pool]
                orders.append(interface.Order(pool, count, reason))
            elif found.repeat_due(self._declared, self._now):
                orders.append(
                    interface.Order(pool, count, interface.Reason.REPEATED)
                )
        return tuple(sorted(orders, key=self._sequence))

    def _sequence(self, order: interface.Order) -> tuple[int, str, bool]:
        """Return the position of an order: room, then more, then fewer."""
        if order.reason is interface.Reason.ROOM:
            place = 0
        elif order.count >= self._pool(order.pool).current:
            place = 1
        else:
            place = 2
        return (place, order.pool.domain, order.pool.reclaimable)
