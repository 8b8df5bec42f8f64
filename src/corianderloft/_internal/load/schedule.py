"""Arrivals, drawn ahead by seed and independent of how requests fare."""

import collections.abc
import dataclasses
import heapq
import itertools
import math
import random

from corianderloft._internal.load import workload


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request that is to be sent.

    Attributes
    ----------
    at : float
        Seconds after the start of the run.
    load_class : LoadClass
        Its class.
    number : int
        Count inside its class, from 0.
    prompt_tokens, answer_tokens : int
        Lengths.
    """

    at: float
    load_class: workload.LoadClass
    number: int
    prompt_tokens: int
    answer_tokens: int


def arrivals(load: workload.Workload) -> list[Arrival]:
    """Return all arrivals of a workload in order of time."""
    rows = [
        _of_class(load_class, load.duration, load.seed)
        for load_class in load.classes
    ]
    merged = heapq.merge(*rows, key=lambda arrival: arrival.at)
    return list(itertools.islice(merged, load.max_requests))


def rate_at(load_class: workload.LoadClass, at: float) -> float:
    """Return the rate of a class at a time, in requests a second."""
    factors = (
        swing.factor
        for swing in load_class.swings
        if swing.start <= at < swing.start + swing.duration
    )
    return load_class.rate * math.prod(factors)


def _of_class(
    load_class: workload.LoadClass, duration: float, seed: int
) -> collections.abc.Iterator[Arrival]:
    """Draw a Poisson process whose rate swings, by thinning."""
    rng = random.Random(f'{seed}/{load_class.name}')
    peak = load_class.rate * math.prod(
        max(1.0, swing.factor) for swing in load_class.swings
    )
    numbers = itertools.count()
    at = 0.0
    while (at := at + rng.expovariate(peak)) < duration:
        if rng.random() * peak >= rate_at(load_class, at):
            continue
        yield Arrival(
            at,
            load_class,
            next(numbers),
            _draw(rng, load_class.prompt),
            _draw(rng, load_class.answer),
        )


def _draw(rng: random.Random, lengths: workload.Lengths) -> int:
    drawn = rng.lognormvariate(math.log(lengths.median), lengths.sigma)
    return max(1, min(lengths.most, round(drawn)))
