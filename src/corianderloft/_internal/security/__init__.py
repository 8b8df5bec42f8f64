"""Who may do what: workspace keys, operators' credentials and roles."""

from corianderloft._internal.security.keys import hash_key
from corianderloft._internal.security.keys import KeyIndex
from corianderloft._internal.security.keys import new_key

__all__ = ['KeyIndex', 'hash_key', 'new_key']
