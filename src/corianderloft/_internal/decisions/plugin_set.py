"""The plug-ins in force for one service."""

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
    'Chosen',
    'balancers',
    'choose',
    'hedges',
    'limiters',
    'plugin_names',
    'queues',
    'retries',
]

logger = logging.getLogger(__name__)

T = typing.TypeVar('T')

_DEFAULT = 'default'


@dataclasses.dataclass
class Chosen:
    """One plug-in of each kind."""

    balancer: plugins.Balancer
    queue: plugins.QueuePolicy
    limiter: plugins.Limiter
    retry_rule: plugins.RetryRule
    hedge_rule: plugins.HedgeRule


def plugin_names(template: catalog.ServiceTemplate) -> tuple[str, ...]:
    """Return the names of the plug-ins that a template asks for."""
    return (
        template.balancer,
        template.queue_policy,
        template.limiter,
        template.retry_rule,
    )


def choose(
    template: catalog.ServiceTemplate,
    cfg: plugins.Settings,
    rng: random.Random,
) -> Chosen:
    """Return new plug-ins, as the template or else the settings name them."""
    return Chosen(
        _find(plugins.BALANCERS, template.balancer, cfg.balancer)(cfg, rng),
        _find(plugins.QUEUE_POLICIES, template.queue_policy, cfg.queue_policy)(
            cfg
        ),
        _find(plugins.LIMITERS, template.limiter, cfg.limiter)(cfg),
        _find(plugins.RETRY_RULES, template.retry_rule, cfg.retry_rule)(
            cfg, rng
        ),
        _find(plugins.HEDGE_RULES, _DEFAULT, cfg.hedge_rule)(cfg),
    )


def _find(
    plugin_registry: registry.Registry[T], name: str, fallback: str
) -> T:
    """Return a plug-in by name.

    Raises
    ------
    LookupError
        If the settings, checked at the start, name an unknown plug-in.
    """
    if name != _DEFAULT:
        found = plugin_registry.find(name)
        if not isinstance(found, registry.UnknownPlugin):
            return found
        logger.error('%s; using %r of the settings', found, fallback)
    found = plugin_registry.find(fallback)
    if isinstance(found, registry.UnknownPlugin):
        raise LookupError(str(found))
    return found
