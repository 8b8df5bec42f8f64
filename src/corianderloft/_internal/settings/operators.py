"""Section ``operators``: the port for operators."""

from corianderloft._internal.settings import base


class OperatorSettings(base.Section):
    """The port for operators."""

    port: int = base.setting(
        0, 'TCP port; 0 lets the kernel choose.', ge=0, le=65535
    )
