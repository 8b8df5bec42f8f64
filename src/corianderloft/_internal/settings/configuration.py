"""Section ``configuration``: claims, staleness and orders to engines."""

from corianderloft._internal.settings import base


class ConfigurationSettings(base.Section):
    """How the configuration is followed."""

    claim_life_s: float = base.setting(
        3600.0, 'How long the answer of a claimed call is kept.', 's', gt=60.0
    )
    claim_writes_per_second: float = base.setting(
        200.0,
        'Transactions for claims that all hosts together may make.',
        '1/s',
        gt=0.0,
    )
    stale_after_s: float = base.setting(
        8.0,
        'New work is refused when neither the key-value service nor a peer'
        ' was heard for so long.',
        's',
        gt=0.0,
    )
    send_orders: bool = base.setting(
        True, 'Whether this host may become the sender of orders to engines.'
    )
