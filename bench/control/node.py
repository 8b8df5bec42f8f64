"""One host of the benchmark: its shared state, without callers.

It writes one line of JSON whenever its view of the cluster changes, and one
with its costs every second.
"""

import os
import pathlib
import sys
import time
import typing

import orjson
import trio

from corianderloft._internal.kv import etcd
from corianderloft._internal.models import states
from corianderloft._internal.settings import root
from corianderloft._internal.shared import interface
from corianderloft._internal.shared.peers import transport
from corianderloft._internal.shared import start

COST_INTERVAL_S = 1.0
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')


def write_line(**fields: typing.Any) -> None:
    """Write one line, with the time of the monotonic clock added."""
    line = orjson.dumps({'at': time.monotonic(), **fields}) + b'\n'
    sys.stdout.buffer.write(line)
    sys.stdout.buffer.flush()


def current_costs() -> dict[str, float]:
    """Return the CPU seconds, control bytes and resident bytes so far."""
    resident = pathlib.Path('/proc/self/statm').read_text().split()[1]
    return {
        'cpu_s': time.process_time(),
        'bytes': transport.traffic.sent + transport.traffic.received,
        'resident_bytes': int(resident) * PAGE_BYTES,
    }


def visible_state(shared: interface.SharedState) -> dict[str, typing.Any]:
    """Return the state that the benchmark waits for."""
    return {
        'revision': shared.current_catalog().revision,
        'live': sorted(host.host_id for host in shared.live_hosts()),
        'leaving': sorted(
            backend.engine_id
            for backend in shared.current_backends()
            if backend.state is not states.BackendState.LIVE
        ),
    }


async def report_costs() -> None:
    """Write the costs every `COST_INTERVAL_S` seconds."""
    while True:
        await trio.sleep(COST_INTERVAL_S)
        write_line(costs=current_costs())


async def main(endpoint: str, host_id: str, domain: str) -> None:
    """Run the node until it is killed."""
    settings = root.Settings.model_validate(
        {
            'host': {'host_id': host_id, 'failure_domain': domain},
            'kv': {'endpoint': endpoint},
        }
    )
    host = interface.Host(
        settings.host.host_id,  # type: ignore[arg-type]
        time.time_ns(),  # type: ignore[arg-type]
        '127.0.0.1',
        1,
        0,
        settings.host.failure_domain,  # type: ignore[arg-type]
    )
    async with trio.open_nursery() as nursery:
        shared = await nursery.start(
            start.run_shared, settings, etcd.EtcdClient(settings.kv), host
        )
        write_line(peer_port=shared.live_hosts()[0].peer_port)
        nursery.start_soon(report_costs)
        change_number = 0
        last: dict[str, typing.Any] = {}
        while True:
            change_number = await shared.wait_change(change_number)
            current = visible_state(shared)
            if current != last:
                write_line(known=current)
            last = current


if __name__ == '__main__':
    trio.run(main, sys.argv[1], sys.argv[2], sys.argv[3])
