"""Section ``callers``: the port for callers."""

from corianderloft._internal.settings import base


class CallerSettings(base.Section):
    """The port for callers."""

    port: int = base.setting(
        0, 'TCP port; 0 lets the kernel choose.', ge=0, le=65535
    )
