"""Operators' credentials and roles."""

import collections.abc
import dataclasses
import enum
import hmac

from corianderloft._internal.security import keys


class Role(enum.Enum):
    """What an operator may do; each role includes those before it."""

    VIEWER = 'viewer'
    OPERATOR = 'operator'


_RANK = {Role.VIEWER: 0, Role.OPERATOR: 1}


@dataclasses.dataclass(frozen=True)
class Operator:
    """One operator.

    Attributes
    ----------
    name : str
        Name for the log and the history.
    key_hash : str
        SHA-256 of the operator's key.
    role : Role
        What the operator may do.
    """

    name: str
    key_hash: str
    role: Role


@dataclasses.dataclass(frozen=True)
class Unauthenticated:
    """No known key was presented."""


@dataclasses.dataclass(frozen=True)
class Unauthorized:
    """The operator is known and the role does not suffice."""

    name: str
    needed: Role


Authorization = Operator | Unauthenticated | Unauthorized


class Operators:
    """All operators of a host.

    Every entry is compared in constant time at each look-up: there are few,
    and none is told apart by time.
    """

    def __init__(self, known: collections.abc.Iterable[Operator]) -> None:
        self._known = tuple(known)

    def authorize(self, key: str | None, needed: Role) -> Authorization:
        """Return the operator that presents ``key`` if it may act.

        Parameters
        ----------
        key : str or None
            Presented key.
        needed : Role
            Least role that suffices.
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
        best = max(matches, key=lambda operator: _RANK[operator.role])
        if _RANK[best.role] < _RANK[needed]:
            return Unauthorized(best.name, needed)
        return best


def bearer_key(header: str | None) -> str | None:
    """Return the key in an ``Authorization`` header, or None."""
    scheme, _, key = (header or '').partition(' ')
    key = key.strip()
    return key if scheme.lower() == 'bearer' and key else None
