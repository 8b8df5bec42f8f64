"""Serves one stand-in until the process is interrupted."""

import collections.abc
import dataclasses

import orjson
import trio

from corianderloft._internal.settings import base
from corianderloft._internal.standin.engine import server as engine_server
from corianderloft._internal.standin.kv import server as kv_server
from corianderloft._internal.standin.service import server as service_server
from corianderloft._internal.standin import settings as standin_settings

LOOPBACK = '127.0.0.1'


@dataclasses.dataclass(frozen=True)
class Kind:
    """One kind of stand-in.

    Attributes
    ----------
    settings : type of Section
        Type of its settings.
    serve : callable
        Serves the stand-in; reports the bound port through ``task_status``.
    """

    settings: type[base.Section]
    serve: collections.abc.Callable[..., collections.abc.Awaitable[None]]


KINDS = {
    'kv': Kind(standin_settings.KvSettings, kv_server.serve_kv),
    'engine': Kind(
        standin_settings.EngineSettings, engine_server.serve_engine
    ),
    'service': Kind(
        standin_settings.ServiceSettings, service_server.serve_service
    ),
}


def run(name: str, settings: base.Section) -> None:
    """Serve a stand-in until the process is interrupted.

    Prints one line of JSON with the bound port when it is ready.

    Parameters
    ----------
    name : str
        Key of ``KINDS``.
    settings : Section
        Settings of that kind.
    """
    try:
        trio.run(_serve, name, settings)
    except* KeyboardInterrupt:
        pass


async def _serve(name: str, settings: base.Section) -> None:
    async with trio.open_nursery() as nursery:
        port = await nursery.start(KINDS[name].serve, settings)
        line = {'standin': name, 'address': LOOPBACK, 'port': port}
        print(orjson.dumps(line).decode(), flush=True)
