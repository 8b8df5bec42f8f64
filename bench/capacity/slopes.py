"""Microbenchmarks of the cost per host, engine, workspace and request.

Run as ``python -m bench.capacity.slopes``; the results are written to
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
US_PER_SECOND = 1e6
CALLS = 300
MIN_RESPONSE_BYTES = 200
SEGMENTS_PER_POLL = 4  # request, response and the TCP ACK of each
TCP_HEADER_BYTES = 40

Measure = collections.abc.Callable[
    [int], float | collections.abc.Awaitable[float]
]
M = typing.TypeVar('M', bound=Measure)


@dataclasses.dataclass(frozen=True)
class Benchmark:
    """A microbenchmark and the sizes that it runs at."""

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


def _time_per_call(call: collections.abc.Callable[[], typing.Any]) -> float:
    started = time.process_time()
    for _ in range(CALLS):
        call()
    return (time.process_time() - started) / CALLS * US_PER_SECOND


def _allocated_bytes(make: collections.abc.Callable[[], typing.Any]) -> float:
    gc.collect()
    tracemalloc.start()
    try:
        allocated = make()
        gc.collect()
        size, _ = tracemalloc.get_traced_memory()
        del allocated
        return float(size)
    finally:
        tracemalloc.stop()


def _new_codec() -> codec.Codec:
    return codec.Codec(keys.KeyRing([(0, b'secret')]))


@benchmark('peer_message_encode', 'us', 0, 3, 8)
def encode_message(members: int) -> float:
    """Time to encode a probe with updates about ``members`` hosts."""
    message_codec = _new_codec()
    message = fixtures.datagram(members)
    return _time_per_call(lambda: message_codec.encode_datagram(message))


@benchmark('peer_message_decode', 'us', 0, 3, 8)
def decode_message(members: int) -> float:
    """Time to decode a probe with updates about ``members`` hosts."""
    message_codec = _new_codec()
    raw = message_codec.encode_datagram(fixtures.datagram(members))
    return _time_per_call(lambda: message_codec.decode_datagram(raw))


@benchmark('peer_message_size', 'bytes', 0, 3, 8)
def message_size(members: int) -> float:
    """Size of such a probe, without the IP and UDP headers."""
    return float(len(_new_codec().encode_datagram(fixtures.datagram(members))))


@benchmark('poll_size', 'bytes', 1)
async def poll_size(polls: int) -> float:
    """Bytes in both directions for polling the load of an engine once."""
    async with trio.open_nursery() as nursery:
        port = await nursery.start(
            standin.serve_engine, standin.EngineSettings()
        )
        request = f'GET /v1/load HTTP/1.1\r\nhost: 127.0.0.1:{port}\r\n\r\n'
        size = len(request)
        async with await trio.open_tcp_stream('127.0.0.1', port) as stream:
            await stream.send_all(request.encode())
            while size < len(request) + MIN_RESPONSE_BYTES:
                size += len(await stream.receive_some())
        nursery.cancel_scope.cancel()
    return float(size + SEGMENTS_PER_POLL * TCP_HEADER_BYTES)


@benchmark('member_known', 'bytes', 38, 380, 3800)
def member_known(hosts: int) -> float:
    """Memory per host in the membership view."""

    def make() -> view.View:
        members = view.View(fixtures.host(0))
        for number in range(1, hosts + 1):
            members.merge(fixtures.host(number), 0.0)
        return members

    return _allocated_bytes(make) / hosts


@benchmark('address_answer', 'us', 8, 80, 380)
def address_answer(hosts: int) -> float:
    """Time to choose the addresses of one response."""
    live = [fixtures.host(number) for number in range(hosts)]
    rng = random.Random(0)
    domain = ids.FailureDomain('domain-1')
    return _time_per_call(lambda: addresses.choose(live, domain, 8, 10.0, rng))


@benchmark('backend_known', 'bytes', 34, 340, 3400)
def backend_known(engines: int) -> float:
    """Memory per backend server, in the backend list and the dispatcher."""

    def make() -> tuple[object, ...]:
        backend_view = backend_list.BackendList()
        backends = [fixtures.backend(number) for number in range(engines)]
        return backend_view, _new_dispatcher(engines), backends

    return _allocated_bytes(make) / engines


@benchmark('workspace_held', 'bytes', 360, 3600, 36000)
def workspace_held(workspaces: int) -> float:
    """Memory per workspace: stored bytes, decoded value and key index."""

    def make() -> tuple[object, object]:
        entries = fixtures.shard_entries(workspaces)
        copy = mirror.Mirror(layout.CONFIG_PREFIX)
        copy.apply(mirror.Delta(ids.Revision(1), entries))
        catalog_view = catalogs.CatalogView()
        catalog_view.apply(ids.Revision(1), entries)
        return copy, catalog_view

    return _allocated_bytes(make) / workspaces


@benchmark('workspace_stored', 'bytes', 360, 3600, 36000)
def workspace_stored(workspaces: int) -> float:
    """Encoded size per workspace in a shard, as sent between hosts."""
    entries = fixtures.shard_entries(workspaces)
    return sum(len(entry.value or b'') for entry in entries) / workspaces


@benchmark('change_applied', 'us', 360, 3600, 36000)
def change_applied(workspaces: int) -> float:
    """Time to apply one changed shard, including the dispatcher."""
    entries = fixtures.shard_entries(workspaces)
    catalog_view = catalogs.CatalogView()
    catalog_view.apply(ids.Revision(1), entries)
    local_dispatcher = _new_dispatcher(9)

    def change() -> None:
        catalog_view.apply(ids.Revision(2), entries[:1])
        local_dispatcher.use_catalog(catalog_view.current)

    return _time_per_call(change)


@benchmark('decision', 'us', 9, 90, 900)
async def decision(engines: int) -> float:
    """Time to admit a request, choose its engine and release the grant."""
    local_dispatcher = _new_dispatcher(engines)
    started = time.process_time()
    for number in range(CALLS):
        grant = await local_dispatcher.acquire(
            fixtures.ticket(number, trio.current_time())
        )
        assert not hasattr(grant, 'reason'), grant
        grant.first_token()
        grant.progress(10)
        grant.close(decisions.AttemptEnd.COMPLETE)
    return (time.process_time() - started) / CALLS * US_PER_SECOND


def _new_dispatcher(engines: int) -> dispatcher.LocalDispatcher:
    local_dispatcher = dispatcher.LocalDispatcher(
        settings.DecisionSettings(), random.Random(0)
    )
    local_dispatcher.use_catalog(
        catalog.Catalog(ids.Revision(1), (fixtures.template(),))
    )
    local_dispatcher.use_backends(
        [fixtures.backend(n) for n in range(engines)]
    )
    return local_dispatcher


async def _measure(microbenchmark: Benchmark, size: int) -> float:
    cost = microbenchmark.measure(size)
    return cost if isinstance(cost, float) else await cost


async def run(name: str, microbenchmark: Benchmark) -> measurements.Slope:
    """Run one microbenchmark at all of its sizes."""
    by_size = [
        [await _measure(microbenchmark, size) for _ in range(REPETITIONS)]
        for size in microbenchmark.sizes
    ]
    largest_size = by_size[-1]
    return measurements.Slope(
        name,
        microbenchmark.unit,
        statistics.median(largest_size),
        min(largest_size),
        max(largest_size),
        microbenchmark.sizes,
        tuple(statistics.median(costs) for costs in by_size),
        REPETITIONS,
    )


async def main() -> None:
    """Run all microbenchmarks and record the results."""
    slopes = []
    for name in BENCHMARKS.names():
        microbenchmark = BENCHMARKS.find(name)
        assert isinstance(microbenchmark, Benchmark)
        slopes.append(await run(name, microbenchmark))
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
