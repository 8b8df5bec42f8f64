"""The processes of the five-minute guide, run in one background thread."""

import collections.abc
import contextlib
import dataclasses
import pathlib
import re
import threading

import trio

from corianderloft._internal.demo import cluster
from corianderloft._internal.models import states
from corianderloft._internal.settings import load
from corianderloft._internal.settings import root
from corianderloft._internal.standin import platform_file

ROOT = pathlib.Path(__file__).parents[2]
EXAMPLES = ROOT / 'examples'
KINDS = {
    'lace-model': states.ServiceKind.MODEL,
    'order-desk': states.ServiceKind.PLAIN,
}
START_TIMEOUT_S = 30.0

_ADDRESS = re.compile(r'127\.0\.0\.1:(\d+)')
_LISTED_PORT = re.compile(r'port: (\d+)')


@dataclasses.dataclass
class Guide:
    """Maps the ports on the documentation pages to the ports in use.

    Attributes
    ----------
    ports : dict of int to int
        Port in use, by the port on the page.
    """

    ports: dict[int, int] = dataclasses.field(default_factory=dict)

    def translate(self, line: str) -> str:
        """Return a command line with its ports replaced."""
        return _ADDRESS.sub(
            lambda match: f'127.0.0.1:{self.ports[int(match.group(1))]}', line
        )

    def translate_lists(self, text: str) -> str:
        """Return a platform file with its ports replaced."""
        return _LISTED_PORT.sub(
            lambda match: f'port: {self.ports[int(match.group(1))]}', text
        )


@contextlib.contextmanager
def running() -> collections.abc.Iterator[Guide]:
    """Run the processes of the guide for the duration of the block."""
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
    assert ready.wait(START_TIMEOUT_S), 'the guide did not start'
    assert not failed, failed
    try:
        yield guide
    finally:
        stopping[0]()
        thread.join(START_TIMEOUT_S)
    assert not failed, failed


async def _serve(
    guide: Guide,
    ready: threading.Event,
    stopping: list[collections.abc.Callable[[], None]],
) -> None:
    token = trio.lowlevel.current_trio_token()
    async with trio.open_nursery() as nursery:
        await _start_processes(guide, nursery)

        def stop() -> None:
            with contextlib.suppress(trio.RunFinishedError):
                token.run_sync_soon(nursery.cancel_scope.cancel)

        stopping.append(stop)
        ready.set()


async def _start_processes(guide: Guide, nursery: trio.Nursery) -> None:
    path = EXAMPLES / 'platform' / 'nileknot.yaml'
    lists = platform_file.read_platform_file(str(path))
    assert isinstance(lists, platform_file.PlatformFile), lists
    hosts = [
        _settings(settings_path)
        for settings_path in sorted(
            (EXAMPLES / 'settings').glob('host-*.yaml')
        )
    ]
    started = await cluster.start(nursery, lists, hosts, KINDS)
    guide.ports[2379] = int(started.kv_url.rpartition(':')[2])
    for engine_id, listed in lists.backends.items():
        guide.ports[listed.port] = started.backends[engine_id]
    for settings in hosts:
        bound = started.hosts[settings.host.host_id]
        guide.ports[settings.callers.port] = bound.caller_port
        guide.ports[settings.operators.port] = bound.operator_port
        guide.ports[settings.peers.port] = bound.peer_port


def _settings(path: pathlib.Path) -> root.Settings:
    loaded = load.load_settings(path)
    assert isinstance(loaded, root.Settings), loaded
    return loaded
