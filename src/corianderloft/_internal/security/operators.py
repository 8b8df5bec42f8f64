"""Credentials and roles of operators."""

import collections.abc
import dataclasses
import enum
import hmac

from corianderloft._internal.security import keys


class Role(enum.Enum):
    """Role of an operator; each role includes the ones before it."""

    VIEWER = 'viewer'
    OPERATOR = 'operator'


_RANK = {Role.VIEWER: 0, Role.OPERATOR: 1}


@dataclasses.dataclass(frozen=True)
class Operator:
    """An operator.

    Attributes
    ----------
    name : str
        Name used in the log and in the change history.
    key_hash : str
        SHA-256 hash of the operator's key.
    role : Role
        Permissions of the operator.
    """

    name: str
    key_hash: str
    role: Role


@dataclasses.dataclass(frozen=True)
class Unauthenticated:
    """The request has no key, or an unknown one."""


@dataclasses.dataclass(frozen=True)
class Unauthorized:
    """The operator is known but lacks the required role."""

    name: str
    required_role: Role


Authorization = Operator | Unauthenticated | Unauthorized


class Operators:
    """All operators known to a host.

    Each lookup compares the key with every entry in constant time, so that
    timing does not distinguish between operators. The number of entries is
    small.
    """

    def __init__(self, known: collections.abc.Iterable[Operator]) -> None:
        self._known = tuple(known)

    def authorize(self, key: str | None, required_role: Role) -> Authorization:
        """Return the operator with ``key`` if its role suffices.

        Parameters
        ----------
        key : str or None
            Key that the operator sent.
        required_role : Role
            Minimum role.
        """
        if key is None or len(key) > keys.MAX_KEY_CHARACTERS:
            return Unauthenticated()
        presented = keys.hash_key(key)
        matches = [
            operator
            for operator in self._known
            if hmac.compare_digest(presented, operator.key_hash)
        ]
        if not matches:
            return Unauthenticated()
        highest = max(matches, key=lambda operator: _RANK[operator.role])
        if _RANK[highest.role] < _RANK[required_role]:
            return Unauthorized(highest.name, required_role)
        return highest


def bearer_key(header: str | None) -> str | None:
    """Return the key in an ``Authorization`` header, or None."""
    scheme, _, key = (header or '').partition(' ')
    key = key.strip()
    return key if scheme.lower() == 'bearer' and key else None
