"""How many engines a demand needs."""

import math

from corianderloft._internal.models import routing
from corianderloft._internal.placement import demand_reports
from corianderloft._internal.placement.scaling import interface

PREFILL_LOAD = 0.6
"""Fraction of the learned prefill rate that is planned for. Engines prefill
slower while they decode: the learned rate includes the mean share of that, and
more of it when all slots are busy. Prompts arrive at random as well; at this
load they wait for about as long as their own prefill takes."""

MEMORY_LOAD = 0.75
"""Fraction of the KV memory and the slots of engines that is planned for,
since requests do not spread evenly over engines."""

PEAK_PREFILL_LOAD = 0.85
PEAK_MEMORY_LOAD = 0.9
"""The same fractions for a burst that ends within seconds: callers wait
longer, but no backlog grows."""

SPARE_COST = 0.25
"""Cost of the spare engines for bursts as a fraction of the cost of on-demand
engines for the steady load. New engines come too late for a burst of a few
seconds, so the spare ones must run before. At a sixth of the price they cover
bursts of 2.5 times; on-demand engines are kept for 1.25 times."""

MAX_SPARE = 1.7
"""Bound on the spare capacity as a multiple of the steady load. Bursts of up
to 2.7 times occur."""


def engines(
    demand: demand_reports.ServiceDemand,
    capacity: interface.Capacity,
    prefill_load: float,
    memory_load: float,
) -> float:
    """Return the engines that a demand needs.

    Parameters
    ----------
    demand : ServiceDemand
        The demand.
    capacity : Capacity
        Capacity of one engine.
    prefill_load, memory_load : float
        Fractions of the prefill rate, and of memory and slots, to plan for.
    """
    needs = [demand.running / (memory_load * max(1, capacity.slots))]
    if capacity.kv_tokens > 0:
        needs.append(demand.kv_tokens / (memory_load * capacity.kv_tokens))
    if capacity.prefill_tokens_per_s > 0:
        needs.append(
            demand.prefill_tokens_per_s
            / (prefill_load * capacity.prefill_tokens_per_s)
        )
    return max(needs)


def planned(
    demand: demand_reports.ServiceDemand, capacity: interface.Capacity
) -> float:
    """Return the engines for a demand that lasts."""
    return engines(demand, capacity, PREFILL_LOAD, MEMORY_LOAD)


def at_peak(
    demand: demand_reports.ServiceDemand, capacity: interface.Capacity
) -> float:
    """Return the engines for a demand that lasts a few seconds."""
    return engines(demand, capacity, PEAK_PREFILL_LOAD, PEAK_MEMORY_LOAD)


def backlog(
    demand: demand_reports.ServiceDemand,
    capacity: interface.Capacity,
    seconds: float,
) -> float:
    """Return the engines that prefill what waits within some seconds."""
    if capacity.prefill_tokens_per_s <= 0:
        return 0.0
    rate = PEAK_PREFILL_LOAD * capacity.prefill_tokens_per_s
    return demand.waiting_tokens / (rate * max(1.0, seconds))


def reclaimable_price(declared: routing.Scaling) -> float | None:
    """Return the price of a reclaimable engine; None if it saves nothing."""
    price = declared.reclaimable_price
    return price if price is not None and price < 1 else None


def spare_ratio(declared: routing.Scaling) -> float:
    """Return the spare capacity as a multiple of the steady load."""
    price = reclaimable_price(declared)
    if price is None:
        return SPARE_COST
    return min(MAX_SPARE, SPARE_COST / max(price, 1e-9))


def problem(declared: routing.Scaling) -> str | None:
    """Return why engines cannot be ordered as declared, or None."""
    numbers = [declared.boot_time, *declared.prices.values()]
    if declared.reclaimable_price is not None:
        numbers.append(declared.reclaimable_price)
    if not declared.prices:
        return 'no failure domain has a price'
    if not all(math.isfinite(value) and value >= 0 for value in numbers):
        return 'a price or time is negative or not a number'
    if not 0 <= declared.min_engines <= declared.max_engines:
        return 'the minimum exceeds the maximum or is negative'
    return None
