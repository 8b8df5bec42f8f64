"""Factories of objects for tests of the dispatcher."""

import itertools
import random

import trio

from corianderloft._internal.decisions import dispatcher as dispatcher_module
from corianderloft._internal.decisions import interface
from corianderloft._internal.models import backends
from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from corianderloft._internal.models import requests
from corianderloft._internal.models import states
from corianderloft._internal.settings import decisions as settings

SERVICE = ids.ServiceName('desk')
_SERIAL = itertools.count()


def backend(
    number: int,
    slots: int = 4,
    state: states.BackendState = states.BackendState.LIVE,
    supplier: str = 'supplier',
) -> backends.Backend:
    """Return a backend server of the service with a numbered id."""
    return backends.Backend(
        engine_id=ids.EngineId(f'engine-{number}'),
        service=SERVICE,
        supplier=ids.SupplierName(supplier),
        model=ids.ModelVersion('model'),
        address='127.0.0.1',
        port=1,
        failure_domain=ids.FailureDomain('fd-1'),
        slots=slots,
        state=state,
    )


def template(*routes: catalog.SupplierRoute) -> catalog.ServiceTemplate:
    """Return a template of the service with one class per tier, 0 to 5."""
    route = catalog.SupplierRoute(
        ids.SupplierName('supplier'), ids.ModelVersion('model')
    )
    return catalog.ServiceTemplate(
        name=SERVICE,
        kind=states.ServiceKind.MODEL,
        classes=tuple(
            catalog.RequestClass(ids.ClassName(f'class-{n}'), ids.Tier(n))
            for n in range(6)
        ),
        routes=routes or (route,),
    )


def dispatcher(
    engines: int = 1, slots: int = 4, **settings_values: object
) -> dispatcher_module.LocalDispatcher:
    """Return a dispatcher for one host and ``engines`` engines."""
    cfg = settings.DecisionSettings.model_validate(settings_values)
    made = dispatcher_module.LocalDispatcher(cfg, random.Random(0))
    made.use_catalog(catalog.Catalog(ids.Revision(1), (template(),)))
    made.use_backends([backend(n, slots) for n in range(engines)])
    return made


def ticket(
    tier: int = 0,
    workspace: str = 'stable',
    wait: float = 30.0,
    max_tokens: int = 100,
    idempotent: bool = True,
    prefix_hashes: tuple[int, ...] = (),
) -> requests.Ticket:
    """Return the ticket of a request that arrives now."""
    now = trio.current_time()
    return requests.Ticket(
        request_id=ids.RequestId(f'request-{next(_SERIAL)}'),
        workspace=ids.WorkspaceId(workspace),
        service=SERVICE,
        class_name=ids.ClassName(f'class-{tier}'),
        tier=ids.Tier(tier),
        arrived=now,
        start_by=now + wait,
        prompt_tokens=50,
        max_tokens=max_tokens,
        idempotent=idempotent,
        prefix_hashes=prefix_hashes,
    )


async def granted(
    dispatcher: dispatcher_module.LocalDispatcher,
    wanted: requests.Ticket,
    exclude: frozenset[ids.EngineId] = frozenset(),
) -> interface.Grant:
    """Acquire a grant and fail if the request is refused."""
    outcome = await dispatcher.acquire(wanted, exclude)
    assert not isinstance(outcome, requests.Refused), outcome
    return outcome


async def run_once(
    dispatcher: dispatcher_module.LocalDispatcher, wanted: requests.Ticket
) -> None:
    """Run one attempt that completes at once, as the relay would."""
    grant = await granted(dispatcher, wanted)
    try:
        await trio.lowlevel.checkpoint()
    finally:
        grant.close(interface.AttemptEnd.COMPLETE)
