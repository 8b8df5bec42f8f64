"""Section ``decisions``: admission, queues, choice of engine, retries."""

from corianderloft._internal.settings import base


class DecisionSettings(base.Section):
    """Admission, queues, choice of engine, retries."""

    balancer: str = base.setting(
        'observed', 'Balancer of services that name none.'
    )
    queue_policy: str = base.setting(
        'fair', 'Queue policy of services that name none.'
    )
    limiter: str = base.setting(
        'adaptive', 'Limiter of services that name none.'
    )
    retry_rule: str = base.setting(
        'budgeted', 'Retry rule of services that name none.'
    )
    hedge_rule: str = base.setting('budgeted', 'Hedge rule of all services.')
    queue_limit: int = base.setting(
        2000, 'Requests that may wait for one service.', 'requests', ge=1
    )
    long_cost: float = base.setting(
        150.0, 'Expected work from which a request is long.', 'tokens', gt=0
    )
    crest_factor: float = base.setting(
        0.0, 'Times their mean that higher tiers are kept room for.', ge=0
    )
    overcommit: float = base.setting(
        2.0, 'Times its share that work above the lowest may use.', ge=1
    )
    guaranteed_part: float = base.setting(
        0.05,
        'Part of started work that lanes below may start by guarantee.',
        ge=0,
        le=0.5,
    )
    guaranteed_after: float = base.setting(
        15.0,
        'Time without a start after which a lane uses its guarantee.',
        's',
        gt=0,
    )
    guaranteed_within: float = base.setting(
        60.0,
        'Longest time that a lane waits for a start while slots come free.',
        's',
        gt=0,
    )
    early_refusal: float = base.setting(
        2.0,
        'Times the time left that the backlog must need for an early refusal.',
        ge=1,
    )
    eject_slowness: float = base.setting(
        2.5, 'Times the healthy time between tokens that ejects.', gt=1
    )
    readmit_slowness: float = base.setting(
        1.6, 'Times the healthy time between tokens that readmits.', ge=1
    )
    most_ejected: float = base.setting(
        0.4, 'Largest part of engines that is ejected.', ge=0, lt=1
    )
    subset_above: int = base.setting(
        64, 'Engines of a service up to which a host uses all.', 'engines'
    )
    subset_hosts_per_engine: int = base.setting(
        4, 'Hosts that use one engine beyond that.', 'hosts', ge=1
    )
    away_cost: float = base.setting(
        1.0, 'Cost of an engine away from home, in loads of a full one.', ge=0
    )
    total_load_cost: float = base.setting(
        0.25, 'Weight of the load that a request may go before.', ge=0
    )
    doubt_cost: float = base.setting(
        1.0, 'Slowness added for short work on an engine not heard of.', ge=0
    )
    prefix_affinity: float = base.setting(
        0.2, 'Weight of a second of prompt reading that a cache saves.', ge=0
    )
    max_attempts: int = base.setting(
        4, 'Attempts that one request may make.', 'attempts', ge=1
    )
    retry_base_delay: float = base.setting(
        0.05, 'Wait before the first retry; doubles with each.', 's', gt=0
    )
    retry_part: float = base.setting(
        0.1, 'Retries that each first attempt earns.', 'retries', ge=0
    )
    retry_burst: float = base.setting(
        20.0, 'Most retries that are saved up.', 'retries', ge=0
    )
    hedge_part: float = base.setting(
        0.01, 'Part of started work that hedges may spend.', ge=0, le=0.5
    )
    hedge_burst: float = base.setting(
        300.0,
        'Hedged work at first, and the most that is saved up.',
        'tokens',
        ge=0,
    )
    hedge_target_part: float = base.setting(
        0.12, 'Part of the first token target after which to hedge.', gt=0
    )
    hedge_percentile: float = base.setting(
        0.95,
        'Percentile of first token waits that starts a hedge.',
        gt=0,
        lt=1,
    )
    hedge_least_delay: float = base.setting(
        0.12, 'Shortest wait before a hedge.', 's', gt=0
    )
