"""Processes of the bench, and what they say."""

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

BOUND_S = 60.0
DOMAINS = 4


class Node:
    """One process and the last thing that it said of each kind."""

    def __init__(self, process: trio.Process) -> None:
        self.process = process
        self.said: dict[str, typing.Any] = {}
        self.known: list[tuple[float, dict[str, typing.Any]]] = []

    async def read(self, heard: collections.abc.Callable[[], None]) -> None:
        """Take in its lines until it ends."""
        buffered = b''
        assert self.process.stdout is not None
        async for chunk in self.process.stdout:
            *lines, buffered = (buffered + chunk).split(b'\n')
            for line in lines:
                said = orjson.loads(line)
                self.said.update(said)
                if 'known' in said:
                    self.known.append((said['at'], said['known']))
            heard()

    def first(
        self,
        since: float,
        holds: collections.abc.Callable[[dict[str, typing.Any]], bool],
    ) -> float | None:
        """Return when something was first known, not before ``since``."""
        return next(
            (max(at, since) for at, k in self.known[-20:] if holds(k)), None
        )


class Fleet:
    """Nodes with their key-value service."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.nodes: dict[str, Node] = {}
        self._processes: list[trio.Process] = []
        self.heard = trio.Event()
        self.kv: etcd.EtcdClient
        self.endpoint = ''

    async def start_kv(self) -> None:
        """Start the stand-in of the key-value service."""
        node = await self._start(
            '-m', 'corianderloft._internal.standin', 'kv', '--port=0'
        )
        await self.until(lambda: 'port' in node.said)
        self.endpoint = f'http://127.0.0.1:{node.said["port"]}'
        settings = kv_settings.KvSettings(endpoint=self.endpoint)
        self.kv = etcd.EtcdClient(settings)

    async def start_node(self, host_id: str, number: int) -> None:
        """Start one host and put it into the platform's list."""
        domain = f'fd-{number % DOMAINS}'
        node = await self._start(
            '-m', 'bench.control.node', self.endpoint, host_id, domain
        )
        await self.until(lambda: 'peer_port' in node.said)
        self.nodes[host_id] = node
        await self.put(
            f'platform/hosts/{host_id}',
            {
                'address': '127.0.0.1',
                'caller_port': 1,
                'peer_port': node.said['peer_port'],
                'failure_domain': domain,
                'state': 'live',
            },
        )

    async def put(self, key: str, value: typing.Any) -> None:
        """Write one key."""
        put = kv_interface.Put(key, json.dumps(value).encode())
        outcome = await self.kv.transact([], [put])
        assert isinstance(outcome, kv_interface.Written), outcome

    async def kill(self, host_id: str) -> None:
        """Kill one node."""
        node = self.nodes.pop(host_id)
        node.process.kill()
        await node.process.wait()

    def end(self) -> None:
        """Kill all processes that were started and still run."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()

    async def until(self, holds: collections.abc.Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        with trio.fail_after(BOUND_S):
            while not holds():
                await self.heard.wait()

    async def last_to_know(
        self,
        since: float,
        holds: collections.abc.Callable[[dict[str, typing.Any]], bool],
    ) -> float:
        """Return how long after ``since`` the last node knew."""

        def times() -> list[float | None]:
            return [n.first(since, holds) for n in self.nodes.values()]

        await self.until(lambda: None not in times())
        return max(at for at in times() if at is not None) - since

    async def _start(self, *args: str) -> Node:
        process = await trio.lowlevel.open_process(
            [sys.executable, *args], stdout=subprocess.PIPE
        )
        self._processes.append(process)
        node = Node(process)
        self.nursery.start_soon(node.read, self._note)
        return node

    def _note(self) -> None:
        self.heard.set()
        self.heard = trio.Event()
