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

SHORT_PER_ENGINE_UNDER_PRESSURE = 18
"""Short-prompt requests per engine of the short lane above which the lane
grows, while long prompts have to wait; see bench/placement."""

SHORT_PER_ENGINE_RELAXED = 7
"""The same while no long prompt has to wait."""

FULL_PRESSURE_PREFILL_S = 0.15
"""Mean prefill backlog of the engines at which long prompts fully count as
waiting."""

MIN_SHORT_LANE_RATIO = 0.1
MAX_SHORT_LANE_RATIO = 0.45
"""Bounds on the fraction of the engines that serve short prompts."""

DEMAND_DECAY_S = 3.0
"""Time constant with which the short-prompt demand and the pressure of waiting
long prompts decay: long enough to keep caches warm over a pause."""

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
        if not context.candidates or prompt is None:
            return next(iter(context.candidates), None)
        split = self._splits.setdefault(context.job.service, LaneSplit())
        short = {
            e.key for e in split.short_lane(context.live_engines, context.now)
        }
        if context.long_prompts:
            return _choose_for_long(context, prompt, short)
        return _choose_for_short(context, prompt, short)


class LaneSplit:
    """Division of the engines of a service into short and long lanes."""

    def __init__(self) -> None:
        self._demand = 0.0
        self._pressure = 0.0
        self._updated_at = 0.0

    def short_lane(
        self,
        live_engines: collections.abc.Sequence[engines.Engine],
        now: float,
    ) -> list[engines.Engine]:
        """Return the engines that serve short prompts."""
        decay = math.exp(min(0.0, self._updated_at - now) / DEMAND_DECAY_S)
        running = sum(engine.short_requests() for engine in live_engines)
        self._demand = max(running, self._demand * decay)
        self._pressure = max(
            _pressure(live_engines, now), self._pressure * decay
        )
        self._updated_at = now
        short_per_engine = SHORT_PER_ENGINE_RELAXED + self._pressure * (
            SHORT_PER_ENGINE_UNDER_PRESSURE - SHORT_PER_ENGINE_RELAXED
        )
        wanted = math.ceil(self._demand / short_per_engine)
        min_count = math.ceil(MIN_SHORT_LANE_RATIO * len(live_engines))
        max_count = max(
            min_count, round(MAX_SHORT_LANE_RATIO * len(live_engines))
        )
        count = min(max(wanted, min_count), max_count)
        ranked = hashing.ranked(
            'short lane', live_engines, choosers.engine_id_of
        )
        return ranked[:count]


def _pressure(
    live_engines: collections.abc.Sequence[engines.Engine], now: float
) -> float:
    """Return how long long prompts have to wait, scaled from 0 to 1."""
    prefill_times = [engine.prefill_time(0, now) for engine in live_engines]
    mean = sum(prefill_times) / max(1, len(prefill_times))
    return min(1.0, mean / FULL_PRESSURE_PREFILL_S)


def _choose_for_long(
    context: interface.Context,
    prompt: instances.Prompt,
    short: set[engines.Key],
) -> engines.Engine | None:
    lane = [e for e in context.candidates if e.key not in short]
    lane = lane or list(context.candidates)
    ratio = MAX_LONG_WAIT_RATIO
    if context.job.route.target <= context.tightest_long_target:
        ratio = (
            MAX_FINAL_WAIT_RATIO
            if context.last_chance
            else MAX_URGENT_WAIT_RATIO
        )
    bound = ratio * context.tightest_long_target
    best = _lowest_cost(context, prompt, lane)
    if best.prefill_time(0, context.now) <= bound:
        return best
    waited = context.now - context.job.arrived
    if waited < SPILL_AFTER_RATIO * context.job.route.target:
        return None
    idle_bound = NEARLY_IDLE_RATIO * bound
    nearly_idle = [
        e for e in lane if e.prefill_time(0, context.now) <= idle_bound
    ]
    return _lowest_cost(context, prompt, nearly_idle) if nearly_idle else None


def _choose_for_short(
    context: interface.Context,
    prompt: instances.Prompt,
    short: set[engines.Key],
) -> engines.Engine:
    lane = [e for e in context.candidates if e.key in short]
    best = _lowest_cost(context, prompt, lane or context.candidates)
    wait = best.prefill_time(0, context.now)
    if wait <= MAX_SHORT_WAIT_RATIO * context.job.route.target:
        return best
    return _lowest_cost(context, prompt, context.candidates)


def _lowest_cost(
    context: interface.Context,
    prompt: instances.Prompt,
    lane: collections.abc.Sequence[engines.Engine],
) -> engines.Engine:
    order = hashing.ranked(
        choosers.shared_prefix_id(prompt), lane, choosers.engine_id_of
    )
    unshared_tokens = (
        prompt.parts[-1].tokens if prompt.parts else prompt.tokens
    )

    def cost(engine: engines.Engine) -> float:
        uncached_shared = (
            prompt.tokens
            - unshared_tokens
            - engine.cache.cached_tokens(prompt)
        )
        # The first engine in hash order probably caches the shared prefix,
        # because other hosts send it there too.
        repeated = 0 if engine is order[0] else max(0, uncached_shared)
        occupancy = engine.requests() / max(1, engine.instance.slots)
        return (
            engine.prefill_time(unshared_tokens, context.now)
            + REPEATED_PREFILL_WEIGHT * repeated / engines.PREFILL_TOKENS_PER_S
            + OCCUPANCY_WEIGHT * occupancy * context.job.route.target
        )

    return min(order, key=cost)
