"""The one sender of orders for a service.

It states desired ends, reads back what the engines have and repairs what
differs, also when an order of an earlier holder arrived late. Where
engines ignore fencing numbers, a new holder first waits until every order
of the one before it has landed.
"""

import collections.abc
import random
import typing

import trio

from corianderloft._internal.metrics import registry
from corianderloft._internal.models import backends
from corianderloft._internal.models import ids
from corianderloft._internal.models import states
from corianderloft._internal.shared.leases import lease
from corianderloft._internal.shared.orders import interface

ORDER_TIMEOUT_S = 5.0
ROUND_S = 10.0
READS_PER_SECOND = 5.0

ORDERS = registry.counter('orders', 'Orders to engines by outcome.')

Desired = collections.abc.Callable[
    [],
    collections.abc.Sequence[tuple[backends.Backend, interface.DesiredState]],
]


class OrderSender:
    """Brings the engines of one service to their desired ends.

    Parameters
    ----------
    held : Lease
        Lease on sending orders for the service.
    engines : EngineOrders
        Calls on engines.
    desired : callable
        Returns the engines of the service, each with its desired end.
    fencing : callable
        Returns whether the engines check fencing numbers.
    lease_ttl : float
        Time to live of the lease in seconds.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        held: lease.Lease,
        engines: interface.EngineOrders,
        desired: Desired,
        fencing: collections.abc.Callable[[], states.FencingSupport],
        lease_ttl: float,
        rng: random.Random,
    ) -> None:
        self._lease = held
        self._engines = engines
        self._desired = desired
        self._fencing = fencing
        self._wait_out = lease_ttl + ORDER_TIMEOUT_S
        self._rng = rng

    async def run(self) -> typing.NoReturn:
        """Send orders while the lease is held, until cancelled."""
        while True:
            for backend, desired in self._desired():
                if self._may_act() is None:
                    break
                await self._repair(backend, desired)
                await trio.sleep(1 / READS_PER_SECOND)
            await trio.sleep(self._rng.uniform(0.8, 1.2) * ROUND_S)

    def _may_act(self) -> lease.Held | None:
        """Return the lease if an order may be sent now."""
        held = self._lease.current(needed=ORDER_TIMEOUT_S)
        if held is None:
            return None
        checked = self._fencing() is states.FencingSupport.CHECKED
        if checked or trio.current_time() >= held.taken_at + self._wait_out:
            return held
        return None

    async def _repair(
        self, backend: backends.Backend, desired: interface.DesiredState
    ) -> None:
        state = await self._engines.read_state(backend)
        if state is None:
            return
        for order in interface.missing_orders(desired, state):
            # Checked for each order: this host may have been paused.
            held = self._may_act()
            if held is None:
                return
            outcome = await self._engines.send(
                backend,
                order,
                held.fencing,
                _order_id(held.fencing, backend, order),
                ORDER_TIMEOUT_S,
            )
            ORDERS.inc({'outcome': outcome.value})
            if outcome is interface.OrderOutcome.STALE_FENCING:
                return


def _order_id(
    fencing: ids.FencingNumber,
    backend: backends.Backend,
    order: interface.Order,
) -> str:
    return f'{fencing}/{backend.engine_id}/{order.kind.value}/{order.target}'
