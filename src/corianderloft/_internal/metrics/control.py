"""Cost of the control traffic of this host: bytes, CPU time, memory.

Control traffic is everything except relayed requests: messages between hosts
and calls to the key-value service.
"""

import collections
import collections.abc
import contextlib
import enum
import time


class Direction(enum.Enum):
    """Direction of a message."""

    SENT = 'sent'
    RECEIVED = 'received'


_bytes: collections.Counter[Direction] = collections.Counter()
_cpu: collections.defaultdict[str, float] = collections.defaultdict(float)


def count_bytes(direction: Direction, size: int) -> None:
    """Count the bytes of one control message."""
    _bytes[direction] += size


def bytes_by_direction() -> collections.Counter[Direction]:
    """Return the bytes sent and received since process start."""
    return _bytes.copy()


def cpu_by_part() -> dict[str, float]:
    """Return the measured CPU time of each part, in seconds."""
    return dict(_cpu)


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
