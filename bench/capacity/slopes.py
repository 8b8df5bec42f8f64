"""Microbenchmarks: what one more of each thing costs.

Run as ``python -m bench.capacity.slopes``; results go to
docs/measurements/slopes.json.
"""

import collections.abc
import dataclasses
import datetime
import gc
import os
import platform
import random
import statistics
import time
import tracemalloc
import typing

import trio

from bench.capacity import fixtures
from bench.capacity import measurements
from corianderloft._internal.decisions import dispatcher
from corianderloft._internal.decisions import interface as decisions
from corianderloft._internal import kernel
from corianderloft._internal.models import catalog
from corianderloft._internal.models import ids
from corianderloft._internal.settings import decisions as settings
from corianderloft._internal.shared import backend_list
from corianderloft._internal.shared.configuration import catalogs
from corianderloft._internal.shared.configuration import layout
from corianderloft._internal.shared.membership import addresses
from corianderloft._internal.shared.membership import view
from corianderloft._internal.shared import mirror
from corianderloft._internal.shared.peers import codec
from corianderloft._internal.shared.peers import keys
from corianderloft._internal import standin

COMMAND = 'make slopes'
REPETITIONS = 7
MICROSECONDS = 1e6  # us in a second
CALLS = 300
MIN_ANSWER_BYTES = 200
SEGMENTS_A_POLL = 4  # question, answer and an acknowledgement of each
TCP_HEADER_BYTES = 40

Measure = collections.abc.Callable[
    [int], float | collections.abc.Awaitable[float]
]
M = typing.TypeVar('M', bound=Measure)


@dataclasses.dataclass(frozen=True)
class Benchmark:
    """One microbenchmark and the sizes that it runs at."""

    unit: str
    sizes: tuple[int, ...]
    measure: Measure


BENCHMARKS: kernel.Registry[Benchmark] = kernel.Registry('microbenchmark')


def benchmark(
    name: str, unit: str, *sizes: int
) -> collections.abc.Callable[[M], M]:
    """Return a decorator that registers a microbenchmark."""

    def decorate(measure: M) -> M:
        BENCHMARKS.register(name)(Benchmark(unit, sizes, measure))
        return measure

    return decorate


def _timed(call: collections.abc.Callable[[], typing.Any]) -> float:
    began = time.process_time()
    for _ in range(CALLS):
        call()
    return (time.process_time() - began) / CALLS * MICROSECONDS


def _held(make: collections.abc.Callable[[], typing.Any]) -> float:
    gc.collect()
    tracemalloc.start()
    try:
        kept = make()
        gc.collect()
        size, _ = tracemalloc.get_traced_memory()
        del kept
        return float(size)
    finally:
        tracemalloc.stop()


def _codec() -> codec.Codec:
    return codec.Codec(keys.KeyRing([(0, b'secret')]))


@benchmark('peer_message_encode', 'us', 0, 3, 8)
def encode_message(members: int) -> float:
    """Cost of a probe that carries news of ``members`` hosts."""
    made = _codec()
    message = fixtures.datagram(members)
    return _timed(lambda: made.encode_datagram(message))


@benchmark('peer_message_decode', 'us', 0, 3, 8)
def decode_message(members: int) -> float:
    """Cost of taking in such a probe."""
    made = _codec()
    raw = made.encode_datagram(fixtures.datagram(members))
    return _timed(lambda: made.decode_datagram(raw))


@benchmark('peer_message_size', 'bytes', 0, 3, 8)
def message_size(members: int) -> float:
    """Length of such a probe, without the headers of IP and UDP."""
    return float(len(_codec().encode_datagram(fixtures.datagram(members))))


@benchmark('poll_size', 'bytes', 1)
async def poll_size(polls: int) -> float:
    """Bytes both ways of reading the load of an engine once."""
    async with trio.open_nursery() as nursery:
        port = await nursery.start(
            standin.serve_engine, standin.EngineSettings()
        )
        asked = f'GET /v1/load HTTP/1.1\r\nhost: 127.0.0.1:{port}\r\n\r\n'
        size = len(asked)
        async with await trio.open_tcp_stream('127.0.0.1', port) as stream:
            await stream.send_all(asked.encode())
            while size < len(asked) + MIN_ANSWER_BYTES:
                size += len(await stream.receive_some())
        nursery.cancel_scope.cancel()
    return float(size + SEGMENTS_A_POLL * TCP_HEADER_BYTES)


@benchmark('member_known', 'bytes', 38, 380, 3800)
def member_known(hosts: int) -> float:
    """Memory for each host in the view."""

    def make() -> view.View:
        made = view.View(fixtures.host(0))
        for number in range(1, hosts + 1):
            made.merge(fixtures.host(number), 0.0)
        return made

    return _held(make) / hosts


@benchmark('address_answer', 'us', 8, 80, 380)
def address_answer(hosts: int) -> float:
    """Cost of choosing the addresses of one answer."""
    live = [fixtures.host(number) for number in range(hosts)]
    rng = random.Random(0)
    domain = ids.FailureDomain('domain-1')
    return _timed(lambda: addresses.choose(live, domain, 8, 10.0, rng))


@benchmark('backend_known', 'bytes', 34, 340, 3400)
def backend_known(engines: int) -> float:
    """Memory for each backend server in the list and in the decisions."""

    def make() -> tuple[object, ...]:
        known = backend_list.BackendList()
        made = [fixtures.backend(number) for number in range(engines)]
        return known, _dispatcher(engines), made

    return _held(make) / engines


@benchmark('workspace_held', 'bytes', 360, 3600, 36000)
def workspace_held(workspaces: int) -> float:
    """Memory for each workspace: its bytes, its value and its index."""

    def make() -> tuple[object, object]:
        entries = fixtures.shard_entries(workspaces)
        copy = mirror.Mirror(layout.CONFIG_PREFIX)
        copy.apply(mirror.Delta(ids.Revision(1), entries))
        held = catalogs.CatalogView()
        held.apply(ids.Revision(1), entries)
        return copy, held

    return _held(make) / workspaces


@benchmark('workspace_stored', 'bytes', 360, 3600, 36000)
def workspace_stored(workspaces: int) -> float:
    """Length of each workspace in a shard, as it goes between hosts."""
    entries = fixtures.shard_entries(workspaces)
    return sum(len(entry.value or b'') for entry in entries) / workspaces


@benchmark('change_applied', 'us', 360, 3600, 36000)
def change_applied(workspaces: int) -> float:
    """Cost of putting one changed shard in force, decisions included."""
    entries = fixtures.shard_entries(workspaces)
    held = catalogs.CatalogView()
    held.apply(ids.Revision(1), entries)
    decided = _dispatcher(9)

    def change() -> None:
        held.apply(ids.Revision(2), entries[:1])
        decided.use_catalog(held.current)

    return _timed(change)


@benchmark('decision', 'us', 9, 90, 900)
async def decision(engines: int) -> float:
    """Cost of admitting a request, choosing its engine and giving back."""
    made = _dispatcher(engines)
    began = time.process_time()
    for number in range(CALLS):
        grant = await made.acquire(
            fixtures.ticket(number, trio.current_time())
        )
        assert not hasattr(grant, 'reason'), grant
        grant.first_token()
        grant.progress(10)
        grant.close(decisions.AttemptEnd.COMPLETE)
    return (time.process_time() - began) / CALLS * MICROSECONDS


def _dispatcher(engines: int) -> dispatcher.LocalDispatcher:
    made = dispatcher.LocalDispatcher(
        settings.DecisionSettings(), random.Random(0)
    )
    made.use_catalog(catalog.Catalog(ids.Revision(1), (fixtures.template(),)))
    made.use_backends([fixtures.backend(n) for n in range(engines)])
    return made


async def _measure(found: Benchmark, size: int) -> float:
    cost = found.measure(size)
    return cost if isinstance(cost, float) else await cost


async def run(name: str, found: Benchmark) -> measurements.Slope:
    """Run one microbenchmark at all its sizes."""
    by_size = [
        [await _measure(found, size) for _ in range(REPETITIONS)]
        for size in found.sizes
    ]
    design = by_size[-1]
    return measurements.Slope(
        name,
        found.unit,
        statistics.median(design),
        min(design),
        max(design),
        found.sizes,
        tuple(statistics.median(costs) for costs in by_size),
        REPETITIONS,
    )


async def main() -> None:
    """Run all microbenchmarks and record them."""
    slopes = []
    for name in BENCHMARKS.names():
        found = BENCHMARKS.find(name)
        assert isinstance(found, Benchmark)
        slopes.append(await run(name, found))
        print(slopes[-1].name, slopes[-1].by_size, slopes[-1].unit)
    measurements.save(
        measurements.Recorded(
            COMMAND,
            datetime.datetime.now(datetime.UTC).date().isoformat(),
            f'{os.cpu_count()} cores, Python {platform.python_version()}',
            tuple(slopes),
        )
    )


if __name__ == '__main__':
    trio.run(main)
