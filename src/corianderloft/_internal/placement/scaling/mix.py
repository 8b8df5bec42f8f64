"""Divides engines between kinds and failure domains."""

import collections.abc
import math

from corianderloft._internal.models import ids

MAX_PRICE_RATIO = 100.0
"""Ratio of prices beyond which a cheaper failure domain is not preferred any
more, so that one without a price does not take all engines."""

MAX_SHARE = 0.5
"""Part of the reclaimable engines that one failure domain may have if there
are several, as it may lose all of them at once."""

Counts = dict[ids.FailureDomain, int]
Prices = collections.abc.Mapping[ids.FailureDomain, float]


def relative_prices(prices: Prices) -> dict[ids.FailureDomain, float]:
    """Return positive prices, relative to the highest one."""
    highest = max(prices.values(), default=0.0)
    if highest <= 0:
        return dict.fromkeys(prices, 1.0)
    return {
        domain: max(price / highest, 1 / MAX_PRICE_RATIO)
        for domain, price in prices.items()
    }


def allocate(
    total: int,
    limits: collections.abc.Mapping[ids.FailureDomain, int],
    prices: Prices,
) -> Counts:
    """Divide engines between failure domains, more to the cheaper ones.

    Counts are inversely proportional to prices, by the method of D'Hondt: a
    larger total lowers no count, so a change of the total moves no engines.
    A domain has at most `MAX_SHARE` of them as long as others have room.

    Parameters
    ----------
    total : int
        Engines to divide.
    limits : mapping
        Most engines of each failure domain that may have any.
    prices : mapping
        Price by failure domain.
    """
    relative = relative_prices(prices)
    shares = {domain: 1 / relative[domain] for domain in limits}
    weight = sum(shares.values())
    most = math.ceil(MAX_SHARE * total) if len(limits) > 1 else total
    counts = {
        domain: min(limits[domain], most, int(total * share / weight))
        for domain, share in shares.items()
    }
    for bound in (most, total):
        while sum(counts.values()) < total:
            open_domains = [
                domain
                for domain, count in counts.items()
                if count < min(limits[domain], bound)
            ]
            if not open_domains:
                break
            counts[cheapest(open_domains, counts, relative)] += 1
    return counts


def cheapest(
    domains: collections.abc.Iterable[ids.FailureDomain],
    counts: collections.abc.Mapping[ids.FailureDomain, int],
    relative: Prices,
) -> ids.FailureDomain:
    """Return the failure domain that gets the next engine."""
    return min(
        domains,
        key=lambda domain: (relative[domain] * (counts[domain] + 1), domain),
    )


def dearest(
    domains: collections.abc.Iterable[ids.FailureDomain],
    counts: collections.abc.Mapping[ids.FailureDomain, int],
    relative: Prices,
) -> ids.FailureDomain:
    """Return the failure domain that gives up the next engine."""
    return max(
        domains,
        key=lambda domain: (relative[domain] * counts[domain], domain),
    )


def survivors(
    reclaimable: collections.abc.Mapping[ids.FailureDomain, int],
) -> int:
    """Return the reclaimable engines left after the worst loss of a domain."""
    counts = reclaimable.values()
    return sum(counts) - max(counts, default=0)


def plan(
    total: int,
    urgent: float,
    reclaimable_price: float,
    domains: collections.abc.Collection[ids.FailureDomain],
    prices: Prices,
) -> tuple[int, int]:
    """Return the cheapest numbers of on-demand and reclaimable engines.

    One on-demand engine is always kept, for a loss of all reclaimable ones.
    The engines left after the loss of all reclaimable engines of any failure
    domain and of one further engine carry the most urgent class.

    Parameters
    ----------
    total : int
        Engines of both kinds that are wanted.
    urgent : float
        Engines that the most urgent class needs.
    reclaimable_price : float
        Price of a reclaimable engine relative to an on-demand one.
    domains : collection of FailureDomain
        Failure domains that may have reclaimable engines.
    prices : mapping
        Price by failure domain.
    """
    relative = relative_prices(prices)
    shares = [1 / relative[domain] for domain in domains]
    largest = max(shares, default=1.0) / (sum(shares) or 1.0)
    if len(shares) > 1:
        largest = min(MAX_SHARE, largest)
    best: tuple[float, int, int] | None = None
    for on_demand in range(1, max(total, math.ceil(urgent) + 1) + 1):
        reclaimable = max(0, total - on_demand)
        missing = urgent - (on_demand - 1)
        if missing > 0:
            if largest >= 1:
                continue
            # One more, as the largest count is rounded up.
            needed = math.ceil((missing + 1) / (1 - largest))
            reclaimable = max(reclaimable, needed)
        cost = on_demand + reclaimable * reclaimable_price
        if best is None or cost < best[0]:
            best = (cost, on_demand, reclaimable)
    assert best is not None
    return best[1], best[2]
