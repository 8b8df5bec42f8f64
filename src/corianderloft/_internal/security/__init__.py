"""Authentication and authorization of callers and operators."""

from corianderloft._internal.security.keys import hash_key
from corianderloft._internal.security.keys import KeyIndex
from corianderloft._internal.security.keys import new_key
from corianderloft._internal.security.operators import Authorization
from corianderloft._internal.security.operators import bearer_key
from corianderloft._internal.security.operators import Operator
from corianderloft._internal.security.operators import Operators
from corianderloft._internal.security.operators import Role
from corianderloft._internal.security.operators import Unauthenticated
from corianderloft._internal.security.operators import Unauthorized

__all__ = [
    'Authorization',
    'KeyIndex',
    'Operator',
    'Operators',
    'Role',
    'Unauthenticated',
    'Unauthorized',
    'bearer_key',
    'hash_key',
    'new_key',
]
