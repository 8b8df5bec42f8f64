"""Balancer ``round_robin``: baseline that cycles through the engines."""

import collections.abc
import random

from corianderloft._internal.decisions import engines
from corianderloft._internal.decisions import plugins
from corianderloft._internal.decisions import waiting


@plugins.BALANCERS.register('round_robin')
class RoundRobin:
    """Chooses the next candidate in the order of engine ids."""

    uses_health = False

    def __init__(self, cfg: plugins.Settings, rng: random.Random) -> None:
        del cfg, rng
        self._last_engine_id = ''

    def choose(
        self,
        waiter: waiting.Waiter,
        candidates: collections.abc.Sequence[engines.EngineView],
        now: float,
        context: plugins.BalancerContext,
    ) -> engines.EngineView | None:
        """Return the next candidate, or None if there are no candidates."""
        if not candidates:
            return None
        chosen = min(candidates, key=self._cyclic_order)
        self._last_engine_id = chosen.backend.engine_id
        return chosen

    def _cyclic_order(self, engine: engines.EngineView) -> tuple[bool, str]:
        engine_id = engine.backend.engine_id
        return (engine_id <= self._last_engine_id, engine_id)
