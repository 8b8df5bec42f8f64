"""Chooser ``lanes``: short and long prompts on engines of their own.

Answers the load in which long prompts keep engines reading, so that the
tokens of short requests beside them come late, and the load in which long
prompts of a burst fill the engines that more urgent prompts need.
"""

import collections.abc
import math

from corianderloft._internal.models import ids
from corianderloft._internal.models import instances
from corianderloft._internal.placement import choosers
from corianderloft._internal.placement import engines
from corianderloft._internal.placement import hashing
from corianderloft._internal.placement import interface

SHORT_PER_ENGINE = 18
"""Requests with short prompts that share an engine before another one is
taken, while long prompts wait; chosen by bench/placement."""

RELAXED_PER_ENGINE = 7
"""The same while no long prompt waits."""

PRESSED_WAIT = 0.15
"""Mean time in which the other engines are done with reading, in seconds,
from which long prompts count as waiting."""

LEAST_SHARE = 0.1
MOST_SHARE = 0.45
"""Bounds on the part of the engines that serve short prompts."""

SHRINK_TIME = 3.0
"""Time in which the demand of short prompts is forgotten, in seconds: long
enough to keep caches warm over a pause."""

URGENT_WAIT_PART = 0.75
"""Part of its target that the most urgent long prompt waits at an engine."""

LATE_WAIT_PART = 2.5
"""The same when it would be refused otherwise: late is better."""

PACED_WAIT_PART = 0.5
"""Part of that target that other long prompts wait at an engine. They wait
at the host instead, so that an engine is soon free for what is urgent."""

SPILL_WAIT_PART = 0.3
"""Part of its target that a long prompt waits for the engine that holds its
shared parts, before it goes to one that is nearly idle."""

SPARE_PART = 0.1
"""Part of the bound on waiting up to which an engine counts as nearly idle:
while all are busy, a reread takes from others what it gives to one."""

SHORT_WAIT_PART = 0.5
"""Part of its target that a short prompt waits at an engine, before it goes
beside long ones."""

REREAD_WEIGHT = 10.0
"""Cost of reading a shared part again over that of waiting as long: it also
takes the memory of another one."""

BUSY_WEIGHT = 0.3
"""Cost of an engine with all slots taken, in targets."""


@interface.CHOOSERS.register('lanes')
class Lanes:
    """Sends a prompt to the engine of its lane where it is read first.

    All hosts know nearly the same requests at each engine, and so divide
    the engines alike without a word.
    """

    def __init__(self) -> None:
        self._splits: dict[ids.ServiceName, Split] = {}

    def choose(self, scene: interface.Scene) -> engines.Engine | None:
        """Return the engine where the answer begins first."""
        prompt = scene.job.prompt
        if not scene.candidates or prompt is None:
            return next(iter(scene.candidates), None)
        split = self._splits.setdefault(scene.job.service, Split())
        short = {e.key for e in split.short_lane(scene.everyone, scene.now)}
        if scene.long:
            return _long(scene, prompt, short)
        return _short(scene, prompt, short)


class Split:
    """How many engines of a service serve short prompts."""

    def __init__(self) -> None:
        self._demand = 0.0
        self._pressure = 0.0
        self._seen_at = 0.0

    def short_lane(
        self,
        everyone: collections.abc.Sequence[engines.Engine],
        now: float,
    ) -> list[engines.Engine]:
        """Return the engines that serve short prompts."""
        faded = math.exp(min(0.0, self._seen_at - now) / SHRINK_TIME)
        running = sum(engine.short_requests() for engine in everyone)
        self._demand = max(running, self._demand * faded)
        self._pressure = max(_pressure(everyone, now), self._pressure * faded)
        self._seen_at = now
        crowd = RELAXED_PER_ENGINE + self._pressure * (
            SHORT_PER_ENGINE - RELAXED_PER_ENGINE
        )
        wanted = math.ceil(self._demand / crowd)
        least = math.ceil(LEAST_SHARE * len(everyone))
        most = max(least, round(MOST_SHARE * len(everyone)))
        count = min(max(wanted, least), most)
        ranked = hashing.ranked('short lane', everyone, choosers.engine_name)
        return ranked[:count]


def _pressure(
    everyone: collections.abc.Sequence[engines.Engine], now: float
) -> float:
    """Return how much long prompts wait, from 0 to 1."""
    waits = [engine.reading_time(0, now) for engine in everyone]
    mean = sum(waits) / max(1, len(waits))
    return min(1.0, mean / PRESSED_WAIT)


def _long(
    scene: interface.Scene,
    prompt: instances.Prompt,
    short: set[engines.Key],
) -> engines.Engine | None:
    lane = [e for e in scene.candidates if e.key not in short]
    lane = lane or list(scene.candidates)
    part = PACED_WAIT_PART
    if scene.job.route.target <= scene.tightest_long:
        part = LATE_WAIT_PART if scene.last_chance else URGENT_WAIT_PART
    bound = part * scene.tightest_long
    best = _first_to_begin(scene, prompt, lane)
    if best.reading_time(0, scene.now) <= bound:
        return best
    waited = scene.now - scene.job.arrived
    if waited < SPILL_WAIT_PART * scene.job.route.target:
        return None
    spare = SPARE_PART * bound
    free = [e for e in lane if e.reading_time(0, scene.now) <= spare]
    return _first_to_begin(scene, prompt, free) if free else None


def _short(
    scene: interface.Scene,
    prompt: instances.Prompt,
    short: set[engines.Key],
) -> engines.Engine:
    lane = [e for e in scene.candidates if e.key in short]
    best = _first_to_begin(scene, prompt, lane or scene.candidates)
    wait = best.reading_time(0, scene.now)
    if wait <= SHORT_WAIT_PART * scene.job.route.target:
        return best
    return _first_to_begin(scene, prompt, scene.candidates)


def _first_to_begin(
    scene: interface.Scene,
    prompt: instances.Prompt,
    lane: collections.abc.Sequence[engines.Engine],
) -> engines.Engine:
    order = hashing.ranked(
        choosers.shared_part(prompt), lane, choosers.engine_name
    )
    own = prompt.parts[-1].tokens if prompt.parts else prompt.tokens

    def cost(engine: engines.Engine) -> float:
        missing = prompt.tokens - own - engine.cache.cached_tokens(prompt)
        # Other hosts send the same parts to the first in the order.
        again = 0 if engine is order[0] else max(0, missing)
        busy = engine.requests() / max(1, engine.instance.slots)
        return (
            engine.reading_time(own, scene.now)
            + REREAD_WEIGHT * again / engines.READ_RATE
            + BUSY_WEIGHT * busy * scene.job.route.target
        )

    return min(order, key=cost)
