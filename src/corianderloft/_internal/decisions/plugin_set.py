"""The set of plug-ins that a service uses."""

import dataclasses
import logging
import random
import typing

from corianderloft._internal.decisions import balancers
from corianderloft._internal.decisions import hedges
from corianderloft._internal.decisions import limiters
from corianderloft._internal.decisions import plugins
from corianderloft._internal.decisions import queues
from corianderloft._internal.decisions import retries
from corianderloft._internal.kernel import registry
from corianderloft._internal.models import catalog

__all__ = [
    'PluginSet',
    'balancers',
    'create',
    'hedges',
    'limiters',
    'plugin_names',
    'queues',
    'retries',
]

logger = logging.getLogger(__name__)

T = typing.TypeVar('T')

_DEFAULT = 'default'
"""Name in a template that selects the plug-in named by the settings."""


@dataclasses.dataclass
class PluginSet:
    """One plug-in of each kind."""

    balancer: plugins.Balancer
    queue: plugins.QueuePolicy
    limiter: plugins.Limiter
    retry_rule: plugins.RetryRule
    hedge_rule: plugins.HedgeRule


def plugin_names(template: catalog.ServiceTemplate) -> tuple[str, ...]:
    """Return the plug-in names that a service template declares."""
    return (
        template.balancer,
        template.queue_policy,
        template.limiter,
        template.retry_rule,
    )


def create(
    template: catalog.ServiceTemplate,
    cfg: plugins.Settings,
    rng: random.Random,
) -> PluginSet:
    """Create the plug-ins named by the template, or else by the settings."""
    return PluginSet(
        _find_factory(plugins.BALANCERS, template.balancer, cfg.balancer)(
            cfg, rng
        ),
        _find_factory(
            plugins.QUEUE_POLICIES, template.queue_policy, cfg.queue_policy
        )(cfg),
        _find_factory(plugins.LIMITERS, template.limiter, cfg.limiter)(cfg),
        _find_factory(
            plugins.RETRY_RULES, template.retry_rule, cfg.retry_rule
        )(cfg, rng),
        _find_factory(plugins.HEDGE_RULES, _DEFAULT, cfg.hedge_rule)(cfg),
    )


def _find_factory(
    plugin_registry: registry.Registry[T], name: str, fallback: str
) -> T:
    """Return the factory registered as ``name``, or else as ``fallback``.

    Raises
    ------
    LookupError
        If ``fallback`` is unknown. The settings are validated at start-up,
        so this does not happen with valid settings.
    """
    if name != _DEFAULT:
        found = plugin_registry.find(name)
        if not isinstance(found, registry.UnknownPlugin):
            return found
        logger.error(
            '%s; falling back to %r from the settings', found, fallback
        )
    found = plugin_registry.find(fallback)
    if isinstance(found, registry.UnknownPlugin):
        raise LookupError(str(found))
    return found
