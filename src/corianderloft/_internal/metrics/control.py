"""Cost of the control traffic of this host: bytes, CPU time, memory.

Control traffic is everything except relayed requests: messages between hosts
and calls to the key-value service.
"""

import collections
import collections.abc
import contextlib
import enum
import resource
import time

from corianderloft._internal.metrics import registry

_BYTES = registry.counter(
    'control_bytes_total',
    'Bytes of messages between hosts and of calls on the key-value service,'
    ' by direction.',
)
_CPU = registry.counter(
    'control_cpu_seconds_total',
    'Processor time of encoding, decoding and applying what hosts tell one'
    ' another and the key-value service tells them, by part.',
)
_PROCESS_CPU = registry.counter(
    'process_cpu_seconds_total', 'Processor time of the process.'
)
_PROCESS_MEMORY = registry.gauge(
    'process_resident_bytes', 'Largest resident memory of the process.'
)

BYTES_PER_KIB = 1024


class Direction(enum.Enum):
    """Direction of a message."""

    SENT = 'sent'
    RECEIVED = 'received'


_bytes: collections.Counter[Direction] = collections.Counter()
_cpu: collections.defaultdict[str, float] = collections.defaultdict(float)


def count_bytes(direction: Direction, size: int) -> None:
    """Count the bytes of one control message."""
    _bytes[direction] += size


def total_bytes() -> int:
    """Return the number of bytes sent and received since process start."""
    return sum(_bytes.values())


@contextlib.contextmanager
def measure_cpu_time(part: str) -> collections.abc.Iterator[None]:
    """Add the CPU time of a block without ``await`` to ``part``."""
    started = time.thread_time()
    try:
        yield
    finally:
        _cpu[part] += time.thread_time() - started


@registry.on_collect
def _collect() -> None:
    for direction in Direction:
        _BYTES.set({'direction': direction.value}, _bytes[direction])
    for part, seconds in _cpu.items():
        _CPU.set({'part': part}, seconds)
    usage = resource.getrusage(resource.RUSAGE_SELF)
    _PROCESS_CPU.set({}, usage.ru_utime + usage.ru_stime)
    _PROCESS_MEMORY.set({}, usage.ru_maxrss * BYTES_PER_KIB)
