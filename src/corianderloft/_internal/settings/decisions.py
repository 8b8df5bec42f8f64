"""Section ``decisions``: Admission, queues, choice of engine, retries."""

from corianderloft._internal.settings import base


class DecisionSettings(base.Section):
    """Admission, queues, choice of engine, retries."""

    balancer: str = base.setting(
        'round_robin', 'Balancer of services that name none.'
    )
    queue_policy: str = base.setting(
        'fifo', 'Queue policy of services that name none.'
    )
    limiter: str = base.setting(
        'slot_share', 'Limiter of services that name none.'
    )
    retry_rule: str = base.setting(
        'bounded', 'Retry rule of services that name none.'
    )
    hedge_rule: str = base.setting('never', 'Hedge rule of all services.')
    queue_limit: int = base.setting(
        2000, 'Requests that may wait for one service.', 'requests', ge=1
    )
    max_attempts: int = base.setting(
        3, 'Attempts that one request may make.', 'attempts', ge=1
    )
    retry_base_delay: float = base.setting(
        0.05, 'Wait before the first retry; doubles with each.', 's', gt=0
    )
