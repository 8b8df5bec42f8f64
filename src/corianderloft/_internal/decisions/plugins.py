"""Registries of the decisions, and what a plug-in of each kind offers."""

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
class Scene:
    """What a balancer may know besides the engines themselves.

    Attributes
    ----------
    prefixes : Prefixes
        Which engines probably hold which prompt prefixes.
    healthy_gap : float
        Time between tokens of a healthy engine, in seconds; 0 when unknown.
    lane_part : float
        Part of what is in flight that the request cannot go before.
    """

    prefixes: prefixes.Prefixes
    healthy_gap: float = 0.0
    lane_part: float = 1.0


class Balancer(typing.Protocol):
    """Chooses the engine of one request.

    Attributes
    ----------
    judges_health : bool
        Whether slowed and failed engines are kept from it.
    """

    judges_health: bool

    def choose(
        self,
        waiter: waiting.Waiter,
        candidates: collections.abc.Sequence[engines.EngineView],
        now: float,
        scene: Scene,
    ) -> engines.EngineView | None:
        """Return one of ``candidates``, or None to go on waiting."""


class QueuePolicy(typing.Protocol):
    """Orders the requests that wait for one service."""

    def __len__(self) -> int:
        """Return how many requests wait."""

    def push(self, waiter: waiting.Waiter) -> None:
        """Add a request."""

    def pop(
        self, now: float, may_start: waiting.LaneFilter
    ) -> waiting.Waiter | None:
        """Remove and return the next request of a lane that may start."""

    def put_back(self, waiter: waiting.Waiter) -> None:
        """Return a popped request that found no engine to its place."""

    def discard(self, waiter: waiting.Waiter) -> None:
        """Remove a request, wherever it stands."""

    def waiters(self) -> list[waiting.Waiter]:
        """Return all that wait, in order of arrival."""

    def newest_of_lowest_tier(self) -> waiting.Waiter | None:
        """Return the request that is shed first."""


class Limiter(typing.Protocol):
    """Bounds what one host has in flight on each engine."""

    def use_host_count(self, count: int) -> None:
        """Note how many live hosts share the engines."""

    def has_room(self, engine: engines.EngineView, lane: waiting.Lane) -> bool:
        """Return whether an engine may be given a request of ``lane``."""

    def may_start(
        self, lane: waiting.Lane, load: demand.Demand, capacity: float
    ) -> bool:
        """Return whether a request of ``lane`` may start at all now."""

    def capacity(
        self, live: collections.abc.Iterable[engines.EngineView]
    ) -> float:
        """Return the slots that this host may use now."""

    def reported(self, engine: engines.EngineView) -> None:
        """Take in the engine's newest report."""

    def failed(self, engine: engines.EngineView) -> None:
        """Note that the engine refused or failed a request."""


class RetryRule(typing.Protocol):
    """Decides whether a failed attempt is followed by another."""

    def granted(self, now: float) -> None:
        """Note the first attempt of a request."""

    def decide(
        self,
        ticket: requests.Ticket,
        end: interface.AttemptEnd,
        attempts: int,
        may_have_run: bool,
        relayed_tokens: int,
        now: float,
    ) -> interface.RetryNow | interface.GiveUp:
        """Decide on one failed attempt."""


class HedgeRule(typing.Protocol):
    """Decides when a second attempt starts beside the first."""

    def granted(self, cost: float) -> None:
        """Note that work of ``cost`` tokens started."""

    def first_token(self, wait: float) -> None:
        """Note a first token that took ``wait`` seconds."""

    def delay(
        self, ticket: requests.Ticket, cost: float, target: float
    ) -> float | None:
        """Return the wait in seconds before a second attempt, or None.

        ``cost`` is the expected work in tokens, ``target`` that of the
        class for its first token, in seconds.
        """

    def spend(self, ticket: requests.Ticket) -> bool:
        """Charge a second attempt; return False when it may not start."""


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
