"""Balancer ``observed``: own observation first, aged reports second."""

import collections.abc
import random

from corianderloft._internal.decisions import engines
from corianderloft._internal.decisions import plugins
from corianderloft._internal.decisions import waiting

_IDLE_COST = 0.5
"""Cost of an idle engine, in loads of a full one."""

_CROWDED = 0.8
"""Part of its slots in use from which an engine costs more."""

_CROWDING = 4.0
"""How steeply the cost of a crowded engine grows."""

_NOISE = 0.05
"""Random part of a cost, so that hosts do not choose alike."""

_MOST_COMPARED = 12
"""Engines compared for one request; of more, a random sample."""

_PREFILL_RATE = 8000.0
"""Prompt tokens that an engine reads in a second, roughly."""

_MOST_AFFINITY = 0.4
"""Most that a cached prefix may weigh, in loads of a full engine."""


@plugins.BALANCERS.register('observed')
class Observed:
    """Chooses the candidate of the least expected delay."""

    judges_health = True

    def __init__(self, cfg: plugins.Settings, rng: random.Random) -> None:
        self._rng = rng
        self._affinity = cfg.prefix_affinity
        self._away = cfg.away_cost
        self._doubt = cfg.doubt_cost
        self._total = cfg.total_load_cost

    def choose(
        self,
        waiter: waiting.Waiter,
        candidates: collections.abc.Sequence[engines.EngineView],
        now: float,
        scene: plugins.Scene,
    ) -> engines.EngineView | None:
        """Return the candidate of the least cost."""
        if len(candidates) < 2:
            return candidates[0] if candidates else None
        if len(candidates) > _MOST_COMPARED:
            candidates = self._rng.sample(candidates, _MOST_COMPARED)
        matched = scene.prefixes.matched(waiter.ticket.prefix_hashes)
        prefill = waiter.ticket.prompt_tokens / _PREFILL_RATE
        most = min(_MOST_AFFINITY, self._affinity * prefill)
        mean = _mean_of_others(candidates)
        costs = [
            self._cost(engine, waiter.lane, mean, scene, now)
            - most * matched.get(engine.backend.engine_id, 0.0)
            for engine in candidates
        ]
        return candidates[costs.index(min(costs))]

    def _cost(
        self,
        engine: engines.EngineView,
        lane: waiting.Lane,
        mean: float,
        scene: plugins.Scene,
        now: float,
    ) -> float:
        slots = engine.backend.slots
        others = engine.others(mean, now)
        ahead = engine.in_flight_at_or_above(lane) + others * scene.lane_part
        load = ahead / slots
        total = (engine.in_flight + others) / slots
        cost = _IDLE_COST + load + _CROWDING * max(0.0, load - _CROWDED)
        cost += self._total * total
        cost += engine.excess(now)
        cost += self._away * (1.0 - engine.home_part)
        slowness = engine.slowness(scene.healthy_gap, now)
        if not lane.long:
            slowness += self._doubt * engine.doubt(now)
        return cost * slowness * (1 + _NOISE * self._rng.random())


def _mean_of_others(
    candidates: collections.abc.Sequence[engines.EngineView],
) -> float:
    """Return the mean of what other hosts had in flight, as reported."""
    others = [
        max(0, e.report.running + e.report.waiting - e.own_at_report)
        for e in candidates
        if e.report is not None
    ]
    return sum(others) / len(others) if others else 0.0
