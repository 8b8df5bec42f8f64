"""Section ``backends``: connections to backend servers."""

from corianderloft._internal.settings import base


class BackendSettings(base.Section):
    """Connections to backend servers."""

    connect_time: float = base.setting(
        1.0, 'Time for a connection to be made.', 's', gt=0
    )
    idle_connections: int = base.setting(
        32, 'Idle connections kept for each backend server.', ge=0
    )
    idle_time: float = base.setting(
        15.0, 'Time that an idle connection is kept.', 's', gt=0
    )
    live_time: float = base.setting(
        2.0,
        'Time since its last answer in which an idle connection counts as '
        'live; calls that are not idempotent use no older one.',
        's',
        gt=0,
    )
    silent_gaps: float = base.setting(
        50.0,
        'Silence of an engine in mid-stream after which it is given up, in '
        'multiples of the target between tokens of the class.',
        gt=1,
    )
    silent_first_tokens: float = base.setting(
        8.0,
        'Silence of a backend server before its first token or answer after '
        'which it is given up, in multiples of the first-token target; at '
        'most half the deadline of an idempotent class.',
        gt=1,
    )
    silent_floor: float = base.setting(
        1.0, 'Least silence after which an engine is given up.', 's', gt=0
    )
    max_answer_bytes: int = base.setting(
        16777216, 'Largest answer that is not streamed.', 'bytes', gt=0
    )
    polls_per_second: float = base.setting(
        2.0,
        'Bound on the calls that read load and cache events of engines.',
        '1/s',
        ge=0,
    )
    polled_time: float = base.setting(
        30.0,
        'Time after its last request for which an engine is still polled.',
        's',
        gt=0,
    )
