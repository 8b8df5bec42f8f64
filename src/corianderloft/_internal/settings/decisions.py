"""Section ``decisions``: Admission, queues, choice of engine, retries."""

from corianderloft._internal.settings import base


class DecisionSettings(base.Section):
    """Admission, queues, choice of engine, retries."""
