"""Choosers: which backend server a request goes to."""

import collections.abc
import itertools
import math

from corianderloft._internal.models import instances
from corianderloft._internal.placement import engines
from corianderloft._internal.placement import hashing
from corianderloft._internal.placement import interface
from corianderloft._internal.placement import sizes

LOAD_BOUND = 1.5
"""Requests at an engine, over the mean of all, up to which a prompt stays
with the engine that holds its shared parts."""

LONG_PROMPT = 2500
"""Prompt tokens from which a request delays the others of an engine."""

SHORT_LANE_SHARE = 0.3
"""Part of the engines, rounded up, that serve short prompts."""

LONG_WAIT_PART = 0.75
"""Part of the tightest target among long prompts that a prompt with this
target may wait at an engine for others to be read."""

PACED_WAIT_PART = 0.5
"""The same for prompts with looser targets. They wait at the host instead,
so that an engine is soon free for what is more urgent."""

SHORT_WAIT_PART = 0.5
"""The same for a short prompt, before it goes beside long ones."""

REREAD_WEIGHT = 3.0
"""Cost of reading a shared part again over that of waiting as long: it also
takes the memory of another one."""

BUSY_WEIGHT = 0.3
"""Cost of an engine with all slots taken, in targets."""

SHORT_ONLY_SHARE = 0.4
"""Part of the engines that long prompts are kept off."""


@interface.CHOOSERS.register('round_robin')
class RoundRobin:
    """Baseline: each in turn."""

    def __init__(self) -> None:
        self._turns = itertools.count()

    def choose(self, scene: interface.Scene) -> engines.Engine | None:
        """Return the next candidate."""
        if not scene.candidates:
            return None
        return scene.candidates[next(self._turns) % len(scene.candidates)]


@interface.CHOOSERS.register('fewest_requests')
class FewestRequests:
    """Baseline: fewest requests, the own failure domain first."""

    def choose(self, scene: interface.Scene) -> engines.Engine | None:
        """Return the candidate with the fewest requests."""
        if not scene.candidates:
            return None
        return min(scene.candidates, key=lambda e: _plain_cost(scene, e))


@interface.CHOOSERS.register('hashed_prefix')
class HashedPrefix:
    """Baseline: the engine of the shared part, bounded by load."""

    def choose(self, scene: interface.Scene) -> engines.Engine | None:
        """Return the first engine in the order of the part with room."""
        if not scene.candidates:
            return None
        part = shared_part(scene.job.prompt)
        order = hashing.ranked(part, scene.candidates, _name)
        return _first_below(order)


@interface.CHOOSERS.register('separated_prefix')
class SeparatedPrefix:
    """The same, with long prompts kept off a fixed part of the engines."""

    def choose(self, scene: interface.Scene) -> engines.Engine | None:
        """Return the first engine in the order of the part with room."""
        if not scene.candidates:
            return None
        prompt = scene.job.prompt
        order = hashing.ranked(shared_part(prompt), scene.candidates, _name)
        if prompt is not None and prompt.tokens > LONG_PROMPT:
            kept_off = {e.key for e in short_only(scene.everyone)}
            order = [e for e in order if e.key not in kept_off] or order
        return _first_below(order)


@interface.CHOOSERS.register('lanes')
class Lanes:
    """Short and long prompts on engines of their own, by reading time.

    Answers the load in which long prompts keep engines reading, so that the
    tokens of short requests beside them come late. Both sides are the same
    for all hosts.
    """

    def __init__(self) -> None:
        self._sizes = sizes.RouteSizes()

    def choose(self, scene: interface.Scene) -> engines.Engine | None:
        """Return the engine where the answer begins first."""
        prompt = scene.job.prompt
        if not scene.candidates or prompt is None:
            return next(iter(scene.candidates), None)
        short = {e.key for e in short_lane(scene.everyone)}
        self._sizes.note(scene.job, prompt)
        if self._sizes.is_long(scene.job):
            return self._long(scene, prompt, short)
        return self._short(scene, prompt, short)

    def _long(
        self,
        scene: interface.Scene,
        prompt: instances.Prompt,
        short: set[engines.Key],
    ) -> engines.Engine | None:
        lane = [e for e in scene.candidates if e.key not in short]
        if not lane:
            lane = list(scene.candidates)
        best = self._first_to_begin(scene, prompt, lane)
        target = scene.job.route.target
        tightest = self._sizes.tightest_long(scene.job)
        part = LONG_WAIT_PART if target <= tightest else PACED_WAIT_PART
        if best.reading_time(0, scene.now) > part * tightest:
            return None
        return best

    def _short(
        self,
        scene: interface.Scene,
        prompt: instances.Prompt,
        short: set[engines.Key],
    ) -> engines.Engine:
        lane = [e for e in scene.candidates if e.key in short]
        if not lane:
            lane = list(scene.candidates)
        best = self._first_to_begin(scene, prompt, lane)
        wait = best.reading_time(0, scene.now)
        if wait <= SHORT_WAIT_PART * scene.job.route.target:
            return best
        return self._first_to_begin(scene, prompt, scene.candidates)

    def _first_to_begin(
        self,
        scene: interface.Scene,
        prompt: instances.Prompt,
        lane: collections.abc.Sequence[engines.Engine],
    ) -> engines.Engine:
        order = hashing.ranked(shared_part(prompt), lane, _name)
        own = prompt.parts[-1].tokens if prompt.parts else prompt.tokens

        def cost(engine: engines.Engine) -> float:
            shared = prompt.tokens - own
            missing = prompt.tokens - engine.cache.cached_tokens(prompt) - own
            if engine is order[0]:
                # Other hosts send the same parts there.
                missing = 0
            again = min(shared, max(0, missing))
            busy = engine.requests() / max(1, engine.instance.slots)
            return (
                engine.reading_time(own, scene.now)
                + REREAD_WEIGHT * again / engines.READ_RATE
                + BUSY_WEIGHT * busy * scene.job.route.target
            )

        return min(order, key=cost)


def short_lane(
    everyone: collections.abc.Sequence[engines.Engine],
) -> list[engines.Engine]:
    """Return the engines that serve short prompts."""
    count = math.ceil(SHORT_LANE_SHARE * len(everyone))
    return hashing.ranked('short lane', everyone, _name)[:count]


def short_only(
    everyone: collections.abc.Sequence[engines.Engine],
) -> list[engines.Engine]:
    """Return the engines that long prompts are kept off."""
    count = math.floor(SHORT_ONLY_SHARE * len(everyone))
    return hashing.ranked('short only', everyone, _name)[:count]


def shared_part(prompt: instances.Prompt | None) -> str:
    """Return the last part of a prompt that other requests share."""
    if prompt is None or not prompt.parts:
        return ''
    return prompt.parts[-2 if len(prompt.parts) > 1 else -1].part_id


def _first_below(order: list[engines.Engine]) -> engines.Engine:
    total = sum(e.requests() for e in order)
    bound = max(1.0, LOAD_BOUND * (total + 1) / len(order))
    return next((e for e in order if e.requests() + 1 <= bound), order[0])


def _plain_cost(
    scene: interface.Scene, engine: engines.Engine
) -> tuple[float, bool, int]:
    crowded = engine.requests() / max(1, engine.instance.slots)
    away = engine.instance.failure_domain != scene.own_domain
    errors = round(engine.health.error_share * 4)
    return (
        errors + math.floor(2 * crowded),
        away,
        hashing.weight(scene.job.request_id, engine.engine_id),
    )


def _name(engine: engines.Engine) -> str:
    return engine.engine_id
