"""Section ``peers``: messages between hosts."""

from corianderloft._internal.settings import base


class PeerSettings(base.Section):
    """Messages between hosts."""

    port: int = base.setting(
        0, 'UDP and TCP port; 0 lets the kernel choose.', ge=0, le=65535
    )
    answer_size: int = base.setting(
        8, 'Largest number of addresses in an answer to a caller.', ge=1
    )
    answer_ttl_s: float = base.setting(
        10.0, 'How long a caller may keep an address answer.', 's', gt=0.0
    )
