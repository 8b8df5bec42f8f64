"""Choosers: policies that select the backend server for a request."""

import collections.abc
import itertools
import math

from corianderloft._internal.models import instances
from corianderloft._internal.placement import engines
from corianderloft._internal.placement import hashing
from corianderloft._internal.placement import interface

MAX_LOAD_RATIO = 1.5
"""Highest ratio of an engine's requests to the mean over all engines at which
a prompt still goes to the engine that caches its shared prefix."""

LONG_PROMPT_TOKENS = 2500
"""Prompt length above which a request delays the others on its engine."""

SHORT_ONLY_RATIO = 0.4
"""Fraction of the engines that receive no long prompts."""


@interface.CHOOSERS.register('round_robin')
class RoundRobin:
    """Baseline: cycles through the candidates."""

    def __init__(self) -> None:
        self._counter = itertools.count()

    def choose(self, context: interface.Context) -> engines.Engine | None:
        """Return the next candidate."""
        if not context.candidates:
            return None
        return context.candidates[
            next(self._counter) % len(context.candidates)
        ]


@interface.CHOOSERS.register('fewest_requests')
class FewestRequests:
    """Baseline: least loaded, preferring the local failure domain."""

    def choose(self, context: interface.Context) -> engines.Engine | None:
        """Return the candidate with the lowest cost by load and errors."""
        if not context.candidates:
            return None
        return min(context.candidates, key=lambda e: _load_cost(context, e))


@interface.CHOOSERS.register('hashed_prefix')
class HashedPrefix:
    """Baseline: consistent hashing of the shared prefix with bounded loads."""

    def choose(self, context: interface.Context) -> engines.Engine | None:
        """Return the first engine in hash order that is below the bound."""
        if not context.candidates:
            return None
        prefix = shared_prefix_id(context.job.prompt)
        order = hashing.ranked(prefix, context.candidates, engine_id_of)
        return _first_below_bound(order)


@interface.CHOOSERS.register('separated_prefix')
class SeparatedPrefix:
    """``hashed_prefix`` with a fixed set of engines without long prompts."""

    def choose(self, context: interface.Context) -> engines.Engine | None:
        """Return the first engine in hash order that is below the bound."""
        if not context.candidates:
            return None
        prompt = context.job.prompt
        order = hashing.ranked(
            shared_prefix_id(prompt), context.candidates, engine_id_of
        )
        if prompt is not None and prompt.tokens > LONG_PROMPT_TOKENS:
            excluded = {e.key for e in short_only(context.view.live)}
            order = [e for e in order if e.key not in excluded] or order
        return _first_below_bound(order)


def short_only(
    live_engines: collections.abc.Sequence[engines.Engine],
) -> list[engines.Engine]:
    """Return the engines that receive no long prompts."""
    count = math.floor(SHORT_ONLY_RATIO * len(live_engines))
    return hashing.ranked('short only', live_engines, engine_id_of)[:count]


def shared_prefix_id(prompt: instances.Prompt | None) -> str:
    """Return the ID of the last prompt part that other requests share."""
    if prompt is None or not prompt.parts:
        return ''
    return prompt.parts[-2 if len(prompt.parts) > 1 else -1].part_id


def _first_below_bound(order: list[engines.Engine]) -> engines.Engine:
    total = sum(e.requests() for e in order)
    bound = max(1.0, MAX_LOAD_RATIO * (total + 1) / len(order))
    return next((e for e in order if e.requests() + 1 <= bound), order[0])


def _load_cost(
    context: interface.Context, engine: engines.Engine
) -> tuple[float, bool, int]:
    utilization = engine.requests() / max(1, engine.instance.slots)
    remote = engine.instance.failure_domain != context.local_domain
    errors = round(engine.health.error_share * 4)
    return (
        errors + math.floor(2 * utilization),
        remote,
        hashing.weight(context.job.request_id, engine.engine_id),
    )


def engine_id_of(engine: engines.Engine) -> str:
    return engine.engine_id
