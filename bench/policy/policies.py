"""The sets of plug-ins that are measured side by side."""

import dataclasses

from corianderloft._internal.settings import decisions as settings


@dataclasses.dataclass(frozen=True)
class Policy:
    """Plug-ins by name.

    Attributes
    ----------
    plugins : tuple of (str, object)
        Keys of the settings that differ from their defaults.
    is_oracle : bool
        Whether the oracle takes the decisions instead.
    engines_preempt : bool
        Whether engines pause a running request for a higher priority.
    """

    plugins: tuple[tuple[str, object], ...] = ()
    is_oracle: bool = False
    engines_preempt: bool = True

    def settings(self) -> settings.DecisionSettings:
        """Return the settings of a host."""
        return settings.DecisionSettings.model_validate(dict(self.plugins))


_BASELINE = (
    ('queue_policy', 'fifo'),
    ('limiter', 'slot_share'),
    ('retry_rule', 'bounded'),
    ('hedge_rule', 'never'),
)

POLICIES = {
    'ours': Policy(),
    'round_robin': Policy((('balancer', 'round_robin'), *_BASELINE)),
    'least_reported': Policy(
        (('balancer', 'least_reported_load'), *_BASELINE)
    ),
    'fifo': Policy((('queue_policy', 'fifo'),)),
    'oracle': Policy(is_oracle=True),
}
