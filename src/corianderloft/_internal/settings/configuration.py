"""Section ``configuration``: How the configuration is followed."""

from corianderloft._internal.settings import base


class ConfigurationSettings(base.Section):
    """How the configuration is followed."""
