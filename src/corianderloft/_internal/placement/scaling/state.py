"""What the host that orders engines remembers of a service.

It is kept in memory only. A new holder starts without it and derives from the
registered engines what it can.
"""

import collections
import dataclasses
import math

from corianderloft._internal.models import routing
from corianderloft._internal.placement import demand_reports
from corianderloft._internal.placement.scaling import interface
from corianderloft._internal.placement.scaling import need

HOLD_BOOT_TIMES = 4.0
MIN_HOLD_S = 8.0
MAX_HOLD_S = 120.0
"""Time for which the highest need counts, in boot times of an engine, and its
bounds: an engine that is removed and ordered again is paid for its boot time
and missing meanwhile, while bursts of some seconds come again."""

MISSING_BOOT_TIMES = 2.0
MIN_MISSING_S = 3.0
"""Time after which an ordered engine counts as missing, in boot times, and
the time that an order and a registration take at least."""

SETTLE_S = 2.0
"""Time for which an engine must be live before others are removed for it: by
then all hosts use it."""

MIN_PAUSE_S = 2.0
MAX_PAUSE_S = 10.0
"""Bounds on the pause after which engines that were not available are ordered
again. It is one boot time within these bounds."""

RETRY_S = 1.0
"""Pause after an order that failed otherwise."""

REJECTED_PAUSE_S = 30.0
"""Pause after an order that the platform does not accept as such."""

MIN_START_S = 3.0
"""Time for which a new holder removes nothing, if engines boot faster: by then
all hosts have reported their demand."""

REFUSED_FRACTION = 0.01
MAX_CORRECTION = 2.0
CORRECTION_GROWTH_PER_S = 0.1
CORRECTION_DECAY_S = 60.0
"""If more than this fraction of the requests is refused although all needed
engines are live, engines are slower than estimated or unevenly loaded. The
need is then multiplied by a correction, which grows and decays at this pace
up to this bound."""

MAX_START_SPARE = 1.0
"""Bound on the spare engines before any demand is known, as a multiple of the
registered ones."""

MIN_COVERAGE = 0.8
"""Fraction of the hosts that must have reported for engines to be removed."""


def hold_time(declared: routing.Scaling) -> float:
    """Return the time for which the highest need counts, in seconds."""
    return min(
        MAX_HOLD_S, max(MIN_HOLD_S, HOLD_BOOT_TIMES * declared.boot_time)
    )


def missing_time(declared: routing.Scaling) -> float:
    """Return the time after which an ordered engine counts as missing."""
    return max(MIN_MISSING_S, MISSING_BOOT_TIMES * declared.boot_time)


def pause_time(declared: routing.Scaling) -> float:
    """Return the pause after which unavailable engines are ordered again."""
    return min(MAX_PAUSE_S, max(MIN_PAUSE_S, declared.boot_time))


class PoolState:
    """Orders for a pool and what came of them.

    Attributes
    ----------
    live : int
        Engines that were live when last observed.
    ordered : int or None
        Last count that the platform accepted or may have accepted; None if
        this holder has ordered none.
    unavailable_until : float
        Until when no engines are expected to be available.
    reclaimed_at : float
        When engines with a notice were last observed.
    retry_at : float
        When the next order may be sent.
    missed : bool
        Whether ordered engines did not appear in time.
    uncertain : bool
        Whether the last order may not have taken effect.
    """

    def __init__(self) -> None:
        self.live = 0
        self.ordered: int | None = None
        self.unavailable_until = -math.inf
        self.reclaimed_at = -math.inf
        self.retry_at = -math.inf
        self.missed = False
        self.uncertain = False
        self._ordered_at = -math.inf
        self._complete = True
        self._settled = 0
        self._history: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    @property
    def current(self) -> int:
        """Engines that are ordered, as far as that is known.

        Before the first order these are the most that were live in the hold
        time: entries of engines that run may be missing for a time, and an
        order for those that are listed would end the others.
        """
        if self.ordered is not None:
            return self.ordered
        return max((live for _, live in self._history), default=0)

    def observe(
        self, supply: interface.Supply, declared: routing.Scaling, now: float
    ) -> None:
        """Record the engines of the pool.

        Parameters
        ----------
        supply : Supply
            The engines.
        declared : Scaling
            Bounds and prices.
        now : float
            Current time in seconds.
        """
        self.live = supply.live
        self._history.append((now, supply.live))
        while self._history[0][0] < now - hold_time(declared):
            self._history.popleft()
        self._settled = min(
            live for at, live in self._history if at >= now - SETTLE_S
        )
        lost = self.ordered is None or self.live < self.ordered
        if supply.reclaimed:
            self.reclaimed_at = now
        if supply.reclaimed and lost:
            self.unavailable_until = max(
                self.unavailable_until, now + pause_time(declared)
            )
        if self.live >= self.current:
            self._complete = True
            self.missed = False
        elif not self._complete and now >= self._ordered_at + missing_time(
            declared
        ):
            self.missed = True

    def dependable(self, now: float) -> bool:
        """Return whether engines that are ordered are expected to come."""
        return now >= self.unavailable_until and not self.missed

    def pending(self, now: float) -> int:
        """Return the ordered engines that are still expected.

        Engines that ended by themselves are: their order is repeated.
        """
        if not self.dependable(now):
            return 0
        return max(0, self.current - self.live)

    def settled(self) -> int:
        """Return the engines that stay and that all hosts use."""
        return min(self._settled, self.current)

    def repeat_due(self, declared: routing.Scaling, now: float) -> bool:
        """Return whether the last order should be sent again."""
        if now < self.unavailable_until:
            return False
        if self.uncertain:
            return now >= self.retry_at
        return self.live != self.current and (
            now >= self._ordered_at + missing_time(declared)
        )

    def record(
        self,
        count: int,
        result: interface.Result,
        declared: routing.Scaling,
        now: float,
    ) -> None:
        """Record what became of an order.

        Parameters
        ----------
        count : int
            Engines that were ordered.
        result : Result
            What became of it.
        declared : Scaling
            Bounds and prices.
        now : float
            Current time in seconds.
        """
        results = interface.Result
        if result in (results.ACCEPTED, results.UNKNOWN):
            self.ordered = count
            self._ordered_at = now
            self._complete = self.live >= count
        self.uncertain = result is results.UNKNOWN
        pause = {
            results.ACCEPTED: 0.0,
            results.NONE_AVAILABLE: pause_time(declared),
            results.REJECTED: REJECTED_PAUSE_S,
        }.get(result, RETRY_S)
        self.retry_at = now + pause
        if result in (results.NONE_AVAILABLE, results.REJECTED):
            self.unavailable_until = now + pause


@dataclasses.dataclass(frozen=True)
class _Sample:
    """Needed engines at one moment."""

    at: float
    present: float
    firm: float
    wanted: float
    urgent: float


class ServiceState:
    """Needs and orders of one service since this host holds the duty.

    Attributes
    ----------
    started_at : float
        When it was created, in seconds.
    present : float
        Engines that are needed at present, loaded as at a peak.
    steady : float or None
        Average of that over the hold time; None before the first report.
    correction : float
        Factor of the needs; more than 1 while requests are refused although
        all needed engines are live.
    lowered_at : float
        When engines were last removed.
    """

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.present = 0.0
        self.steady: float | None = None
        self.correction = 1.0
        self.lowered_at = -math.inf
        self._covered = False
        self._observed_at = now
        self._samples: collections.deque[_Sample] = collections.deque()
        self._pools: dict[interface.Pool, PoolState] = {}

    def pool(self, pool: interface.Pool) -> PoolState:
        """Return the state of a pool."""
        return self._pools.setdefault(pool, PoolState())

    def observe(
        self,
        observations: interface.Observations,
        declared: routing.Scaling,
        now: float,
    ) -> None:
        """Record observations; call it before each decision.

        Parameters
        ----------
        observations : Observations
            What is known of the service.
        declared : Scaling
            Bounds and prices.
        now : float
            Current time in seconds.
        """
        for domain in declared.prices:
            for reclaimable in (False, True):
                pool = interface.Pool(domain, reclaimable)
                supply = observations.supply.get(pool, interface.NO_SUPPLY)
                self.pool(pool).observe(supply, declared, now)
        if not self._samples:
            self._samples.append(self._first_sample(declared, now))
        self._covered = observations.coverage >= MIN_COVERAGE
        if observations.demand.hosts:
            self._observe_demand(observations, declared, now)
        cutoff = now - hold_time(declared)
        while len(self._samples) > 1 and self._samples[0].at < cutoff:
            self._samples.popleft()
        self._observed_at = now

    def _first_sample(self, declared: routing.Scaling, now: float) -> _Sample:
        """Return the need before any demand is known.

        The engines that are there are taken to be needed. As long as nobody
        has ordered reclaimable ones, they are taken for a steady load that
        has no spare engines yet: a burst may come with the first requests.
        """
        live = float(sum(pool.live for pool in self._pools.values()))
        wanted = live
        if not any(
            pool.live for key, pool in self._pools.items() if key.reclaimable
        ):
            wanted += live * min(MAX_START_SPARE, need.spare_ratio(declared))
        return _Sample(now, live, live, wanted, 0.0)

    def _observe_demand(
        self,
        observations: interface.Observations,
        declared: routing.Scaling,
        now: float,
    ) -> None:
        demand, capacity = observations.demand, observations.capacity
        # Hosts that are not heard from have as much demand as the others.
        scale = 1 / min(1.0, max(MIN_COVERAGE, observations.coverage))
        elapsed = max(0.0, now - self._observed_at)
        self._correct(demand, elapsed)
        scale *= self.correction
        self.present = scale * need.at_peak(demand, capacity)
        if self.steady is None:
            self.steady = self.present
        weight = 1 - math.exp(-elapsed / hold_time(declared))
        self.steady += weight * (self.present - self.steady)
        backlog = need.backlog(demand, capacity, declared.boot_time)
        firm = scale * (need.planned(demand, capacity) + backlog)
        spare = self.steady * (1 + need.spare_ratio(declared))
        urgent = self.steady * demand.urgent_fraction
        self._samples.append(
            _Sample(now, self.present, firm, max(firm, spare), urgent)
        )

    def _correct(
        self, demand: demand_reports.ServiceDemand, elapsed: float
    ) -> None:
        """Update the correction."""
        live = sum(pool.live for pool in self._pools.values())
        refused = demand.refused_per_s > REFUSED_FRACTION * (
            demand.arrivals_per_s
        )
        if refused and live >= self.firm:
            growth = 1 + CORRECTION_GROWTH_PER_S * elapsed
            self.correction = min(MAX_CORRECTION, self.correction * growth)
        elif not refused:
            decay = math.exp(-elapsed / CORRECTION_DECAY_S)
            self.correction = 1 + (self.correction - 1) * decay

    @property
    def firm(self) -> float:
        """Highest need of the hold time, in engines."""
        return max((sample.firm for sample in self._samples), default=0.0)

    def lasting(self, declared: routing.Scaling, now: float) -> float:
        """Return what is worth on-demand engines, in engines.

        That is the highest need of one boot time, with their spare. What only
        an earlier peak needed is left to reclaimable engines: on-demand ones
        ordered for it would serve when it is over, at several times the
        price.
        """
        recent = self.recent(declared, now)
        return min(self.firm, (1 + need.SPARE_COST) * recent)

    def recent(self, declared: routing.Scaling, now: float) -> float:
        """Return the highest present need of one boot time, in engines."""
        since = now - declared.boot_time
        return max(
            (s.present for s in self._samples if s.at >= since),
            default=self.present,
        )

    @property
    def wanted(self) -> float:
        """The same with spare engines."""
        return max((sample.wanted for sample in self._samples), default=0.0)

    @property
    def urgent(self) -> float:
        """The need of the most urgent class alone, without its bursts."""
        return max((sample.urgent for sample in self._samples), default=0.0)

    def knows_demand(self) -> bool:
        """Return whether any host has reported its demand."""
        return self.steady is not None

    def may_lower(self, declared: routing.Scaling, now: float) -> bool:
        """Return whether engines may be removed.

        Not before all hosts have reported and engines ordered by an earlier
        holder have come, and not for some time after engines were reclaimed:
        those of another failure domain may follow.
        """
        settled_at = self.started_at + max(MIN_START_S, declared.boot_time)
        reclaimed_at = max(
            (pool.reclaimed_at for pool in self._pools.values()),
            default=-math.inf,
        )
        return (
            self._covered
            and self.knows_demand()
            and now >= settled_at
            and now >= reclaimed_at + hold_time(declared)
        )

    def record(
        self,
        order: interface.Order,
        result: interface.Result,
        declared: routing.Scaling,
        now: float,
    ) -> None:
        """Record what became of an order.

        Parameters
        ----------
        order : Order
            The order.
        result : Result
            What became of it.
        declared : Scaling
            Bounds and prices.
        now : float
            Current time in seconds.
        """
        if order.count < self.pool(order.pool).current:
            self.lowered_at = now
        self.pool(order.pool).record(order.count, result, declared, now)
