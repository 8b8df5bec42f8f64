"""Chooser ``lanes``: separate engines for short and for long prompts.

Prevents two problems: the prefill of long prompts delays the tokens of short
requests in the same batch, and a burst of long prompts fills the engines that
more urgent prompts need.
"""

import collections.abc
import math

from corianderloft._internal.models import ids
from corianderloft._internal.models import instances
from corianderloft._internal.placement import choosers
from corianderloft._internal.placement import engines
from corianderloft._internal.placement import hashing
from corianderloft._internal.placement import interface
from corianderloft._internal.placement import service_view

RELAXED_HEADROOM = 3.0
PRESSED_HEADROOM = 1.0
"""Prefill utilization of the engines for long prompts relative to those for
short ones while no long prompt has to wait and while all of them wait. A
short request should not wait for others to be prefilled, but engines that
are left idle for it must not make long prompts late."""

FULL_PRESSURE_RATIO = 0.375
"""Mean prefill backlog of the engines at which long prompts fully count as
waiting, relative to the tightest of their targets."""

MAX_SHORT_OCCUPANCY = 0.3
"""Fraction of the slots of the short lane that its requests may fill before
it grows, since each running request slows the tokens of the others."""

MIN_SHORT_LANE_RATIO = 0.15
MAX_SHORT_LANE_RATIO = 0.5
"""Bounds on the fraction of the engines that serve short prompts, as long as
there are prompts of both kinds."""

NEGLIGIBLE_WORK_RATIO = 0.001
"""Fraction of the work up to which a kind of prompts gets no engines of its
own: a service with prompts of one kind uses all engines for them."""

SHRINK_S = 4.0
"""Time constant with which the short lane shrinks: an engine that changes
lanes loses the use of the prefixes that it caches. It grows at once."""

LANE_INTERVAL_S = 0.05
"""Time for which the division of the engines is used before it is computed
anew."""

MAX_COMPARED_ENGINES = 8
"""Engines that are compared for one prompt: the first of its lane in the hash
order of its shared prefix, so that a prefix is cached on few engines."""

SAMPLED_ENGINES = 16
"""Further engines that are tried if none of the first ones has memory left."""

LANE_TOLERANCE = 0.25
"""Number of engines that the short lane may lack before it grows."""

MAX_URGENT_WAIT_RATIO = 0.75
"""Longest prefill backlog of an engine that receives one of the most urgent
long prompts, relative to their target."""

MAX_FINAL_WAIT_RATIO = 2.5
"""The same if the prompt would otherwise be refused, since a late answer is
better than none."""

MAX_LONG_WAIT_RATIO = 0.5
"""The same for other long prompts, relative to the target of the most urgent
ones. They are queued at the host instead, so that an engine soon becomes free
for urgent prompts."""

SPILL_AFTER_RATIO = 0.3
"""Fraction of its target that a long prompt waits for the engine that caches
its shared prefix, before it may go to a nearly idle one."""

NEARLY_IDLE_RATIO = 0.1
"""Prefill backlog up to which an engine counts as nearly idle, relative to
the longest one allowed. While all engines are busy, repeating the
prefill of a prefix costs other requests as much as one request gains."""

MAX_SHORT_WAIT_RATIO = 0.5
"""Longest prefill backlog of the short lane, relative to the target of a
short prompt, before it may share an engine with long prompts."""

REPEATED_PREFILL_WEIGHT = 10.0
"""Cost of a repeated prefill of a shared prefix relative to an equally long
wait: it also evicts another prefix from the KV cache."""

OCCUPANCY_WEIGHT = 0.3
"""Cost of an engine with all slots in use, in multiples of the target."""


@interface.CHOOSERS.register('lanes')
class Lanes:
    """Sends a prompt to the engine of its lane with the lowest cost.

    All hosts have nearly the same load figures for each engine, so they
    compute nearly the same lanes without coordination.
    """

    def __init__(self) -> None:
        self._splits: dict[ids.ServiceName, LaneSplit] = {}

    def choose(self, context: interface.Context) -> engines.Engine | None:
        """Return the engine with the lowest cost; None to keep queueing."""
        prompt = context.job.prompt
        if prompt is None:
            return next(iter(context.candidates), None)
        split = self._splits.setdefault(context.job.service, LaneSplit())
        order = _Order(context, prompt, split.short_lane(context))
        if context.long_prompts:
            return _choose_for_long(order)
        return _choose_for_short(order)


class _Order:
    """Engines in the hash order of a prompt's shared prefix, by lane."""

    def __init__(
        self,
        context: interface.Context,
        prompt: instances.Prompt,
        short: collections.abc.Set[engines.Key],
    ) -> None:
        self.context = context
        self.prompt = prompt
        self._short = short
        self._home: engines.Engine | None = None
        self._key = choosers.shared_prefix_id(prompt)
        self._preferred = [
            engine
            for engine in context.view.preferred(self._key)
            if context.usable(engine)
        ]

    def lane(self, short: bool) -> list[engines.Engine]:
        """Return the first engines of a lane; of both if it has none."""
        lane = [
            engine
            for engine in self._preferred
            if (engine.key in self._short) is short
        ]
        if not lane:
            # None of the first engines is in this lane.
            lane = [
                engine
                for engine in self.context.candidates
                if (engine.key in self._short) is short
            ]
        if not lane:
            return self.both()
        found = self._admitted(lane)
        if not found and self.context.admission is not None:
            found = self._admitted(
                engine
                for engine in self._sample()
                if (engine.key in self._short) is short
            )
        if self.context.admission is not None:
            self._home = lane[0]
        return found

    def both(self) -> list[engines.Engine]:
        """Return the first engines of both lanes."""
        return self._admitted(self._preferred or self.context.candidates)

    def is_home(
        self,
        engine: engines.Engine,
        lane: collections.abc.Sequence[engines.Engine],
    ) -> bool:
        """Return whether other hosts also send the shared prefix there."""
        return engine is (self._home or lane[0])

    def _admitted(
        self, found: collections.abc.Iterable[engines.Engine]
    ) -> list[engines.Engine]:
        """Return the first engines that can hold the prompt."""
        return self.context.admitted(found, MAX_COMPARED_ENGINES)

    def _sample(self) -> collections.abc.Iterator[engines.Engine]:
        """Return some engines besides the first ones, others per request."""
        live = self.context.view.live
        if len(live) <= len(self.context.view.preferred(self._key)):
            return iter(())
        begin = hashing.weight(self.context.job.request_id, 'sample')
        count = min(SAMPLED_ENGINES, len(live))
        sampled = (live[(begin + n) % len(live)] for n in range(count))
        return (engine for engine in sampled if self.context.usable(engine))


class LaneSplit:
    """Division of the engines of a service into short and long lanes."""

    def __init__(self) -> None:
        self._wanted: float | None = None
        self._pressure = 0.0
        self._count = 0
        self._updated_at = float('-inf')
        self._view: service_view.ServiceView | None = None
        self._short: frozenset[engines.Key] = frozenset()

    def short_lane(
        self, context: interface.Context
    ) -> collections.abc.Set[engines.Key]:
        """Return the engines that serve short prompts.

        Parameters
        ----------
        context : Context
            Engines, demand and targets of the service.
        """
        if (
            context.view is not self._view
            or context.now - self._updated_at >= LANE_INTERVAL_S
        ):
            self._update(context)
            self._view = context.view
            self._short = frozenset(
                engine.key
                for engine in context.view.short_order[: self._count]
            )
        return self._short

    def _update(self, context: interface.Context) -> None:
        elapsed = context.now - self._updated_at
        decay = math.exp(-elapsed / SHRINK_S)
        self._updated_at = context.now
        self._pressure = max(_pressure(context), self._pressure * decay)
        wanted = _wanted_short_engines(context, self._pressure)
        if wanted is not None:
            excess = max(0.0, (self._wanted or 0.0) - wanted)
            self._wanted = wanted + excess * decay
        self._count = _with_hysteresis(self._count, self._wanted or 0.0)
        min_count, max_count = _bounds(context)
        self._count = min(max(self._count, min_count), max_count)


def _bounds(context: interface.Context) -> tuple[int, int]:
    """Return the least and the largest number of engines for short prompts."""
    total, demand = len(context.view.live), context.demand
    negligible = NEGLIGIBLE_WORK_RATIO * (demand.short + demand.long)
    min_count = max_count = 0
    if demand.short > negligible:
        min_count = math.ceil(MIN_SHORT_LANE_RATIO * total)
        max_count = max(min_count, round(MAX_SHORT_LANE_RATIO * total))
        if demand.long <= negligible:
            max_count = total
    return min_count, max_count


def _pressure(context: interface.Context) -> float:
    """Return how long long prompts have to wait, scaled from 0 to 1."""
    prefill_times = [
        engine.prefill_time(0, context.now) for engine in context.view.live
    ]
    mean = sum(prefill_times) / max(1, len(prefill_times))
    return min(
        1.0, mean / (FULL_PRESSURE_RATIO * context.tightest_long_target)
    )


def _wanted_short_engines(
    context: interface.Context, pressure: float
) -> float | None:
    """Return the number of engines for short prompts; None if unknown."""
    headroom = RELAXED_HEADROOM + pressure * (
        PRESSED_HEADROOM - RELAXED_HEADROOM
    )
    short_fraction = context.demand.short_fraction(headroom)
    if short_fraction is None:
        return None
    live = context.view.live
    running = sum(engine.short_requests() for engine in live)
    fraction = max(
        short_fraction,
        running / max(1.0, MAX_SHORT_OCCUPANCY * context.view.slots),
    )
    return fraction * len(live)


def _with_hysteresis(count: int, wanted: float) -> int:
    """Return the new count, which changes only if it is clearly off."""
    if count - 1.0 <= wanted <= count + LANE_TOLERANCE:
        return count
    return math.ceil(wanted - LANE_TOLERANCE)


def _choose_for_long(order: _Order) -> engines.Engine | None:
    context = order.context
    lane = order.lane(short=False)
    if not lane:
        return None
    ratio = MAX_LONG_WAIT_RATIO
    if context.job.route.target <= context.tightest_long_target:
        ratio = (
            MAX_FINAL_WAIT_RATIO
            if context.last_chance
            else MAX_URGENT_WAIT_RATIO
        )
    bound = ratio * context.tightest_long_target
    best = _lowest_cost(order, lane)
    if best.prefill_time(0, context.now) <= bound:
        return best
    waited = context.now - context.job.arrived
    if waited < SPILL_AFTER_RATIO * context.job.route.target:
        return None
    idle_bound = NEARLY_IDLE_RATIO * bound
    nearly_idle = [
        e for e in lane if e.prefill_time(0, context.now) <= idle_bound
    ]
    return _lowest_cost(order, nearly_idle) if nearly_idle else None


def _choose_for_short(order: _Order) -> engines.Engine | None:
    context = order.context
    lane = order.lane(short=True)
    if not lane:
        lane = order.both()
    if not lane:
        return None
    best = _lowest_cost(order, lane)
    wait = best.prefill_time(0, context.now)
    if wait <= MAX_SHORT_WAIT_RATIO * context.job.route.target:
        return best
    return _lowest_cost(order, order.both() or lane)


def _lowest_cost(
    order: _Order, lane: collections.abc.Sequence[engines.Engine]
) -> engines.Engine:
    context, prompt = order.context, order.prompt
    shared_tokens = prompt.tokens - prompt.unshared_tokens

    def cost(engine: engines.Engine) -> float:
        # The first engine in hash order probably caches the shared prefix,
        # because other hosts send it there too.
        repeated = 0
        if not order.is_home(engine, lane):
            cached = engine.cache.cached_tokens(prompt)
            repeated = max(0, shared_tokens - cached)
        prefill_time = engine.prefill_time(prompt.unshared_tokens, context.now)
        occupancy = engine.requests() / max(1, engine.instance.slots)
        return (
            prefill_time
            + _excess_gap(context, engine, prefill_time)
            + REPEATED_PREFILL_WEIGHT * engine.speed.prefill_time(repeated)
            + OCCUPANCY_WEIGHT * occupancy * context.job.route.target
        )

    return min(lane, key=cost)


def _excess_gap(
    context: interface.Context, engine: engines.Engine, prefill_time: float
) -> float:
    """Return by how much short streams at an engine may miss their gap.

    Prefill between the tokens of a stream delays these by the time that all
    of it takes, at most. Only with memory admission.

    Parameters
    ----------
    context : Context
        Input of the chooser.
    engine : Engine
        The engine.
    prefill_time : float
        Time to prefill its backlog and the prompt, in seconds.
    """
    if context.admission is None:
        return 0.0
    if context.long_prompts:
        if not engine.short_requests():
            return 0.0
        return max(0.0, prefill_time - context.short_gap_target)
    gap_target = context.job.route.gap_target or math.inf
    return max(0.0, engine.prefill_time(0, context.now) - gap_target)
