"""Section ``kv``: the platform's key-value service."""

import pydantic

from corianderloft._internal.settings import base
from corianderloft._internal.utils import urls


class KvSettings(base.Section):
    """The platform's key-value service."""

    client: str = base.setting('etcd', 'Name of the client plug-in.')
    endpoint: str = base.setting(
        'http://127.0.0.1:2379', 'URL of the service, by IP number.'
    )
    era_header: str = base.setting(
        'Store-Era',
        'Header of each reply with how often the service came back from an '
        'older copy; without it restores are not noticed.',
        min_length=1,
    )
    connect_timeout: float = base.setting(
        1.0, 'Bound on opening a connection.', 's', gt=0
    )
    call_timeout: float = base.setting(
        2.0,
        'Bound on one attempt of a call; a read is tried twice.',
        's',
        gt=0,
    )
    watch_silence: float = base.setting(
        10.0,
        'A watch on which neither an event nor a progress notification came '
        'for this long has gone silent and ends.',
        's',
        gt=0,
    )
    idle_connections: int = base.setting(
        4, 'Idle connections kept for the next calls.', ge=0
    )
    idle_expiry: float = base.setting(
        15.0, 'An idle connection is not used after this long.', 's', gt=0
    )
    reads_per_second: float = base.setting(
        200.0,
        'Budget of this process for reads and watches.',
        'calls/s',
        gt=0,
    )
    writes_per_second: float = base.setting(
        40.0,
        'Budget of this process for writes and lease calls.',
        'calls/s',
        gt=0,
    )
    reconnect_base: float = base.setting(
        0.1, 'Mean wait before the first reconnect of a watch.', 's', gt=0
    )
    reconnect_limit: float = base.setting(
        5.0, 'Longest wait before a reconnect of a watch.', 's', gt=0
    )

    @pydantic.field_validator('endpoint')
    @classmethod
    def _is_url(cls, value: str) -> str:
        if '://' not in value or not urls.is_origin(value):
            raise ValueError(
                f'{value!r} is not an http://IP:PORT or https://IP:PORT URL'
            )
        return value
