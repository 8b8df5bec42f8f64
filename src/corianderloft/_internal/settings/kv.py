"""Section ``kv``: the platform's key-value service."""

from corianderloft._internal.settings import base


class KvSettings(base.Section):
    """The platform's key-value service."""

    client: str = base.setting('etcd', 'Name of the client plug-in.')
    endpoint: str = base.setting(
        'http://127.0.0.1:2379', 'URL of the service, by IP number.'
    )
