"""Sends the orders for one service; only the lease holder sends them.

The sender compares the state of each engine with its desired state and sends
orders for the differences, which also corrects late orders of an earlier
lease holder. If the engines ignore fencing numbers, a new holder first waits
until no order of the previous holder can still be in flight.
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
from corianderloft._internal.utils import clock

ORDER_TIMEOUT_S = 5.0
RECONCILE_INTERVAL_S = 10.0
MAX_READS_PER_SECOND = 5.0

ORDERS = registry.counter('orders', 'Orders to engines by outcome.')

DesiredStates = collections.abc.Callable[
    [],
    collections.abc.Sequence[tuple[backends.Backend, interface.DesiredState]],
]


class OrderSender:
    """Reconciles the engines of one service with their desired states.

    Parameters
    ----------
    service_lease : Lease
        Lease that entitles its holder to send orders for the service.
    engines : EngineOrders
        Calls to engines.
    desired_states : callable
        Returns the engines of the service, each with its desired state.
    fencing_support : callable
        Returns whether the engines check fencing numbers.
    lease_ttl : float
        Time to live of the lease in seconds.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        service_lease: lease.Lease,
        engines: interface.EngineOrders,
        desired_states: DesiredStates,
        fencing_support: collections.abc.Callable[[], states.FencingSupport],
        lease_ttl: float,
        rng: random.Random,
    ) -> None:
        self._lease = service_lease
        self._engines = engines
        self._desired_states = desired_states
        self._fencing_support = fencing_support
        self._takeover_wait = lease_ttl + ORDER_TIMEOUT_S
        self._rng = rng

    async def run(self) -> typing.NoReturn:
        """Send orders while the lease is held, until cancelled."""
        while True:
            for backend, desired in self._desired_states():
                if self._usable_lease() is None:
                    break
                await self._reconcile(backend, desired)
                await trio.sleep(1 / MAX_READS_PER_SECOND)
            await trio.sleep(
                self._rng.uniform(0.8, 1.2) * RECONCILE_INTERVAL_S
            )

    def _usable_lease(self) -> lease.HeldLease | None:
        """Return the lease if it allows an order to be sent now."""
        held = self._lease.current(min_remaining=ORDER_TIMEOUT_S)
        if held is None:
            return None
        fencing_checked = (
            self._fencing_support() is states.FencingSupport.CHECKED
        )
        if (
            fencing_checked
            or clock.now() >= held.taken_at + self._takeover_wait
        ):
            return held
        return None

    async def _reconcile(
        self, backend: backends.Backend, desired: interface.DesiredState
    ) -> None:
        state = await self._engines.read_state(backend)
        if state is None:
            return
        for order in interface.missing_orders(desired, state):
            # Checked before each order because this host may have been paused.
            held = self._usable_lease()
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
