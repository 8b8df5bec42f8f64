"""Orders to an engine: what it has loaded, and which role it plays."""

import dataclasses
import enum

import pydantic

HISTORY_LIMIT = 200


class OrderKind(enum.Enum):
    """What an order asks for."""

    LOAD_MODEL = 'load_model'
    LOAD_ADAPTER = 'load_adapter'
    SET_ROLE = 'set_role'


class Order(pydantic.BaseModel):
    """Body of an order."""

    fencing: int
    order_id: str
    kind: OrderKind
    target: str


@dataclasses.dataclass
class EngineState:
    """What the engine has loaded; it can be read back.

    Attributes
    ----------
    models, adapters : list of str
        What is loaded, in order of loading.
    role : str
        Role that the engine plays.
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

    def accept(self, order: Order, checks_fencing: bool) -> bool:
        """Carry out an order; False when its fencing number is too old."""
        if checks_fencing and order.fencing < self.fencing:
            return False
        self.fencing = max(self.fencing, order.fencing)
        self.orders.append(order.model_dump(mode='json'))
        del self.orders[:-HISTORY_LIMIT]
        match order.kind:
            case OrderKind.LOAD_MODEL:
                _append_new(self.models, order.target)
            case OrderKind.LOAD_ADAPTER:
                _append_new(self.adapters, order.target)
            case OrderKind.SET_ROLE:
                self.role = order.target
        return True


def _append_new(names: list[str], name: str) -> None:
    if name not in names:
        names.append(name)
