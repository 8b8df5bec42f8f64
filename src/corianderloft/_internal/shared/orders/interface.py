"""What the sender of orders needs of engines."""

import dataclasses
import enum
import typing

from corianderloft._internal.models import backends
from corianderloft._internal.models import ids


class OrderKind(enum.Enum):
    """What an order asks for."""

    LOAD_MODEL = 'load_model'
    LOAD_ADAPTER = 'load_adapter'
    SET_ROLE = 'set_role'


@dataclasses.dataclass(frozen=True)
class Order:
    """One step towards the desired end; repeating it changes nothing.

    Attributes
    ----------
    kind : OrderKind
        What is asked for.
    target : str
        Name of the model, the adapter or the role.
    """

    kind: OrderKind
    target: str


@dataclasses.dataclass(frozen=True)
class DesiredState:
    """What must be loaded on an engine; None and empty ask for nothing."""

    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    role: str | None = None


@dataclasses.dataclass(frozen=True)
class EngineState:
    """What is loaded on an engine, as it says itself."""

    models: tuple[str, ...]
    adapters: tuple[str, ...]
    role: str


class OrderOutcome(enum.Enum):
    """How an order ended."""

    ACCEPTED = 'accepted'
    STALE_FENCING = 'stale_fencing'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


class EngineOrders(typing.Protocol):
    """Calls on engines."""

    async def read_state(
        self, backend: backends.Backend
    ) -> EngineState | None:
        """Return what is loaded; None when the engine does not answer."""

    async def send(
        self,
        backend: backends.Backend,
        order: Order,
        fencing: ids.FencingNumber,
        order_id: str,
        timeout: float,
    ) -> OrderOutcome:
        """Send one order; the call takes no longer than ``timeout`` s."""


def missing_orders(
    desired: DesiredState, state: EngineState
) -> tuple[Order, ...]:
    """Return the orders that lead from ``state`` to the desired end."""
    models = [
        Order(OrderKind.LOAD_MODEL, name)
        for name in desired.models
        if name not in state.models
    ]
    adapters = [
        Order(OrderKind.LOAD_ADAPTER, name)
        for name in desired.adapters
        if name not in state.adapters
    ]
    changes_role = desired.role is not None and desired.role != state.role
    roles = (
        [Order(OrderKind.SET_ROLE, desired.role or '')] if changes_role else []
    )
    return (*models, *adapters, *roles)
