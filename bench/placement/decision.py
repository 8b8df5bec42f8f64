"""``python -m bench.placement.decision``: time of a pass over the queue.

One host in a large fleet: all engines are busy, and prompts with different
shared prefixes are queued.
"""

import random
import time

import fire
import tabulate
import trio
import trio.testing

from bench.placement import engine as batch_engines
from bench.placement import simulate
from bench.placement import workload
from corianderloft._internal.models import ids
from corianderloft._internal.models import instances
from corianderloft._internal.models import states
from corianderloft._internal.placement import budget
from corianderloft._internal.placement import engines
from corianderloft._internal.placement import interface
from corianderloft._internal.placement import placer

SOURCES = 8
"""Other hosts that report their loads to a host of a large fleet."""

BUSY = engines.PeerLoad(8, 0, 10_000, 100_000)

FULL = BUSY._replace(kv_tokens=40_000)

PASSES = 50


def main(
    engine_counts: str = '9,99,900',
    waiters: str = '1,4,16',
    memory_admission: bool = False,
) -> None:
    """Print the time of a pass by number of engines and of queued prompts.

    Parameters
    ----------
    engine_counts, waiters : str
        Numbers to measure, separated by commas.
    memory_admission : bool
        Whether the memory of the engines, of which little is left, counts.
    """
    rows = [
        (count, waiting, *trio.run(_measure, count, waiting, memory_admission))
        for count in _numbers(engine_counts)
        for waiting in _numbers(waiters)
    ]
    headers = ('engines', 'queued', 'first pass us', 'pass us', 'report us')
    print(tabulate.tabulate(rows, headers, floatfmt='.0f'))


def _numbers(text: str | tuple[int, ...]) -> list[int]:
    parts = text.split(',') if isinstance(text, str) else text
    return [int(part) for part in parts]


async def _measure(
    count: int, waiting: int, memory_admission: bool
) -> tuple[float, float, float]:
    """Return the times of the first pass, of later ones and of a report."""
    host = placer.Placer(
        simulate.DOMAIN,
        budget.RetryBudget(0.2, 50.0, 10.0),
        random.Random(0),
        memory_admission=memory_admission,
    )
    host.use_table(simulate.routing_table(workload.KINDS, batch_engines.SMALL))
    listed = [_instance(number) for number in range(count)]
    host.use_instances(listed)
    load = FULL if memory_admission else BUSY
    loads = {
        (instance.engine_id, instance.started_at_ms): load
        for instance in listed
    }
    for source in range(SOURCES):
        host.update_peer_loads(str(source), loads)
    async with trio.open_nursery() as nursery:
        for number in range(waiting):
            nursery.start_soon(host.acquire, _job(number))
        await trio.testing.wait_all_tasks_blocked()
        first = _time(host.dispatch, 1)
        later = _time(host.dispatch, PASSES)
        key = next(iter(loads))
        changed = loads | {key: BUSY + BUSY}
        report = _time(
            lambda: host.update_peer_loads('0', changed, (key,)), PASSES
        )
        nursery.cancel_scope.cancel()
    return first, later, report


def _time(function: object, times: int) -> float:
    """Return the mean time of a call in microseconds."""
    assert callable(function)
    started_at = time.perf_counter()
    for _ in range(times):
        function()
    return (time.perf_counter() - started_at) / times * 1e6


def _instance(number: int) -> instances.Instance:
    return instances.Instance(
        ids.EngineId(f'e-{number}'),
        1,
        workload.SERVICE,
        '127.0.0.1',
        1,
        simulate.DOMAIN,
        batch_engines.SLOTS,
        states.BackendState.LIVE,
    )


def _job(number: int) -> interface.Job:
    kind = workload.LEDGER
    parts = (
        instances.PromptPart(ids.PromptPartId(f'shared-{number}'), 6300),
        instances.PromptPart(ids.PromptPartId(f'own-{number}'), 2890),
    )
    now = trio.current_time()
    return interface.Job(
        request_id=str(number),
        route=kind.route,
        service=workload.SERVICE,
        workspace=None,
        tier=kind.route.tier,
        arrived=now,
        deadline=now + kind.timeout,
        prompt=instances.Prompt(9190, 54, parts),
    )


if __name__ == '__main__':
    fire.Fire(main)
