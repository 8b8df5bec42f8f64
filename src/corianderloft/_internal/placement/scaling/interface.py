"""Types of the decision on ordered engines."""

import collections.abc
import dataclasses
import enum
import typing

from corianderloft._internal.models import ids
from corianderloft._internal.placement import demand_reports


class Pool(typing.NamedTuple):
    """Engines of one kind in one failure domain, which one count orders."""

    domain: ids.FailureDomain
    reclaimable: bool

    @property
    def kind(self) -> str:
        """Name of the kind, for logs and metrics."""
        return 'reclaimable' if self.reclaimable else 'on_demand'


@dataclasses.dataclass(frozen=True)
class Supply:
    """Engines of a pool.

    Attributes
    ----------
    live : int
        Engines that are registered and not leaving.
    reclaimed : int
        Engines that have a notice from the platform that they end.
    """

    live: int = 0
    reclaimed: int = 0


NO_SUPPLY = Supply()


@dataclasses.dataclass(frozen=True)
class Capacity:
    """Capacity of one engine.

    Attributes
    ----------
    prefill_tokens_per_s : float
        Prompt tokens that it prefills in a second; 0 for a plain service.
    kv_tokens : float
        Tokens that its KV cache holds; 0 for a plain service.
    slots : int
        Requests that it runs together.
    """

    prefill_tokens_per_s: float
    kv_tokens: float
    slots: int


@dataclasses.dataclass(frozen=True)
class Observations:
    """What is known of a service at one moment.

    Attributes
    ----------
    demand : ServiceDemand
        Demand at all hosts that have reported.
    coverage : float
        Fraction of the hosts that have reported, from 0 to 1.
    capacity : Capacity
        Capacity of one engine.
    supply : dict
        Engines by pool; pools without engines may be missing.
    """

    demand: demand_reports.ServiceDemand
    coverage: float
    capacity: Capacity
    supply: collections.abc.Mapping[Pool, Supply]


class Reason(enum.Enum):
    """Why an order is sent."""

    DEMAND = 'demand'
    MINIMUM = 'minimum'
    SURPLUS = 'surplus'
    REPLACED = 'replaced by reclaimable engines'
    ROOM = 'room for on-demand engines'
    REPEATED = 'repeated'


@dataclasses.dataclass(frozen=True)
class Order:
    """A count of engines to order.

    Attributes
    ----------
    pool : Pool
        Kind and failure domain.
    count : int
        Engines that are wanted, including those that run.
    reason : Reason
        Why it is sent.
    """

    pool: Pool
    count: int
    reason: Reason


@dataclasses.dataclass(frozen=True)
class Figures:
    """Figures behind a decision, in engines, for the log and the metrics.

    Attributes
    ----------
    present : float
        Needed at present, with engines loaded as far as they may be briefly.
    firm : float
        Needed of any kind: the highest need of the hold time.
    wanted : float
        The same, with the spare engines that are worth their price.
    urgent : float
        Needed for the most urgent class alone.
    on_demand, reclaimable : int
        Wanted engines of each kind.
    """

    present: float = 0.0
    firm: float = 0.0
    wanted: float = 0.0
    urgent: float = 0.0
    on_demand: int = 0
    reclaimable: int = 0


@dataclasses.dataclass(frozen=True)
class Decision:
    """Orders to send, in this sequence, and the figures behind them.

    Attributes
    ----------
    orders : tuple of Order
        Orders to send.
    wanted : dict
        Wanted engines by pool, also of pools without an order.
    figures : Figures
        Figures behind them.
    """

    orders: tuple[Order, ...]
    wanted: collections.abc.Mapping[Pool, int]
    figures: Figures


class Result(enum.Enum):
    """What became of an order.

    NOT_SENT and REJECTED orders did not take effect; UNKNOWN ones may have.
    """

    ACCEPTED = 'accepted'
    NONE_AVAILABLE = 'none_available'
    REJECTED = 'rejected'
    NOT_SENT = 'not_sent'
    UNKNOWN = 'unknown'
