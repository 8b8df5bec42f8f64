"""Collectors of the cost of control traffic, updated when they are read."""

import resource

from corianderloft._internal.metrics import control
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


@registry.on_collect
def _collect() -> None:
    sent_and_received = control.bytes_by_direction()
    for direction in control.Direction:
        _BYTES.set(
            {'direction': direction.value}, sent_and_received[direction]
        )
    for part, seconds in control.cpu_by_part().items():
        _CPU.set({'part': part}, seconds)
    usage = resource.getrusage(resource.RUSAGE_SELF)
    _PROCESS_CPU.set({}, usage.ru_utime + usage.ru_stime)
    _PROCESS_MEMORY.set({}, usage.ru_maxrss * BYTES_PER_KIB)
