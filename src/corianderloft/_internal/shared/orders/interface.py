"""Interface between the sender of orders and the engines."""

import dataclasses
import enum
import typing

from corianderloft._internal.models import backends
from corianderloft._internal.models import ids


class OrderKind(enum.Enum):
    """What an order makes an engine do."""

    LOAD_MODEL = 'load_model'
    LOAD_ADAPTER = 'load_adapter'
    SET_ROLE = 'set_role'


@dataclasses.dataclass(frozen=True)
class Order:
    """One step towards the desired state; idempotent.

    Attributes
    ----------
    kind : OrderKind
        What the engine must do.
    target : str
        Name of the model, the adapter or the role.
    """

    kind: OrderKind
    target: str


@dataclasses.dataclass(frozen=True)
class DesiredState:
    """Desired state of an engine; None and empty require nothing."""

    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    role: str | None = None


@dataclasses.dataclass(frozen=True)
class EngineState:
    """State of an engine as reported by itself."""

    models: tuple[str, ...]
    adapters: tuple[str, ...]
    role: str


class OrderOutcome(enum.Enum):
    """Outcome of an order."""

    ACCEPTED = 'accepted'
    STALE_FENCING = 'stale_fencing'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


class EngineOrders(typing.Protocol):
    """Calls to engines."""

    async def read_state(
        self, backend: backends.Backend
    ) -> EngineState | None:
        """Return the state of an engine, or None if it cannot be read."""

    async def send(
        self,
        backend: backends.Backend,
        order: Order,
        fencing: ids.FencingNumber,
        order_id: str,
        timeout: float,
    ) -> OrderOutcome:
        """Send one order; time out after ``timeout`` seconds."""


def missing_orders(
    desired: DesiredState, state: EngineState
) -> tuple[Order, ...]:
    """Return the orders that lead from ``state`` to ``desired``."""
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
