"""Section ``peers``: messages between hosts."""

from corianderloft._internal.settings import base


class PeerKey(base.Section):
    """A key for the keyed hash of messages between hosts."""

    key_id: int = base.setting(..., 'Number of the key.', ge=0, le=65535)
    secret: str = base.setting(..., 'Secret shared by all hosts.')


DEFAULT_KEYS = (PeerKey(key_id=0, secret='corianderloft'),)
"""Keys used when the settings define none. They are public, so they protect
against accidents but not against attacks."""


class PeerSettings(base.Section):
    """Messages between hosts."""

    port: int = base.setting(
        0, 'UDP and TCP port; 0 lets the kernel choose.', ge=0, le=65535
    )
    keys: tuple[PeerKey, ...] = base.setting(
        DEFAULT_KEYS,
        'Keys for the keyed hash of messages; the first signs, all are'
        ' accepted. Set them: the default protects against accidents only.',
    )
    seeds: tuple[str, ...] = base.setting(
        (),
        'Peers to find the others through when the key-value service is'
        ' down, as IP:PORT.',
    )
    answer_size: int = base.setting(
        8, 'Largest number of addresses in an answer to a caller.', ge=1
    )
    answer_ttl_s: float = base.setting(
        10.0, 'How long a caller may keep an address answer.', 's', gt=0.0
    )
