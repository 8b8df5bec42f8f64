"""Process of one gateway host on the users' platform."""

import functools
import logging
import sys

import trio

from corianderloft._internal.gateway import host
from corianderloft._internal.gateway import layout
from corianderloft._internal.gateway import metrics
from corianderloft._internal.gateway import settings as gateway_settings
from corianderloft._internal.logs import bounded
from corianderloft._internal.logs import handlers
from corianderloft._internal.platform import address_query
from corianderloft._internal.platform import api
from corianderloft._internal.platform import configuration
from corianderloft._internal.platform import entries
from corianderloft._internal.platform import headers
from corianderloft._internal.platform import names
from corianderloft._internal.platform import settings
from corianderloft._internal.platform import store

logger = logging.getLogger(__name__)

EXIT_BAD_SETTINGS = 2

LAYOUT = layout.StoreLayout(
    configuration_key=names.CONFIGURATION_KEY,
    instances_prefix=names.INSTANCES_PREFIX,
    hosts_prefix=names.HOSTS_PREFIX,
    crashes_prefix=names.CRASHES_PREFIX,
    decode_table=configuration.decode,
    decode_instance=entries.decode_instance,
    decode_member=entries.decode_member,
    encode_member=entries.encode_member,
    duties_prefix=names.DUTIES_PREFIX,
)


def main() -> int:
    """Run a host until it is stopped; return the exit code."""
    reader = settings.Reader(settings.path())
    cfg = reader.read()
    if isinstance(cfg, settings.InvalidSettings):
        print(f'cannot start: {cfg}', file=sys.stderr)
        return EXIT_BAD_SETTINGS
    run(cfg, reader)
    return 0


def run(
    cfg: gateway_settings.GatewaySettings, reader: settings.Reader
) -> None:
    """Run one host until it is stopped.

    Parameters
    ----------
    cfg : GatewaySettings
        Settings of the process.
    reader : Reader
        Reloads the settings.

    Raises
    ------
    OSError
        If a port is in use or the address does not belong to this host.
    """
    handler = bounded.BoundedHandler()
    handlers.install_handler(handler, logging.INFO)
    metrics.use_log_handler(lambda: handler.dropped)
    client = store.PlatformStore(cfg.store.address, cfg.store.port)
    metrics.use_store_era(lambda: client.era)
    dependencies = host.Dependencies(
        cfg=cfg,
        store=client,
        store_layout=LAYOUT,
        header_dialect=headers.PlatformDialect(),
        decode_domain=address_query.decode_domain,
        read_settings=functools.partial(_reload, reader),
        platform_api=platform_api(cfg),
    )
    trio.run(_run, dependencies, handler)


def platform_api(
    cfg: gateway_settings.GatewaySettings,
) -> api.PlatformApi | None:
    """Return the client of the platform's API, if it asks for duties."""
    settings_of_api = cfg.platform_api
    if settings_of_api is None or not settings_of_api.duties:
        return None
    return api.PlatformApi(
        settings_of_api.address,
        settings_of_api.port,
        cfg.host_id,
        settings_of_api.calls_per_s,
    )


def _reload(
    reader: settings.Reader,
) -> gateway_settings.GatewaySettings | None:
    cfg = reader.read()
    if isinstance(cfg, settings.InvalidSettings):
        logger.error('settings not reloaded: %s', cfg)
        return None
    return cfg


async def _run(
    dependencies: host.Dependencies, handler: bounded.BoundedHandler
) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(handler.run)
        await host.Host(dependencies).run()
        nursery.cancel_scope.cancel()
    await handler.drain()
