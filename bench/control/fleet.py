"""Processes of the benchmark and the state that they report."""

import collections.abc
import json
import subprocess
import sys
import typing

import orjson
import trio

from corianderloft._internal.kv import etcd
from corianderloft._internal.kv import interface as kv_interface
from corianderloft._internal.settings import kv as kv_settings

WAIT_TIMEOUT_S = 60.0
FAILURE_DOMAINS = 4


class Node:
    """One process and the latest value of each field that it reported."""

    def __init__(self, process: trio.Process) -> None:
        self.process = process
        self.reported: dict[str, typing.Any] = {}
        self.known: list[tuple[float, dict[str, typing.Any]]] = []

    async def read(
        self, on_output: collections.abc.Callable[[], None]
    ) -> None:
        """Process the lines of its output until it exits."""
        buffered = b''
        assert self.process.stdout is not None
        async for chunk in self.process.stdout:
            *lines, buffered = (buffered + chunk).split(b'\n')
            for line in lines:
                report = orjson.loads(line)
                self.reported.update(report)
                if 'known' in report:
                    self.known.append((report['at'], report['known']))
            on_output()

    def first_time(
        self,
        since: float,
        condition: collections.abc.Callable[[dict[str, typing.Any]], bool],
    ) -> float | None:
        """Return when a condition first held, but not before ``since``."""
        return next(
            (max(at, since) for at, k in self.known[-20:] if condition(k)),
            None,
        )


class Fleet:
    """Nodes and their key-value service."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.nodes: dict[str, Node] = {}
        self._processes: list[trio.Process] = []
        self.output_received = trio.Event()
        self.kv: etcd.EtcdClient
        self.endpoint = ''

    async def start_kv(self) -> None:
        """Start the stand-in of the key-value service."""
        node = await self._start(
            '-m', 'corianderloft._internal.standin', 'kv', '--port=0'
        )
        await self.wait_until(lambda: 'port' in node.reported)
        self.endpoint = f'http://127.0.0.1:{node.reported["port"]}'
        settings = kv_settings.KvSettings(endpoint=self.endpoint)
        self.kv = etcd.EtcdClient(settings)

    async def start_node(self, host_id: str, number: int) -> None:
        """Start one host and add it to the host list of the platform."""
        domain = f'fd-{number % FAILURE_DOMAINS}'
        node = await self._start(
            '-m', 'bench.control.node', self.endpoint, host_id, domain
        )
        await self.wait_until(lambda: 'peer_port' in node.reported)
        self.nodes[host_id] = node
        await self.put(
            f'platform/hosts/{host_id}',
            {
                'address': '127.0.0.1',
                'caller_port': 1,
                'peer_port': node.reported['peer_port'],
                'failure_domain': domain,
                'state': 'live',
            },
        )

    async def put(self, key: str, value: typing.Any) -> None:
        """Write one key to the key-value service."""
        put = kv_interface.Put(key, json.dumps(value).encode())
        outcome = await self.kv.transact([], [put])
        assert isinstance(outcome, kv_interface.Written), outcome

    async def kill(self, host_id: str) -> None:
        """Kill one node."""
        node = self.nodes.pop(host_id)
        node.process.kill()
        await node.process.wait()

    def kill_all(self) -> None:
        """Kill all processes that are still running."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()

    async def wait_until(
        self, condition: collections.abc.Callable[[], bool]
    ) -> None:
        """Wait until a condition holds."""
        with trio.fail_after(WAIT_TIMEOUT_S):
            while not condition():
                await self.output_received.wait()

    async def time_until_all(
        self,
        since: float,
        condition: collections.abc.Callable[[dict[str, typing.Any]], bool],
    ) -> float:
        """Return how long after ``since`` the condition held on all nodes."""

        def times() -> list[float | None]:
            return [
                n.first_time(since, condition) for n in self.nodes.values()
            ]

        await self.wait_until(lambda: None not in times())
        return max(at for at in times() if at is not None) - since

    async def _start(self, *args: str) -> Node:
        process = await trio.lowlevel.open_process(
            [sys.executable, *args], stdout=subprocess.PIPE
        )
        self._processes.append(process)
        node = Node(process)
        self.nursery.start_soon(node.read, self._on_output)
        return node

    def _on_output(self) -> None:
        self.output_received.set()
        self.output_received = trio.Event()
