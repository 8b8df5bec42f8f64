"""Admission of requests by the memory and slots that engines have left."""

import dataclasses
import math
import random

import trio

from corianderloft._internal.models import ids
from corianderloft._internal.placement import drain_rate
from corianderloft._internal.placement import engines
from corianderloft._internal.placement import fair_queue
from corianderloft._internal.placement import interface
from corianderloft._internal.placement import lengths
from corianderloft._internal.placement import popular_parts
from corianderloft._internal.placement import queue

REPORT_AGE_S = 0.06
"""Age of what is known of other hosts' loads: two intervals between their
datagrams, as changes are also passed on by delegates."""

HOSTS_AT_FULL_PACE = 64
"""Number of hosts up to which delegates pass loads on at the pace of single
hosts; in larger fleets the age grows with their number."""

RESERVE_DEVIATIONS = 2.0
"""Standard deviations of the requests that other hosts send within
`REPORT_AGE_S` that the reserve covers, beside their mean number."""

MAX_RESERVE_RATIO = 0.25
"""Largest part of an engine's memory that is kept for other hosts."""

MAX_POPULAR_RATIO = 0.5
"""Largest part of an engine's memory that is kept for popular prompt parts,
whose lengths are what callers state."""

URGENT_RESERVE_RATIO = 0.05
"""Part of an engine's memory and slots that only the most urgent requests
use."""

CONTENDED_ENGINES = 8
"""Engines that a queued request may go to, as in `lanes`."""

ROUNDING_RATIO = 0.5
"""Expected use of shares that are too small for a request. With the whole of
it, two hosts would use the same last place in a quarter of the cases."""

MAX_SHARES = 4096
"""Engines for which the share of this host is kept."""

WAIT_TOLERANCE = 1.2
"""Factor by which the estimated wait must exceed the time left before a
request is refused for it."""

FIRST_CHECK_RATIO = 0.12
CHECK_RATIO = 0.25
"""Time to the first and between the next estimates for a queued request, in
multiples of its target. A refusal within an eighth of it costs nothing."""

RETRY_MARGIN_RATIO = 0.25
"""Time that a refusal leaves for another attempt of the caller, in multiples
of its target."""

RETRY_AFTER_JITTER = (0.75, 1.25)
"""Bounds of the random factor on the retry delay, so that callers that were
refused together do not return together."""

MIN_RETRY_AFTER_RATIO = 0.1
"""Shortest retry delay in multiples of the target."""


@dataclasses.dataclass
class _Share:
    tokens: float
    rounding: float
    until: float


class Admission:
    """Decides which engines can hold a request, and how long it waits.

    Responds to bursts of long prompts over engines whose memory is full
    before their slots are, and to many hosts that send to the same engine
    before they hear of each other.

    Parameters
    ----------
    rng : Random
        Source of random numbers.

    Attributes
    ----------
    queue : FairQueue
        Requests that no engine can take now.
    lengths : OutputLengths
        Learned output lengths and durations.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.queue = fair_queue.FairQueue()
        self.lengths = lengths.OutputLengths()
        self._drains: dict[fair_queue.Lane, drain_rate.DrainRate] = {}
        self._popular: dict[ids.ServiceName, popular_parts.PopularParts] = {}
        self._shares: dict[engines.Key, _Share] = {}

    def need(self, job: interface.Job) -> interface.Need:
        """Return the memory that a request will occupy."""
        prompt = job.prompt
        if prompt is None:
            return interface.Need(0)
        shared = prompt.shared_parts
        own = max(0, prompt.tokens - sum(part.tokens for part in shared))
        popular = self._popular_parts(job.service)
        return interface.Need(
            own + self.lengths.expected_output(job),
            tuple(part for part in shared if part.part_id not in popular),
        )

    def record(self, job: interface.Job) -> None:
        """Record a request that arrived."""
        if job.prompt is not None:
            self._popular_parts(job.service).record(job.prompt)

    def _popular_parts(
        self, service: ids.ServiceName
    ) -> popular_parts.PopularParts:
        return self._popular.setdefault(service, popular_parts.PopularParts())

    def admits(
        self, context: interface.Context, engine: engines.Engine
    ) -> bool:
        """Return whether an engine can hold a request until its end.

        The loads of other hosts are old, and each of these hosts counts a
        shared part that its own requests use, so a part that requests of
        several hosts use counts several times unless it is popular.
        """
        if context.job.prompt is None or not engine.memory_tokens:
            return True
        need = context.need
        if need.tokens > engine.memory_tokens:
            # The engine turns it away itself.
            return True
        popular = self._popular_parts(context.job.service).total_tokens
        capacity = engine.memory_tokens - min(
            popular, round(MAX_POPULAR_RATIO * engine.memory_tokens)
        )
        unreported = engine.unreported_requests(context.now)
        present = engine.requests() + unreported
        if present <= 0:
            return True
        slots = float(engine.instance.slots)
        if not context.most_urgent:
            slots *= 1 - URGENT_RESERVE_RATIO
        if present + 1 > max(1.0, slots):
            return False
        held = engine.kv_tokens() * present / max(1, engine.requests())
        if not engine.requests():
            held = unreported * need.tokens
        added = need.own_tokens + engine.shared.missing(need.shared_parts)
        reserve = self._reserve(context, capacity, need)
        free = capacity - held - reserve
        if added > free:
            return False
        return self._within_share(context, engine, free, added)

    def _reserve(
        self, context: interface.Context, capacity: int, need: interface.Need
    ) -> float:
        """Return the memory kept for what is on its way from other hosts."""
        demand = context.demand
        rate = demand.long if context.long_prompts else demand.short
        others = (context.hosts - 1) / context.hosts
        count = (
            others
            * rate
            * _report_age(context.hosts)
            / max(1, need.own_tokens)
            / max(1, len(context.view.live))
        )
        reserve = need.tokens * (
            count + RESERVE_DEVIATIONS * math.sqrt(max(0.0, count))
        )
        reserve = min(reserve, MAX_RESERVE_RATIO * capacity)
        if not context.most_urgent:
            reserve += URGENT_RESERVE_RATIO * capacity
        return reserve

    def _within_share(
        self,
        context: interface.Context,
        engine: engines.Engine,
        free: float,
        added: int,
    ) -> bool:
        """Return whether this host's share of the free memory is enough.

        Until hosts hear of each other's requests, each of those that may
        send to an engine uses an equal share of what is free there. A share
        that is too small for a request is used by chance.
        """
        live = max(1, len(context.view.live))
        fraction = max(1, context.waiting) * CONTENDED_ENGINES / live
        others = (context.hosts - 1) * min(1.0, fraction)
        share = self._shares.get(engine.key)
        if share is None or context.now >= share.until:
            interval = _report_age(context.hosts) * self._rng.uniform(
                0.75, 1.25
            )
            share = _Share(
                free / (1 + others), self._rng.random(), context.now + interval
            )
            if len(self._shares) >= MAX_SHARES:
                self._shares.clear()
            self._shares[engine.key] = share
        if share.tokens >= added:
            return True
        return ROUNDING_RATIO * share.tokens > added * share.rounding

    def create_waiter(
        self,
        job: interface.Job,
        exclude: queue.Keys,
        number: int,
        long: bool,
        limit: int,
    ) -> queue.Waiter:
        """Return a request to be queued, with the latest time to wait.

        A request waits as long as its answer may end before its deadline, so
        that its caller has the time for another attempt if it is refused.

        Parameters
        ----------
        job : Job
            The request.
        exclude : set of Key
            Backend servers that must not be chosen.
        number : int
            Position in the order of arrival.
        long : bool
            Whether its route has long prompts.
        limit : int
            Largest number of tokens that its workspace is charged for it.
        """
        waiter = queue.Waiter(job, exclude, number)
        if job.prompt is not None:
            waiter.long_prompt = long
            waiter.tokens = max(1, min(limit, self.need(job).own_tokens))
            self.update_deadline(waiter, trio.current_time())
        return waiter

    def update_deadline(self, waiter: queue.Waiter, now: float) -> None:
        """Set how long a request may wait from what is known by now."""
        job = waiter.job
        if job.prompt is not None:
            duration = self.lengths.expected_duration(job)
            margin = RETRY_MARGIN_RATIO * job.route.target
            waiter.wait_deadline = max(now, job.deadline - duration - margin)

    def next_check(self, waiter: queue.Waiter, now: float) -> float:
        """Return when to estimate the wait of a queued request again."""
        target = waiter.job.route.target
        first = waiter.job.arrived + FIRST_CHECK_RATIO * target
        return first if now < first else now + CHECK_RATIO * target

    def is_hopeless(self, waiter: queue.Waiter, now: float) -> bool:
        """Return whether a request will not be served before its deadline."""
        if waiter.job.prompt is None:
            return False
        ahead = self.queue.tokens_ahead(waiter)
        wait = self._drain(waiter).wait(ahead, now)
        time_left = waiter.wait_deadline - now
        return wait is not None and wait > WAIT_TOLERANCE * time_left

    def retry_after(
        self, waiter: queue.Waiter, backlog: int, now: float
    ) -> float | None:
        """Return the retry delay of a refused request, None if unknown.

        Parameters
        ----------
        waiter : Waiter
            The request.
        backlog : int
            Tokens of the requests that were ahead of it.
        now : float
            Current time on trio's clock.
        """
        wait = self._drain(waiter).wait(backlog + waiter.tokens, now)
        if wait is None:
            return None
        # A later attempt could not be answered before the deadline.
        target = waiter.job.route.target
        latest = waiter.wait_deadline + RETRY_MARGIN_RATIO * target - now
        wait = max(min(wait, latest), MIN_RETRY_AFTER_RATIO * target)
        return wait * self._rng.uniform(*RETRY_AFTER_JITTER)

    def note_queued(self, waiter: queue.Waiter, now: float) -> None:
        """Record whether requests of the lane of a request wait."""
        waiting = self.queue.waiting_like(waiter)
        self._drain(waiter).note_backlog(waiting > 0, now)

    def note_dispatched(
        self, waiter: queue.Waiter, engine: engines.Engine, now: float
    ) -> None:
        """Record that a request was dispatched."""
        share = self._shares.get(engine.key)
        if share is not None:
            share.tokens -= self.need(waiter.job).tokens
        self._drain(waiter).record(waiter.tokens, now)

    def _drain(self, waiter: queue.Waiter) -> drain_rate.DrainRate:
        lane = waiter.job.service, waiter.long_prompt
        return self._drains.setdefault(lane, drain_rate.DrainRate())


def _report_age(hosts: int) -> float:
    """Return the age of what is known of the loads of other hosts."""
    return REPORT_AGE_S * max(1.0, hosts / HOSTS_AT_FULL_PACE)
