"""The five-minute guide's processes, all in one thread of the test."""

import collections.abc
import contextlib
import dataclasses
import functools
import pathlib
import re
import threading

import trio

from corianderloft._internal.cli import platform_file
from corianderloft._internal.entry import daemon
from corianderloft._internal import kv
from corianderloft._internal.kv import interface as kv_interface
from corianderloft._internal.settings import kv as kv_settings
from corianderloft._internal.settings import load
from corianderloft._internal.settings import root
from corianderloft._internal import standin

ROOT = pathlib.Path(__file__).parents[2]
EXAMPLES = ROOT / 'examples'
SERVICE_NAME = 'order-desk'
START_TIMEOUT = 30.0  # s

_PORT = re.compile(r'127\.0\.0\.1:(\d+)')


@dataclasses.dataclass
class Guide:
    """Bound ports by the ports that the pages name.

    Attributes
    ----------
    ports : dict of int to int
        Port of each process.
    """

    ports: dict[int, int] = dataclasses.field(default_factory=dict)

    def translate(self, line: str) -> str:
        """Return a command line with the ports that are bound."""
        return _PORT.sub(
            lambda found: f'127.0.0.1:{self.ports[int(found.group(1))]}', line
        )


@contextlib.contextmanager
def running() -> collections.abc.Iterator[Guide]:
    """Run the processes of the guide until the block ends."""
    guide = Guide()
    ready = threading.Event()
    stopping: list[collections.abc.Callable[[], None]] = []
    failed: list[BaseException] = []

    def run() -> None:
        try:
            trio.run(_serve, guide, ready, stopping)
        except BaseException as exc:
            failed.append(exc)
            ready.set()

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    assert ready.wait(START_TIMEOUT), 'the guide did not start'
    assert not failed, failed
    try:
        yield guide
    finally:
        stopping[0]()
        thread.join(START_TIMEOUT)
    assert not failed, failed


async def _serve(
    guide: Guide,
    ready: threading.Event,
    stopping: list[collections.abc.Callable[[], None]],
) -> None:
    token = trio.lowlevel.current_trio_token()
    async with trio.open_nursery() as nursery:
        await _start_standins(guide, nursery)
        await _start_hosts(guide, nursery)
        await _list_platform(guide)

        def stop() -> None:
            with contextlib.suppress(trio.RunFinishedError):
                token.run_sync_soon(nursery.cancel_scope.cancel)

        stopping.append(stop)
        ready.set()


async def _start_standins(guide: Guide, nursery: trio.Nursery) -> None:
    guide.ports[2379] = await nursery.start(
        standin.serve_kv, standin.KvSettings()
    )
    lists = _lists()
    for engine_id, listed in lists.backends.items():
        guide.ports[listed.port] = await nursery.start(
            *_standin_for(engine_id, listed)
        )


def _standin_for(
    engine_id: str, listed: platform_file.ListedBackend
) -> tuple[collections.abc.Callable[..., object], object]:
    if listed.service == SERVICE_NAME:
        return standin.serve_service, standin.ServiceSettings()
    settings = standin.EngineSettings(engine_id=engine_id, model=listed.model)
    return standin.serve_engine, settings


async def _start_hosts(guide: Guide, nursery: trio.Nursery) -> None:
    for path in sorted((EXAMPLES / 'settings').glob('host-*.yaml')):
        loaded = load.load_settings(path)
        assert isinstance(loaded, root.Settings), loaded
        bound: daemon.Started = await nursery.start(
            functools.partial(
                daemon.run, _movable(loaded, guide), handle_signals=False
            )
        )
        guide.ports[loaded.callers.port] = bound.caller_port
        guide.ports[loaded.operators.port] = bound.operator_port
        guide.ports[loaded.peers.port] = loaded.peers.port


def _movable(loaded: root.Settings, guide: Guide) -> root.Settings:
    """Return settings whose ports the kernel chooses."""
    data = loaded.model_dump()
    for section in ('callers', 'operators', 'peers'):
        data[section]['port'] = 0
    data['kv']['endpoint'] = f'http://127.0.0.1:{guide.ports[2379]}'
    return root.Settings.model_validate(data)


async def _list_platform(guide: Guide) -> None:
    lists = _lists()
    moved = lists.model_copy(
        update={
            'hosts': {
                host_id: host.model_copy(
                    update={
                        'caller_port': guide.ports[host.caller_port],
                        'peer_port': guide.ports[host.peer_port],
                    }
                )
                for host_id, host in lists.hosts.items()
            },
            'backends': {
                engine_id: listed.model_copy(
                    update={'port': guide.ports[listed.port]}
                )
                for engine_id, listed in lists.backends.items()
            },
        }
    )
    endpoint = f'http://127.0.0.1:{guide.ports[2379]}'
    factory = kv.CLIENTS.find('etcd')
    assert callable(factory)
    client = factory(kv_settings.KvSettings(endpoint=endpoint))
    written = await platform_file.write_entries(
        client, platform_file.entries(moved)
    )
    assert isinstance(written, kv_interface.Written)


def _lists() -> platform_file.PlatformFile:
    path = EXAMPLES / 'platform' / 'nileknot.yaml'
    lists = platform_file.read_platform_file(str(path))
    assert isinstance(lists, platform_file.PlatformFile), lists
    return lists
