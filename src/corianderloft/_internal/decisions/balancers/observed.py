"""Balancer ``observed``: prefers own observations to aged load reports."""

import collections.abc
import random

from corianderloft._internal.decisions import engines
from corianderloft._internal.decisions import plugins
from corianderloft._internal.decisions import waiting

_IDLE_COST = 0.5
"""Cost of an idle engine; 1 is the load of a full engine."""

_HIGH_LOAD_RATIO = 0.8
"""Slot utilization above which the cost of an engine grows faster."""

_HIGH_LOAD_COST = 4.0
"""Extra cost per unit of load above `_HIGH_LOAD_RATIO`."""

_COST_NOISE_RATIO = 0.05
"""Relative random noise on the cost, so that hosts choose differently."""

_MAX_COMPARED_ENGINES = 12
"""Most engines compared for one request; more are sampled at random."""

_PREFILL_TOKENS_PER_S = 8000.0
"""Approximate prefill throughput of an engine."""

_MAX_PREFIX_BONUS = 0.4
"""Largest cost reduction for a cached prefix, in loads of a full engine."""


@plugins.BALANCERS.register('observed')
class Observed:
    """Chooses the candidate with the lowest expected delay."""

    uses_health = True

    def __init__(self, cfg: plugins.Settings, rng: random.Random) -> None:
        self._rng = rng
        self._prefix_affinity = cfg.prefix_affinity
        self._non_preferred_cost = cfg.away_cost
        self._uncertainty_cost = cfg.doubt_cost
        self._total_load_cost = cfg.total_load_cost

    def choose(
        self,
        waiter: waiting.Waiter,
        candidates: collections.abc.Sequence[engines.EngineView],
        now: float,
        context: plugins.BalancerContext,
    ) -> engines.EngineView | None:
        """Return the candidate with the lowest cost."""
        if len(candidates) < 2:
            return candidates[0] if candidates else None
        if len(candidates) > _MAX_COMPARED_ENGINES:
            candidates = self._rng.sample(candidates, _MAX_COMPARED_ENGINES)
        cached = context.prefixes.match_fractions(waiter.ticket.prefix_hashes)
        prefill = waiter.ticket.prompt_tokens / _PREFILL_TOKENS_PER_S
        max_bonus = min(_MAX_PREFIX_BONUS, self._prefix_affinity * prefill)
        mean_others = _mean_reported_elsewhere(candidates)
        costs = [
            self._cost(engine, waiter.lane, mean_others, context, now)
            - max_bonus * cached.get(engine.backend.engine_id, 0.0)
            for engine in candidates
        ]
        return candidates[costs.index(min(costs))]

    def _cost(
        self,
        engine: engines.EngineView,
        lane: waiting.Lane,
        mean_others: float,
        context: plugins.BalancerContext,
        now: float,
    ) -> float:
        slots = engine.backend.slots
        others = engine.in_flight_elsewhere(mean_others, now)
        load_ahead = (
            engine.in_flight_at_or_above(lane) + others * context.lane_fraction
        )
        load = load_ahead / slots
        total_load = (engine.in_flight + others) / slots
        cost = (
            _IDLE_COST
            + load
            + _HIGH_LOAD_COST * max(0.0, load - _HIGH_LOAD_RATIO)
        )
        cost += self._total_load_cost * total_load
        cost += engine.current_excess_wait(now)
        cost += self._non_preferred_cost * (1.0 - engine.preferred_fraction)
        slowness = engine.slowness(context.healthy_token_interval, now)
        if not lane.long:
            slowness += self._uncertainty_cost * engine.speed_uncertainty(now)
        return cost * slowness * (1 + _COST_NOISE_RATIO * self._rng.random())


def _mean_reported_elsewhere(
    candidates: collections.abc.Sequence[engines.EngineView],
) -> float:
    """Return the mean reported load from other hosts, in requests."""
    others = [
        max(0, e.report.running + e.report.waiting - e.own_in_flight_at_report)
        for e in candidates
        if e.report is not None
    ]
    return sum(others) / len(others) if others else 0.0
