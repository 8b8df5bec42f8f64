"""Decides when and whether a request gets a second attempt.

Responds to a backend server that is slow while others of its service have
room. Hedges are bounded by a share of the work that this host has started, so
the bound holds for all hosts together without coordination.
"""

import collections
import dataclasses
import enum
import math

from corianderloft._internal.models import ids
from corianderloft._internal.placement import engines
from corianderloft._internal.placement import interface

MIN_QUANTILE = 0.9
"""Lowest quantile of first-answer times after which a request is hedged,
however much extra work is allowed."""

MIN_TARGET_RATIO = 0.25
"""Part of the target before which nothing is hedged: an answer that comes a
little later is in time anyway."""

MAX_BURST_REQUESTS = 10.0
"""Largest balance of extra work, in requests of mean cost: about what one host
has at one server that becomes slow."""

MEAN_COST_WEIGHT = 0.02
"""Weight of the newest request in the moving average of the cost."""

MAX_SAMPLE_AGE_S = 1.0
"""Age up to which the load that a server reported counts."""


class Refusal(enum.Enum):
    """Why a request gets no second attempt."""

    NOT_REPEATABLE = 'not_repeatable'
    BEGUN = 'begun'
    ATTEMPTS = 'attempts'
    QUEUE = 'queue'
    EXTRA_WORK = 'extra_work'
    RETRY_BUDGET = 'retry_budget'
    NO_SERVER = 'no_server'
    NOT_FASTER = 'not_faster'


@dataclasses.dataclass(frozen=True)
class Situation:
    """What the decision on a second attempt rests on.

    Attributes
    ----------
    repeatable : bool
        Whether the request may run more than once.
    begun : bool
        Whether its answer has begun.
    attempts_left : bool
        Whether its route and its deadline allow another attempt.
    waiting : int
        Requests that wait in the queue of this host.
    work_allowed : bool
        Whether the budget of extra work covers the request.
    retry_allowed : bool
        Whether the retry budget covers another attempt.
    """

    repeatable: bool
    begun: bool
    attempts_left: bool
    waiting: int
    work_allowed: bool
    retry_allowed: bool


def refusal(situation: Situation) -> Refusal | None:
    """Return why a request gets no second attempt; None if it may get one."""
    checks = (
        (situation.repeatable, Refusal.NOT_REPEATABLE),
        (not situation.begun, Refusal.BEGUN),
        (situation.attempts_left, Refusal.ATTEMPTS),
        (situation.waiting == 0, Refusal.QUEUE),
        (situation.work_allowed, Refusal.EXTRA_WORK),
        (situation.retry_allowed, Refusal.RETRY_BUDGET),
    )
    return next((why for holds, why in checks if not holds), None)


def has_room(engine: engines.Engine, job: interface.Job, now: float) -> bool:
    """Return whether a server can run a request at once.

    Parameters
    ----------
    engine : Engine
        The server.
    job : Job
        The request.
    now : float
        Current time on trio's clock.
    """
    sample = engine.sample
    if sample is not None and now - engine.sampled_at <= MAX_SAMPLE_AGE_S:
        if sample.waiting > 0 or sample.running >= sample.slots:
            return False
    if engine.health.suspected:
        return False
    if engine.requests() >= engine.instance.slots:
        return False
    if job.prompt is None or not engine.memory_tokens:
        return True
    needed = job.prompt.tokens + job.prompt.max_output
    return engine.kv_tokens() + needed <= engine.memory_tokens


def expected_wait(
    engine: engines.Engine, job: interface.Job, now: float
) -> float:
    """Return the expected time to the first answer of a server, in seconds."""
    tokens = engine.pending_prefill_tokens()
    if job.prompt is not None:
        tokens += job.prompt.tokens - engine.cache.cached_tokens(job.prompt)
    return engine.slowdown(now) * engine.speed.expected_ttft(tokens)


def cost(job: interface.Job) -> float:
    """Return the cost of running a request once.

    In tokens for a model, and in calls for a plain service, whose calls are
    taken to be equal; budgets are kept for each service.
    """
    if job.prompt is None:
        return 1.0
    return max(1.0, job.prompt.tokens + job.prompt.max_output / 2)


@dataclasses.dataclass
class _Account:
    """Balance of one service.

    Attributes
    ----------
    balance : float
        Extra work that is allowed now.
    mean_cost : float
        Moving average of the cost of a request.
    """

    balance: float = 0.0
    mean_cost: float = 0.0


class Hedges:
    """Delay and budget of the second attempts of one host.

    Parameters
    ----------
    extra_work : float
        Extra work as a share of the work started, from 0 to 1; 0 means that
        nothing is hedged.

    Attributes
    ----------
    work_added : dict
        Cost of the hedges started, by service.
    work_started : dict
        Cost of the requests started, by service.
    """

    def __init__(self, extra_work: float = 0.0) -> None:
        self._extra_work = extra_work
        self._accounts: dict[ids.ServiceName, _Account] = {}
        self.work_added: dict[str, float] = collections.defaultdict(float)
        self.work_started: dict[str, float] = collections.defaultdict(float)

    @property
    def enabled(self) -> bool:
        """Whether requests are hedged at all."""
        return self._extra_work > 0

    def set_extra_work(self, extra_work: float) -> None:
        """Change the share of extra work."""
        self._extra_work = extra_work

    def delay(
        self, engine: engines.Engine, expected: float, target: float
    ) -> float:
        """Return after which wait a request is hedged, in seconds.

        Infinite if it is not hedged.

        Parameters
        ----------
        engine : Engine
            Server that the request is sent to.
        expected : float
            Expected time to its first answer, in seconds.
        target : float
            Target of the route for the first answer, in seconds.
        """
        if not self.enabled:
            return math.inf
        share = max(MIN_QUANTILE, 1.0 - self._extra_work)
        ratio = engine.speed.first_answers.quantile(engine.key, share)
        if ratio is None:
            return math.inf
        return max(MIN_TARGET_RATIO * target, ratio * expected)

    def record_started(self, job: interface.Job) -> None:
        """Record that a request is sent for the first time."""
        if not self.enabled:
            return
        account = self._accounts.setdefault(job.service, _Account())
        work = cost(job)
        if not account.mean_cost:
            account.mean_cost = work
        account.mean_cost += MEAN_COST_WEIGHT * (work - account.mean_cost)
        # A lower cap must not take away what was earned before.
        cap = max(account.balance, MAX_BURST_REQUESTS * account.mean_cost)
        account.balance = min(cap, account.balance + self._extra_work * work)
        self.work_started[job.service] += work

    def allows(self, job: interface.Job) -> bool:
        """Return whether the budget covers a second attempt."""
        account = self._accounts.get(job.service)
        return (
            self.enabled
            and account is not None
            and account.balance >= cost(job)
        )

    def spend(self, job: interface.Job) -> None:
        """Charge a second attempt, which the budget allows."""
        account = self._accounts[job.service]
        account.balance -= cost(job)
        self.work_added[job.service] += cost(job)
