"""Clients of the platform's key-value service.

The clients are plug-ins; whoever looks one up by name imports its module.
"""

from corianderloft._internal.kv.interface import CLIENTS
from corianderloft._internal.kv.interface import KeyValueClient

__all__ = ['CLIENTS', 'KeyValueClient']
