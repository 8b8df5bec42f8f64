"""Measure CPU time per dispatch, by number of engines and of queued requests.

``python -m bench.policy.cost``
"""

import random
import time

import fire
import tabulate
import trio
import trio.testing

from bench.policy import workload
from corianderloft._internal.decisions import dispatcher
from corianderloft._internal.decisions import interface
from corianderloft._internal.models import backends
from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from corianderloft._internal.models import requests
from corianderloft._internal.settings import decisions as settings

_DECISIONS = 2000
_FAR_DEADLINE_S = 1e9
"""Deadline that is never reached, in seconds."""

_SERVICE = workload.SERVICES['drafting-desk']


def _backend(number: int) -> backends.Backend:
    return backends.Backend(
        engine_id=ids.EngineId(f'engine-{number:04d}'),
        service=ids.ServiceName(_SERVICE.name),
        supplier=ids.SupplierName('supplier'),
        model=ids.ModelVersion('model'),
        address='127.0.0.1',
        port=1,
        failure_domain=ids.FailureDomain(f'fd-{number % 4}'),
        slots=workload.SLOTS_PER_ENGINE,
    )


def _ticket(number: int, rng: random.Random) -> requests.Ticket:
    profile = rng.choice(_SERVICE.profiles)
    return requests.Ticket(
        request_id=ids.RequestId(f'request-{number}'),
        workspace=ids.WorkspaceId(f'workspace-{rng.randrange(1000)}'),
        service=ids.ServiceName(_SERVICE.name),
        class_name=ids.ClassName(profile.name),
        tier=ids.Tier(profile.tier),
        arrived=trio.current_time(),
        start_by=_FAR_DEADLINE_S,
        prompt_tokens=profile.prompt_tokens,
        max_tokens=profile.max_tokens,
        prefix_hashes=(rng.randrange(100), rng.randrange(10_000)),
    )


async def _overhead() -> float:
    """Return the CPU time of the benchmark itself, in us per request."""
    rng = random.Random(0)

    async def call(number: int) -> None:
        _ticket(number, rng)

    async with trio.open_nursery() as nursery:
        start = time.process_time()
        for number in range(_DECISIONS):
            nursery.start_soon(call, number)
            await trio.sleep(0)
            await trio.sleep(0)
        return (time.process_time() - start) / _DECISIONS * 1e6


async def _measure(hosts: int, engines: int, queued: int) -> float:
    """Return the CPU time per request, in us, at a constant queue length."""
    rng = random.Random(0)
    cfg = settings.DecisionSettings(queue_limit=10**6)
    local_dispatcher = dispatcher.LocalDispatcher(cfg, rng)
    host_ids = [ids.HostId(f'host-{n}') for n in range(hosts)]
    local_dispatcher.use_hosts(host_ids[0], host_ids)
    local_dispatcher.use_catalog(
        catalog.Catalog(ids.Revision(1), (_SERVICE.template(),))
    )
    local_dispatcher.use_backends([_backend(n) for n in range(engines)])
    granted: list[interface.Grant] = []

    async def call(number: int) -> None:
        outcome = await local_dispatcher.acquire(_ticket(number, rng))
        if not isinstance(outcome, requests.Refused):
            granted.append(outcome)

    async with trio.open_nursery() as nursery:
        for number in range(max(1, queued)):
            nursery.start_soon(call, number)
        await trio.testing.wait_all_tasks_blocked()
        start = time.process_time()
        for number in range(_DECISIONS):
            nursery.start_soon(call, number)
            await trio.sleep(0)
            await trio.sleep(0)
            grant = granted.pop(0)
            grant.first_token()
            grant.progress(8)
            grant.close(interface.AttemptEnd.COMPLETE)
        cpu_s = time.process_time() - start
        nursery.cancel_scope.cancel()
    return cpu_s / _DECISIONS * 1e6


def main(hosts: int = 8) -> None:
    """Print the CPU time per request, from acquire to close.

    The time includes the overhead of the benchmark itself.
    """
    cases = [
        *((hosts, engines, 0) for engines in (4, 9, 13, 40)),
        (380, 3400, 0),
        *((hosts, 9, queued) for queued in (100, 1000, 10_000, 100_000)),
    ]
    rows = [[*case, round(trio.run(_measure, *case))] for case in cases]
    headers = ['hosts', 'engines', 'queued', 'CPU a request (us)']
    print(tabulate.tabulate(rows, headers=headers))


if __name__ == '__main__':
    fire.Fire(main)
