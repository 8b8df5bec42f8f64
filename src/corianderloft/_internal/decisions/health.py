"""Health of the engines of one service, as observed by this host."""

import collections.abc
import math
import random

from corianderloft._internal.decisions import engines
from corianderloft._internal.decisions import plugins
from corianderloft._internal.models import ids

_UPDATE_INTERVAL_S = 0.05
"""Shortest time between two updates of the ejections, in seconds."""

_CIRCUIT_PROBE_INTERVAL_S = 0.5
"""Time between two probes of engines with an open circuit, in seconds."""

_MIN_EJECTED_PROBE_INTERVAL_S = 0.5
_MAX_EJECTED_PROBE_INTERVAL_S = 16.0
"""Shortest and longest wait before a probe of an ejected engine."""

_MIN_OUTAGE_PROBE_INTERVAL_S = 1.0
_MAX_OUTAGE_PROBE_INTERVAL_S = 2.2
"""Shortest and longest wait between probes during an outage."""

_SHORT_REQUEST_PROBE_DELAYS = 8.0
"""Probe delay of short requests in probe intervals; long ones probe first."""

_MIN_ENGINES_TO_COMPARE = 3
"""Observed engines needed to take the lower quartile as healthy.

With fewer, the lowest recent token interval is taken instead.
"""

_LOWEST_INTERVAL_TIME_CONSTANT_S = 120.0
"""Time constant at which the lowest token interval rises, in seconds."""

_TYPICAL_WAIT_EWMA_WEIGHT = 0.05
"""Weight of the newest sample in the typical time to first token."""


class Health:
    """Ejects a bounded number of slow engines and probes them.

    Attributes
    ----------
    healthy_token_interval : float
        Inter-token latency of a healthy engine, in seconds; 0 if unknown.
    outage : bool
        Whether many engines failed and none has responded since.
    """

    def __init__(self, cfg: plugins.Settings, rng: random.Random) -> None:
        self._cfg = cfg
        self._rng = rng
        self._updated_at = -math.inf
        self._next_probe_at = -math.inf
        self._outage_probe_interval = _MIN_OUTAGE_PROBE_INTERVAL_S
        self._failed_engines: set[ids.EngineId] = set()
        self._live_count = 0
        self._typical_waits: dict[ids.ClassName, float] = {}
        self._lowest_token_interval = math.inf
        self.healthy_token_interval = 0.0
        self.outage = False

    def update_ejections(
        self, live: collections.abc.Sequence[engines.EngineView], now: float
    ) -> None:
        """Eject the slowest engines, up to `max_ejected`; readmit others."""
        if now < self._updated_at + _UPDATE_INTERVAL_S:
            return
        elapsed = now - self._updated_at
        self._updated_at = now
        self._live_count = len(live)
        intervals = [
            e.token_interval for e in live if e.token_interval is not None
        ]
        if not intervals:
            return
        self._lowest_token_interval = min(
            min(intervals),
            self._lowest_token_interval
            * math.exp(elapsed / _LOWEST_INTERVAL_TIME_CONSTANT_S),
        )
        self.healthy_token_interval = sorted(intervals)[len(intervals) // 4]
        if len(intervals) < _MIN_ENGINES_TO_COMPARE:
            self.healthy_token_interval = self._lowest_token_interval
        ranked = sorted(
            (
                (e.slowness(self.healthy_token_interval, now), i)
                for i, e in enumerate(live)
            ),
            reverse=True,
        )
        max_ejected = self.max_ejected(len(live))
        for rank, (slowness, index) in enumerate(ranked):
            engine = live[index]
            limit = self._cfg.eject_slowness
            if engine.ejected:
                limit = self._cfg.readmit_slowness
            self._set_ejected(
                engine, rank < max_ejected and slowness >= limit, now
            )

    def _set_ejected(
        self, engine: engines.EngineView, slow: bool, now: float
    ) -> None:
        if slow and not engine.ejected:
            engine.probe_interval = _MIN_EJECTED_PROBE_INTERVAL_S
            engine.next_probe_at = now + _MIN_EJECTED_PROBE_INTERVAL_S
        engine.ejected = slow

    def max_ejected(self, count: int) -> int:
        """Return how many of ``count`` engines may be ejected."""
        return int(count * self._cfg.most_ejected)

    def admits(
        self, engine: engines.EngineView, latency_tolerant: bool, now: float
    ) -> bool:
        """Return whether an engine may receive a request.

        Parameters
        ----------
        engine : EngineView
            The engine.
        latency_tolerant : bool
            Whether the request tolerates a slow answer, as long work does.
        now : float
            Current time on trio's clock, in seconds.
        """
        if self.outage:
            return not engine.in_flight and now >= self._next_probe_at
        if not engine.circuit_open and not engine.ejected:
            return engine.in_flight < engine.slow_start_limit(now)
        if engine.in_flight:
            return False
        if engine.circuit_open:
            return now >= max(engine.circuit_open_until, self._next_probe_at)
        delay = (
            0.0
            if latency_tolerant
            else _SHORT_REQUEST_PROBE_DELAYS * engine.probe_interval
        )
        return now >= engine.next_probe_at + delay

    def on_granted(self, engine: engines.EngineView, now: float) -> None:
        """Handle a grant and schedule the next probe if it is a probe."""
        jitter = self._rng.uniform(0.7, 1.3)
        if self.outage:
            self._next_probe_at = now + self._outage_probe_interval * jitter
            self._outage_probe_interval = min(
                _MAX_OUTAGE_PROBE_INTERVAL_S, self._outage_probe_interval * 2
            )
        elif engine.circuit_open:
            self._next_probe_at = now + _CIRCUIT_PROBE_INTERVAL_S * jitter
        elif engine.ejected:
            engine.next_probe_at = now + engine.probe_interval * jitter
            engine.probe_interval = min(
                _MAX_EJECTED_PROBE_INTERVAL_S, engine.probe_interval * 2
            )

    def on_failed(
        self, engine: engines.EngineView, hard: bool, now: float
    ) -> None:
        """Handle a failed attempt; during an outage only probes are sent."""
        engine.record_failure(hard, self._rng.random(), now)
        if not hard:
            return
        was_outage = self.outage
        self._failed_engines.add(engine.backend.engine_id)
        self.outage = len(self._failed_engines) > max(1, self._live_count // 3)
        if self.outage and not was_outage:
            self._next_probe_at = (
                now + _MIN_EJECTED_PROBE_INTERVAL_S * self._rng.random()
            )

    def on_response(
        self,
        engine: engines.EngineView,
        live: collections.abc.Iterable[engines.EngineView],
        now: float,
    ) -> None:
        """Handle a response; after a recovery, probe other engines at once."""
        was_outage = self.outage
        self._failed_engines.clear()
        self.outage = False
        self._outage_probe_interval = _MIN_OUTAGE_PROBE_INTERVAL_S
        if engine.record_response(now) or was_outage:
            self._next_probe_at = now
            for other in live:
                if other.circuit_open:
                    other.circuit_open_until = now

    def update_typical_wait(
        self, class_name: ids.ClassName, wait: float
    ) -> float:
        """Add a first-token wait; return the typical wait of the class."""
        typical = self._typical_waits.get(class_name, wait)
        typical += (wait - typical) * _TYPICAL_WAIT_EWMA_WEIGHT
        self._typical_waits[class_name] = typical
        return typical

    def typical_wait(self, class_name: ids.ClassName) -> float | None:
        """Return the typical first-token wait in seconds; None if unknown."""
        return self._typical_waits.get(class_name)
