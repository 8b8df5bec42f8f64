"""Arrivals, drawn in advance from a seed and independent of outcomes."""

import collections.abc
import dataclasses
import heapq
import itertools
import math
import random

from corianderloft._internal.load import workload


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One scheduled request.

    Attributes
    ----------
    at : float
        Seconds after the start of the run.
    load_class : LoadClass
        Class of the request.
    number : int
        Index within its class, from 0.
    prompt_tokens, answer_tokens : int
        Lengths of the prompt and the completion, in tokens.
    """

    at: float
    load_class: workload.LoadClass
    number: int
    prompt_tokens: int
    answer_tokens: int


def arrivals(load: workload.Workload) -> list[Arrival]:
    """Return all arrivals of a workload, ordered by time."""
    class_arrivals = [
        _class_arrivals(load_class, load.duration, load.seed)
        for load_class in load.classes
    ]
    merged = heapq.merge(*class_arrivals, key=lambda arrival: arrival.at)
    return list(itertools.islice(merged, load.max_requests))


def rate_at(load_class: workload.LoadClass, at: float) -> float:
    """Return the rate of a class at a time, in requests per second."""
    factors = (
        swing.factor
        for swing in load_class.swings
        if swing.start <= at < swing.start + swing.duration
    )
    return load_class.rate * math.prod(factors)


def _class_arrivals(
    load_class: workload.LoadClass, duration: float, seed: int
) -> collections.abc.Iterator[Arrival]:
    """Draw an inhomogeneous Poisson process by thinning."""
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
            _draw_length(rng, load_class.prompt),
            _draw_length(rng, load_class.answer),
        )


def _draw_length(rng: random.Random, lengths: workload.Lengths) -> int:
    length = rng.lognormvariate(math.log(lengths.median), lengths.sigma)
    return max(1, min(lengths.most, round(length)))
