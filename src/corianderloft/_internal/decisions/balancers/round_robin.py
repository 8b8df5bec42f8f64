"""Balancer ``round_robin``: each engine in its turn; a baseline."""

import collections.abc
import random

from corianderloft._internal.decisions import engines
from corianderloft._internal.decisions import plugins
from corianderloft._internal.decisions import waiting


@plugins.BALANCERS.register('round_robin')
class RoundRobin:
    """Chooses the candidate that follows the last chosen by identity."""

    judges_health = False

    def __init__(self, cfg: plugins.Settings, rng: random.Random) -> None:
        del cfg, rng
        self._last = ''

    def choose(
        self,
        waiter: waiting.Waiter,
        candidates: collections.abc.Sequence[engines.EngineView],
        now: float,
        scene: plugins.Scene,
    ) -> engines.EngineView | None:
        """Return the next candidate, or None when there is none."""
        if not candidates:
            return None
        chosen = min(candidates, key=self._distance)
        self._last = chosen.backend.engine_id
        return chosen

    def _distance(self, engine: engines.EngineView) -> tuple[bool, str]:
        engine_id = engine.backend.engine_id
        return (engine_id <= self._last, engine_id)
