"""Datagrams in which hosts tell each other their loads."""

import collections.abc
import dataclasses
import enum
import typing

import orjson

from corianderloft._internal.models import ids
from corianderloft._internal.models import members
from corianderloft._internal.placement import engines

REPEATS = 2
"""Datagrams that hold each change, since one of them may be lost."""

NOTHING = engines.PeerLoad(0, 0, 0, 0)

Loads = collections.abc.Mapping[engines.Key, engines.PeerLoad]


class Scope(enum.Enum):
    """Whose load a datagram tells."""

    HOST = 'host'
    GROUP = 'group'
    REST = 'rest'


class Source(typing.NamedTuple):
    """Who tells, and whose load it is."""

    host_id: ids.HostId
    scope: Scope


@dataclasses.dataclass(frozen=True)
class Message:
    """One datagram.

    Attributes
    ----------
    source : Source
        Who tells, and whose load it is.
    start : str
        Which start of the host it is.
    number : int
        Grows with each datagram of a source.
    whole : bool
        Whether it holds everything, and not only changes.
    loads : dict
        Loads by backend server.
    """

    source: Source
    start: str
    number: int
    whole: bool
    loads: dict[engines.Key, engines.PeerLoad]


def encode(message: Message) -> bytes:
    """Return a message as a datagram."""
    return orjson.dumps(
        [
            message.source.host_id,
            message.source.scope.value,
            message.start,
            message.number,
            message.whole,
            [
                [*key, *dataclasses.astuple(load)]
                for key, load in message.loads.items()
            ],
        ]
    )


def decode(data: bytes) -> Message | None:
    """Return the message in a datagram, or None for a malformed one."""
    try:
        host_id, scope, start, number, whole, rows = orjson.loads(data)
        loads = {
            (ids.EngineId(str(engine_id)), int(born)): engines.PeerLoad(
                *map(int, figures)
            )
            for engine_id, born, *figures in rows
        }
        source = Source(ids.HostId(str(host_id)), Scope(scope))
        return Message(source, str(start), int(number), bool(whole), loads)
    except (ValueError, TypeError):
        return None


class Sender:
    """Makes the datagrams of one scope.

    Parameters
    ----------
    own : Member
        This host.
    scope : Scope
        Whose load they tell.
    """

    def __init__(self, own: members.Member, scope: Scope) -> None:
        self._source = Source(own.host_id, scope)
        self._start = own.start
        self._number = 0
        self._told: dict[engines.Key, engines.PeerLoad] = {}
        self._pending: dict[engines.Key, int] = {}

    def datagram(self, loads: Loads, whole: bool) -> bytes | None:
        """Return the next datagram; None when there is nothing new.

        Parameters
        ----------
        loads : mapping
            Loads by backend server.
        whole : bool
            Whether to tell everything.
        """
        for key in self._told.keys() | loads.keys():
            if self._told.get(key) != loads.get(key):
                self._pending[key] = REPEATS
        self._told = dict(loads)
        if not whole and not self._pending:
            return None
        told = loads if whole else self._changes(loads)
        self._number += 1
        return encode(
            Message(self._source, self._start, self._number, whole, dict(told))
        )

    def _changes(self, loads: Loads) -> Loads:
        changes = {key: loads.get(key, NOTHING) for key in self._pending}
        self._pending = {
            key: left - 1 for key, left in self._pending.items() if left > 1
        }
        return changes


class Heard:
    """What one source told last.

    Attributes
    ----------
    loads : dict
        Loads by backend server.
    at : float
        When it told, on trio's clock, in seconds.
    """

    def __init__(self) -> None:
        self.loads: dict[engines.Key, engines.PeerLoad] = {}
        self.at = 0.0
        self._start = ''
        self._number = 0

    def take(self, message: Message, now: float) -> bool:
        """Take in a message; False for one that is older than the last."""
        if message.start == self._start and message.number <= self._number:
            return False
        if message.whole or message.start != self._start:
            self.loads = {}
        self._start, self._number, self.at = message.start, message.number, now
        self.loads |= message.loads
        for key in [k for k, load in self.loads.items() if load == NOTHING]:
            del self.loads[key]
        return True
