"""Judges the engines of one service by what this host saw itself."""

import collections.abc
import math
import random
import statistics

from corianderloft._internal.decisions import engines
from corianderloft._internal.decisions import plugins
from corianderloft._internal.models import ids

_REFRESH = 0.05
"""How often the engines are judged anew, in seconds."""

_PROBE_EVERY = 0.5
"""Time between two trials of closed engines, in seconds."""

_FIRST_PROBE = 0.5
_MOST_PROBE = 16.0
"""Shortest and longest wait before a trial of an ejected engine."""

_USUAL_WEIGHT = 0.05
"""Part of the usual wait that the newest first token makes up."""


class Health:
    """Ejects slowed engines, never too many, and tries them again."""

    def __init__(self, cfg: plugins.Settings, rng: random.Random) -> None:
        self._cfg = cfg
        self._rng = rng
        self._judged_at = -math.inf
        self._next_probe = -math.inf
        self._usual: dict[ids.ClassName, float] = {}
        self.healthy_gap = 0.0

    def judge(
        self, live: collections.abc.Sequence[engines.EngineView], now: float
    ) -> None:
        """Eject the slowest engines, as many as the floor allows."""
        if now - self._judged_at < _REFRESH:
            return
        self._judged_at = now
        gaps = [e.gap for e in live if e.gap is not None]
        if not gaps:
            return
        self.healthy_gap = statistics.median_low(gaps)
        ranked = sorted(
            (
                (e.slowness(self.healthy_gap, now), i)
                for i, e in enumerate(live)
            ),
            reverse=True,
        )
        most = self.most_ejected(len(live))
        for rank, (slowness, index) in enumerate(ranked):
            engine = live[index]
            limit = self._cfg.eject_slowness
            if engine.ejected:
                limit = self._cfg.readmit_slowness
            self._eject(engine, rank < most and slowness >= limit, now)

    def _eject(
        self, engine: engines.EngineView, slow: bool, now: float
    ) -> None:
        if slow and not engine.ejected:
            engine.probe_pause = _FIRST_PROBE
            engine.probe_at = now + _FIRST_PROBE
        engine.ejected = slow

    def most_ejected(self, count: int) -> int:
        """Return how many of ``count`` engines may be ejected."""
        return int(count * self._cfg.most_ejected)

    def admits(
        self, engine: engines.EngineView, spare: bool, now: float
    ) -> bool:
        """Return whether an engine may be given a request.

        Parameters
        ----------
        engine : EngineView
            The engine.
        spare : bool
            Whether the request can bear a slow answer: long work.
        now : float
            Current time.
        """
        if not engine.closed and not engine.ejected:
            return engine.in_flight < engine.ramp(now)
        if engine.in_flight:
            return False
        if engine.closed:
            return now >= max(engine.closed_until, self._next_probe)
        patience = 0.0 if spare else engine.probe_pause
        return now >= engine.probe_at + patience

    def granted(self, engine: engines.EngineView, now: float) -> None:
        """Note a grant; one to a closed or ejected engine is a trial."""
        jitter = self._rng.uniform(0.7, 1.3)
        if engine.closed:
            self._next_probe = now + _PROBE_EVERY * jitter
        elif engine.ejected:
            engine.probe_at = now + engine.probe_pause * jitter
            engine.probe_pause = min(_MOST_PROBE, engine.probe_pause * 2)

    def answered(
        self,
        engine: engines.EngineView,
        live: collections.abc.Iterable[engines.EngineView],
        now: float,
    ) -> None:
        """Note a first token; if one came back, try the others at once."""
        if engine.answer(now):
            self._next_probe = now
            for other in live:
                if other.closed:
                    other.closed_until = now

    def usual_wait(self, name: ids.ClassName, wait: float) -> float:
        """Take in a wait and return what is usual for its class."""
        usual = self._usual.get(name, wait)
        usual += (wait - usual) * _USUAL_WEIGHT
        self._usual[name] = usual
        return usual
