"""Clients of the platform's key-value service.

Clients are plug-ins. Code that looks one up by name must import its module.
"""

from corianderloft._internal.kv.interface import CLIENTS
from corianderloft._internal.kv.interface import KeyValueClient

__all__ = ['CLIENTS', 'KeyValueClient']
