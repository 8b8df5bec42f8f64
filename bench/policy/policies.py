"""The policies that the benchmark compares."""

import dataclasses

from corianderloft._internal.settings import decisions as settings


@dataclasses.dataclass(frozen=True)
class Policy:
    """Decision settings and engine features of one policy.

    Attributes
    ----------
    plugins : tuple of (str, object)
        Settings that differ from their defaults, as (key, value) pairs.
    is_oracle : bool
        Whether the oracle replaces the dispatchers of the hosts.
    engines_preempt : bool
        Whether engines pause a running request for one of higher priority.
    """

    overrides: tuple[tuple[str, object], ...] = ()
    is_oracle: bool = False
    engines_preempt: bool = True

    def settings(self) -> settings.DecisionSettings:
        """Return the decision settings of a host."""
        return settings.DecisionSettings.model_validate(dict(self.overrides))


_BASELINE_PLUGINS = (
    ('queue_policy', 'fifo'),
    ('limiter', 'slot_share'),
    ('retry_rule', 'bounded'),
    ('hedge_rule', 'never'),
)

POLICIES = {
    'ours': Policy(),
    'round_robin': Policy((('balancer', 'round_robin'), *_BASELINE_PLUGINS)),
    'least_reported': Policy(
        (('balancer', 'least_reported_load'), *_BASELINE_PLUGINS)
    ),
    'fifo': Policy((('queue_policy', 'fifo'),)),
    'oracle': Policy(is_oracle=True),
}
