"""Client of the platform's key-value service."""

from corianderloft._internal.kv import etcd as _etcd  # noqa: F401
from corianderloft._internal.kv.interface import CLIENTS
from corianderloft._internal.kv.interface import KeyValueClient

__all__ = ['CLIENTS', 'KeyValueClient']
