"""Settings of the stand-ins."""

from corianderloft._internal.settings import base


class StandinSettings(base.Section):
    """Settings common to all stand-ins."""

    port: int = base.setting(
        0, 'TCP port; 0 lets the kernel choose.', ge=0, le=65535
    )
    seed: int = base.setting(0, 'Seed of all random choices.')


class KvSettings(StandinSettings):
    """Settings of the key-value service."""

    writes_per_second: float = base.setting(
        500.0, 'Rate limit of writes and lease calls.', 'calls/s', gt=0
    )
    reads_per_second: float = base.setting(
        2000.0, 'Rate limit of reads and watches.', 'calls/s', gt=0
    )
    platform_lag: float = base.setting(
        0.0, 'Wait before writes below platform/ take effect.', 's', ge=0
    )
    progress_interval: float = base.setting(
        2.0, 'Interval of progress notifications on a watch.', 's', gt=0
    )
    history_limit: int = base.setting(
        10000, 'Changes kept for watches that start late.', gt=0
    )


class EngineSettings(StandinSettings):
    """Settings of a model engine."""

    engine_id: str = base.setting('engine-1', 'Identity of the engine.')
    model: str = base.setting('model-1', 'Model version that is loaded.')
    slots: int = base.setting(8, 'Requests that run at the same time.', gt=0)
    step_time: float = base.setting(
        0.02, 'Time of one step with an empty batch.', 's', ge=0
    )
    step_time_per_request: float = base.setting(
        0.001, 'Growth of the step time for each running request.', 's', ge=0
    )
    prefill_chunk: int = base.setting(
        2048, 'Prompt tokens processed in one step.', 'tokens', gt=0
    )
    prefill_time_per_token: float = base.setting(
        0.00002, 'Time to process one prompt token.', 's', ge=0
    )
    mean_answer_tokens: int = base.setting(
        64, 'Mean length of an answer that names no length.', 'tokens', gt=0
    )

    queue_limit: int = base.setting(
        1000, 'Waiting requests; more are refused as overloaded.', ge=0
    )
    cache_blocks: int = base.setting(
        4096, 'Blocks of 256 tokens that the prefix cache holds.', gt=0
    )
    cache_event_lag: float = base.setting(
        0.5, 'Wait before a cache event is reported.', 's', ge=0
    )
    cache_event_loss: float = base.setting(
        0.0, 'Part of the cache events that are never reported.', ge=0, le=1
    )
    load_lag: float = base.setting(
        1.0, 'Age of the load that is reported.', 's', ge=0
    )
    check_fencing: bool = base.setting(
        True, 'Whether orders with an old fencing number are refused.'
    )
    check_model: bool = base.setting(
        False, 'Whether requests for a model not loaded are refused.'
    )


class ServiceSettings(StandinSettings):
    """Settings of a plain service."""

    service_time: float = base.setting(
        0.005, 'Time that a booking takes.', 's', ge=0
    )
