"""Choosers: which backend server a request goes to."""

import collections.abc
import itertools
import math

from corianderloft._internal.models import instances
from corianderloft._internal.placement import engines
from corianderloft._internal.placement import hashing
from corianderloft._internal.placement import interface

LOAD_BOUND = 1.5
"""Requests at an engine, over the mean of all, up to which a prompt stays
with the engine that holds its shared parts."""

LONG_PROMPT = 2500
"""Prompt tokens from which a request delays the others of an engine."""

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
        order = hashing.ranked(part, scene.candidates, engine_name)
        return _first_below(order)


@interface.CHOOSERS.register('separated_prefix')
class SeparatedPrefix:
    """The same, with long prompts kept off a fixed part of the engines."""

    def choose(self, scene: interface.Scene) -> engines.Engine | None:
        """Return the first engine in the order of the part with room."""
        if not scene.candidates:
            return None
        prompt = scene.job.prompt
        order = hashing.ranked(
            shared_part(prompt), scene.candidates, engine_name
        )
        if prompt is not None and prompt.tokens > LONG_PROMPT:
            kept_off = {e.key for e in short_only(scene.everyone)}
            order = [e for e in order if e.key not in kept_off] or order
        return _first_below(order)


def short_only(
    everyone: collections.abc.Sequence[engines.Engine],
) -> list[engines.Engine]:
    """Return the engines that long prompts are kept off."""
    count = math.floor(SHORT_ONLY_SHARE * len(everyone))
    return hashing.ranked('short only', everyone, engine_name)[:count]


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


def engine_name(engine: engines.Engine) -> str:
    return engine.engine_id
