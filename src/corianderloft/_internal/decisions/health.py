"""Judges the engines of one service by what this host saw itself."""

import collections.abc
import math
import random

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

_FIRST_OUTAGE_PROBE = 1.0
_MOST_OUTAGE_PROBE = 2.2
"""Shortest and longest wait between trials while all engines fail."""

_SHORT_PATIENCE = 8.0
"""Pauses that short work leaves a trial to long work."""

_ENOUGH_TO_COMPARE = 3
"""Engines heard of whose faster quarter says what is healthy."""

_LOWEST_MEMORY = 120.0
"""Time constant at which the lowest time between tokens rises, in seconds."""

_USUAL_WEIGHT = 0.05
"""Part of the usual wait that the newest first token makes up."""


class Health:
    """Ejects slowed engines, never too many, and tries them again.

    Attributes
    ----------
    healthy_gap : float
        Time between tokens of a healthy engine, in seconds; 0 if unknown.
    outage : bool
        Whether many engines failed and none has answered since.
    """

    def __init__(self, cfg: plugins.Settings, rng: random.Random) -> None:
        self._cfg = cfg
        self._rng = rng
        self._judged_at = -math.inf
        self._next_probe = -math.inf
        self._probe_pause = _FIRST_OUTAGE_PROBE
        self._failed: set[ids.EngineId] = set()
        self._live_count = 0
        self._usual: dict[ids.ClassName, float] = {}
        self._lowest_gap = math.inf
        self.healthy_gap = 0.0
        self.outage = False

    def judge(
        self, live: collections.abc.Sequence[engines.EngineView], now: float
    ) -> None:
        """Eject the slowest engines, as many as the floor allows."""
        if now < self._judged_at + _REFRESH:
            return
        elapsed = now - self._judged_at
        self._judged_at = now
        self._live_count = len(live)
        gaps = [e.gap for e in live if e.gap is not None]
        if not gaps:
            return
        self._lowest_gap = min(
            min(gaps), self._lowest_gap * math.exp(elapsed / _LOWEST_MEMORY)
        )
        self.healthy_gap = sorted(gaps)[len(gaps) // 4]
        if len(gaps) < _ENOUGH_TO_COMPARE:
            self.healthy_gap = self._lowest_gap
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
        if self.outage:
            return not engine.in_flight and now >= self._next_probe
        if not engine.closed and not engine.ejected:
            return engine.in_flight < engine.ramp(now)
        if engine.in_flight:
            return False
        if engine.closed:
            return now >= max(engine.closed_until, self._next_probe)
        patience = 0.0 if spare else _SHORT_PATIENCE * engine.probe_pause
        return now >= engine.probe_at + patience

    def granted(self, engine: engines.EngineView, now: float) -> None:
        """Note a grant; one to a closed or ejected engine is a trial."""
        jitter = self._rng.uniform(0.7, 1.3)
        if self.outage:
            self._next_probe = now + self._probe_pause * jitter
            self._probe_pause = min(_MOST_OUTAGE_PROBE, self._probe_pause * 2)
        elif engine.closed:
            self._next_probe = now + _PROBE_EVERY * jitter
        elif engine.ejected:
            engine.probe_at = now + engine.probe_pause * jitter
            engine.probe_pause = min(_MOST_PROBE, engine.probe_pause * 2)

    def failed(
        self, engine: engines.EngineView, hard: bool, now: float
    ) -> None:
        """Note a failed attempt; in an outage only trials go out."""
        engine.fail(hard, self._rng.random(), now)
        if not hard:
            return
        was_outage = self.outage
        self._failed.add(engine.backend.engine_id)
        self.outage = len(self._failed) > max(1, self._live_count // 3)
        if self.outage and not was_outage:
            self._next_probe = now + _FIRST_PROBE * self._rng.random()

    def answered(
        self,
        engine: engines.EngineView,
        live: collections.abc.Iterable[engines.EngineView],
        now: float,
    ) -> None:
        """Note a first token; if one came back, try the others at once."""
        was_outage = self.outage
        self._failed.clear()
        self.outage = False
        self._probe_pause = _FIRST_OUTAGE_PROBE
        if engine.answer(now) or was_outage:
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

    def usual_wait_of(self, name: ids.ClassName) -> float | None:
        """Return the usual wait of a class, in seconds; None if unseen."""
        return self._usual.get(name)
