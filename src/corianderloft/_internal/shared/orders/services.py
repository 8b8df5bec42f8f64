"""Runs the senders of orders for all model services."""

import collections.abc
import random
import typing

import trio

from corianderloft._internal.kv import interface as kv_interface
from corianderloft._internal.models import backends
from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from corianderloft._internal.models import states
from corianderloft._internal.shared.leases import counts
from corianderloft._internal.shared.leases import lease
from corianderloft._internal.shared.orders import interface
from corianderloft._internal.shared.orders import sender

LEASE_TTL_S = 15.0
CHECK_INTERVAL_S = 1.0

CatalogSource = collections.abc.Callable[[], catalog.Catalog | None]
BackendSource = collections.abc.Callable[
    [], collections.abc.Sequence[backends.Backend]
]


def desired_state(
    template: catalog.ServiceTemplate, backend: backends.Backend
) -> interface.DesiredState | None:
    """Return the desired state of an engine according to its template.

    An engine keeps its model as long as a route of its supplier has that
    model; otherwise it must load the model of the supplier's first route.
    Returns None if the supplier has no route with a positive weight.
    """
    routes = sorted(
        (
            route
            for route in template.routes
            if route.supplier == backend.supplier and route.weight > 0
        ),
        key=lambda route: route.order,
    )
    if not routes:
        return None
    models = [route.model for route in routes]
    model = backend.model if backend.model in models else models[0]
    return interface.DesiredState(models=(model,))


class ServiceOrders:
    """Competes for the lease of each model service and sends its orders.

    Parameters
    ----------
    kv : KeyValueClient
        Client of the key-value service that stores the leases.
    host_id : HostId
        This host.
    engines : EngineOrders
        Calls to engines.
    current_catalog : callable
        Returns the configuration, or None while it may be stale.
    current_backends : callable
        Returns the known backend servers.
    is_candidate : callable
        Returns whether this host may acquire the leases; few hosts may.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        kv: kv_interface.KeyValueClient,
        host_id: ids.HostId,
        engines: interface.EngineOrders,
        current_catalog: CatalogSource,
        current_backends: BackendSource,
        is_candidate: collections.abc.Callable[[], bool],
        rng: random.Random,
    ) -> None:
        self._kv = kv
        self._host_id = host_id
        self._engines = engines
        self._catalog = current_catalog
        self._backends = current_backends
        self._is_candidate = is_candidate
        self._rng = rng
        self._running: dict[ids.ServiceName, trio.CancelScope] = {}

    async def run(self) -> typing.NoReturn:
        """Start and stop senders as services are added and removed."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(
                    self._rng.uniform(0.5, 1.0) * CHECK_INTERVAL_S
                )
                wanted = self._services_to_run()
                for name in wanted - self._running.keys():
                    scope = trio.CancelScope()
                    self._running[name] = scope
                    nursery.start_soon(self._run_service, name, scope)
                for name in self._running.keys() - wanted:
                    self._running.pop(name).cancel()
        raise RuntimeError(
            'the task that runs the senders of orders ended unexpectedly'
        )

    def _services_to_run(self) -> set[ids.ServiceName]:
        current = self._catalog()
        if current is None:
            # Keep the running senders; they send nothing in the meantime.
            return set(self._running)
        if not self._is_candidate():
            return set()
        return {
            template.name
            for template in current.services
            if template.kind is states.ServiceKind.MODEL
        }

    async def _run_service(
        self, name: ids.ServiceName, scope: trio.CancelScope
    ) -> None:
        service_lease = lease.Lease(
            self._kv,
            f'orders/{name}',
            self._host_id,
            LEASE_TTL_S,
            self._rng,
            observer=counts.LeaseCounts(),
        )
        orders = sender.OrderSender(
            service_lease,
            self._engines,
            lambda: self._desired_states(name),
            lambda: self._fencing_support(name),
            LEASE_TTL_S,
            self._rng,
        )
        with scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(service_lease.run)
                nursery.start_soon(orders.run)

    def _desired_states(
        self, name: ids.ServiceName
    ) -> list[tuple[backends.Backend, interface.DesiredState]]:
        current = self._catalog()
        template = current.service(name) if current else None
        if template is None:
            return []
        wanted = (
            (backend, desired_state(template, backend))
            for backend in self._backends()
            if backend.service == name
            and backend.state is states.BackendState.LIVE
        )
        return [(backend, desired) for backend, desired in wanted if desired]

    def _fencing_support(self, name: ids.ServiceName) -> states.FencingSupport:
        current = self._catalog()
        template = current.service(name) if current else None
        if template is None:
            return states.FencingSupport.IGNORED
        return template.fencing
