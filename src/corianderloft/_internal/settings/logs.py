"""Section ``logs``: Logs."""

from corianderloft._internal.settings import base


class LogSettings(base.Section):
    """Logs."""
