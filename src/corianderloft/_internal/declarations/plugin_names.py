"""Validation of plug-in names against the registered plug-ins."""

import collections.abc
import typing

from corianderloft._internal.decisions import dispatcher as _dispatcher
from corianderloft._internal.decisions import plugins
from corianderloft._internal.kernel import registry
from corianderloft._internal import kv
from corianderloft._internal.kv import etcd as _etcd
from corianderloft._internal.settings import root
from corianderloft._internal.utils import checking

__all__ = ['DEFAULT', 'check_settings', 'check_template']

# Imported for their side effect: they import all plug-ins, which register
# themselves.
_PLUGIN_IMPORTERS = (_dispatcher, _etcd)

DEFAULT = 'default'
"""Value in a template that selects the plug-in named in the settings."""

_REGISTRY_BY_FIELD: dict[str, registry.Registry[typing.Any]] = {
    'balancer': plugins.BALANCERS,
    'queue_policy': plugins.QUEUE_POLICIES,
    'limiter': plugins.LIMITERS,
    'retry_rule': plugins.RETRY_RULES,
    'hedge_rule': plugins.HEDGE_RULES,
}


def check_template(
    declared: object, file: str, key: str
) -> tuple[checking.Problem, ...]:
    """Return a problem for each unregistered plug-in in a template."""
    return tuple(_check_names(declared, file, key, DEFAULT))


def check_settings(
    settings: root.Settings, file: str
) -> tuple[checking.Problem, ...]:
    """Return a problem for each unregistered plug-in in the settings."""
    client = kv.CLIENTS.find(settings.kv.client)
    found = _check_names(settings.decisions, file, 'decisions', None)
    if isinstance(client, registry.UnknownPlugin):
        return (*found, _problem(client, file, 'kv.client'))
    return tuple(found)


def _check_names(
    section: object, file: str, key: str, default: str | None
) -> collections.abc.Iterator[checking.Problem]:
    for field, plugin_registry in _REGISTRY_BY_FIELD.items():
        name = getattr(section, field, default)
        if name is None or name == default:
            continue
        found = plugin_registry.find(name)
        if isinstance(found, registry.UnknownPlugin):
            yield _problem(found, file, checking.join_key(key, field))


def _problem(
    found: registry.UnknownPlugin, file: str, key: str
) -> checking.Problem:
    return checking.Problem(
        file,
        key,
        f'no {found.kind} is called {found.name!r}',
        ', '.join(found.known),
        checking.nearest_name(found.name, found.known),
    )
