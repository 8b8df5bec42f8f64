"""Balancer ``least_reported_load``: baseline that uses load reports only."""

import collections.abc
import random

from corianderloft._internal.decisions import engines
from corianderloft._internal.decisions import plugins
from corianderloft._internal.decisions import waiting


def _reported_load(engine: engines.EngineView) -> int:
    if engine.report is None:
        return 0
    return engine.report.running + engine.report.waiting


@plugins.BALANCERS.register('least_reported_load')
class LeastReportedLoad:
    """Chooses the candidate whose latest report shows the least load."""

    uses_health = False

    def __init__(self, cfg: plugins.Settings, rng: random.Random) -> None:
        del cfg
        self._rng = rng

    def choose(
        self,
        waiter: waiting.Waiter,
        candidates: collections.abc.Sequence[engines.EngineView],
        now: float,
        context: plugins.BalancerContext,
    ) -> engines.EngineView | None:
        """Return the candidate with the least load; break ties at random."""
        if not candidates:
            return None
        least = min(_reported_load(engine) for engine in candidates)
        return self._rng.choice(
            [
                engine
                for engine in candidates
                if _reported_load(engine) == least
            ]
        )
