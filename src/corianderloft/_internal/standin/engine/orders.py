"""Orders to an engine, which change its models, adapters and role."""

import dataclasses
import enum

import pydantic

MAX_KEPT_ORDERS = 200


class OrderKind(enum.Enum):
    """Kind of change that an order requests."""

    LOAD_MODEL = 'load_model'
    LOAD_ADAPTER = 'load_adapter'
    SET_ROLE = 'set_role'


class Order(pydantic.BaseModel):
    """Request body of an order."""

    fencing: int
    order_id: str
    kind: OrderKind
    target: str


@dataclasses.dataclass
class EngineState:
    """State that orders change; served at ``GET /v1/state``.

    Attributes
    ----------
    models, adapters : list of str
        Loaded models and adapters, in order of loading.
    role : str
        Role of the engine.
    fencing : int
        Highest fencing number seen.
    orders : list of dict
        Accepted orders, oldest first.
    """

    models: list[str]
    adapters: list[str] = dataclasses.field(default_factory=list)
    role: str = 'mixed'
    fencing: int = 0
    orders: list[dict[str, object]] = dataclasses.field(default_factory=list)

    def apply(self, order: Order, check_fencing: bool) -> bool:
        """Apply an order; return False if its fencing number is too old."""
        if check_fencing and order.fencing < self.fencing:
            return False
        self.fencing = max(self.fencing, order.fencing)
        self.orders.append(order.model_dump(mode='json'))
        del self.orders[:-MAX_KEPT_ORDERS]
        match order.kind:
            case OrderKind.LOAD_MODEL:
                _append_if_missing(self.models, order.target)
            case OrderKind.LOAD_ADAPTER:
                _append_if_missing(self.adapters, order.target)
            case OrderKind.SET_ROLE:
                self.role = order.target
        return True


def _append_if_missing(names: list[str], name: str) -> None:
    if name not in names:
        names.append(name)
