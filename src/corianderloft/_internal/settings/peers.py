"""Section ``peers``: messages between hosts."""

from corianderloft._internal.settings import base


class PeerSettings(base.Section):
    """Messages between hosts."""

    port: int = base.setting(
        0, 'UDP port; 0 lets the kernel choose.', ge=0, le=65535
    )
