"""Plug-in registries of the dispatcher, and the protocol of each kind."""

import collections.abc
import dataclasses
import random
import typing

from corianderloft._internal.decisions import demand
from corianderloft._internal.decisions import engines
from corianderloft._internal.decisions import interface
from corianderloft._internal.decisions import prefixes
from corianderloft._internal.decisions import waiting
from corianderloft._internal.kernel import registry
from corianderloft._internal.models import requests
from corianderloft._internal.settings import decisions as settings


@dataclasses.dataclass
class BalancerContext:
    """State that a balancer may use besides the engines themselves.

    Attributes
    ----------
    prefixes : PrefixIndex
        Engines that probably cache each prompt prefix.
    healthy_token_interval : float
        Inter-token latency of a healthy engine, in seconds; 0 if unknown.
    lane_fraction : float
        Fraction of the load that is of the request's lane or higher, which
        the request cannot overtake.
    """

    prefixes: prefixes.PrefixIndex
    healthy_token_interval: float = 0.0
    lane_fraction: float = 1.0


class Balancer(typing.Protocol):
    """Chooses the engine for one request.

    Attributes
    ----------
    uses_health : bool
        Whether slow and failed engines are removed from the candidates.
    """

    uses_health: bool

    def choose(
        self,
        waiter: waiting.Waiter,
        candidates: collections.abc.Sequence[engines.EngineView],
        now: float,
        context: BalancerContext,
    ) -> engines.EngineView | None:
        """Return one of ``candidates``, or None to keep the request queued."""


class QueuePolicy(typing.Protocol):
    """Orders the queued requests of one service."""

    def __len__(self) -> int:
        """Return the number of queued requests."""

    def push(self, waiter: waiting.Waiter) -> None:
        """Add a request."""

    def pop(
        self, now: float, may_start: waiting.LaneFilter
    ) -> waiting.Waiter | None:
        """Remove and return the next request of a lane that may start."""

    def put_back(self, waiter: waiting.Waiter) -> None:
        """Put back a popped request for which no engine was available."""

    def discard(self, waiter: waiting.Waiter) -> None:
        """Remove a request from any position."""

    def waiters(self) -> list[waiting.Waiter]:
        """Return all queued requests, in order of arrival."""

    def newest_of_lowest_tier(self) -> waiting.Waiter | None:
        """Return the request to shed first, or None if the queue is empty."""


class Limiter(typing.Protocol):
    """Limits the in-flight requests of one host on each engine."""

    def use_host_count(self, count: int) -> None:
        """Set the number of live hosts that share the engines."""

    def has_room(self, engine: engines.EngineView, lane: waiting.Lane) -> bool:
        """Return whether an engine has a free slot for ``lane``."""

    def may_start(
        self, lane: waiting.Lane, load: demand.Demand, capacity: float
    ) -> bool:
        """Return whether a request of ``lane`` may start on any engine."""

    def capacity(
        self, live: collections.abc.Iterable[engines.EngineView]
    ) -> float:
        """Return the slots that this host may use now."""

    def on_load_report(self, engine: engines.EngineView) -> None:
        """Handle a new load report of the engine."""

    def on_failed(self, engine: engines.EngineView) -> None:
        """Handle a request that the engine refused or failed."""


class RetryRule(typing.Protocol):
    """Decides whether to retry a failed attempt."""

    def on_granted(self, now: float) -> None:
        """Handle the start of the first attempt of a request."""

    def decide(
        self,
        ticket: requests.Ticket,
        end: interface.AttemptEnd,
        attempts: int,
        may_have_run: bool,
        relayed_tokens: int,
        now: float,
    ) -> interface.RetryNow | interface.GiveUp:
        """Decide whether to retry a failed attempt."""


class HedgeRule(typing.Protocol):
    """Decides when to send a hedge, a second parallel attempt."""

    def on_granted(self, cost: float) -> None:
        """Handle the start of an attempt that costs ``cost`` tokens."""

    def on_first_token(self, wait: float) -> None:
        """Handle a first token that arrived after ``wait`` seconds."""

    def delay(
        self, ticket: requests.Ticket, cost: float, target: float
    ) -> float | None:
        """Return the hedging delay in seconds, or None for no hedge.

        ``cost`` is the expected cost in tokens, ``target`` the first-token
        target of the class in seconds.
        """

    def try_spend(self, ticket: requests.Ticket) -> bool:
        """Charge a hedge; return False if it may not start."""


Settings = settings.DecisionSettings
BalancerFactory = collections.abc.Callable[[Settings, random.Random], Balancer]
QueuePolicyFactory = collections.abc.Callable[[Settings], QueuePolicy]
LimiterFactory = collections.abc.Callable[[Settings], Limiter]
RetryRuleFactory = collections.abc.Callable[
    [Settings, random.Random], RetryRule
]
HedgeRuleFactory = collections.abc.Callable[[Settings], HedgeRule]

BALANCERS: registry.Registry[BalancerFactory] = registry.Registry('balancer')
QUEUE_POLICIES: registry.Registry[QueuePolicyFactory] = registry.Registry(
    'queue policy'
)
LIMITERS: registry.Registry[LimiterFactory] = registry.Registry('limiter')
RETRY_RULES: registry.Registry[RetryRuleFactory] = registry.Registry(
    'retry rule'
)
HEDGE_RULES: registry.Registry[HedgeRuleFactory] = registry.Registry(
    'hedge rule'
)
