"""Datagrams in which hosts exchange their loads."""

import collections.abc
import dataclasses
import enum
import math
import typing

import orjson

from corianderloft._internal.gateway import outages
from corianderloft._internal.models import ids
from corianderloft._internal.models import members
from corianderloft._internal.placement import engines
from corianderloft._internal.placement import lane_demand
from corianderloft._internal.utils import integers

MAX_COUNT = 10**12
"""Bound on each count of a load, so that sums fit into a datagram."""

SENDS_PER_CHANGE = 2
"""Number of datagrams that contain each change, as one may be lost."""


Loads = collections.abc.Mapping[engines.Key, engines.PeerLoad]
Demands = collections.abc.Mapping[ids.ServiceName, lane_demand.Demand]


class Scope(enum.Enum):
    """Which hosts the load in a datagram belongs to.

    HOST is the sender, GROUP the sum of its group, and REST the sum of all
    other groups.
    """

    HOST = 'host'
    GROUP = 'group'
    REST = 'rest'


class Source(typing.NamedTuple):
    """Sender and scope of a load."""

    host_id: ids.HostId
    scope: Scope

    @property
    def label(self) -> str:
        """Name of the source."""
        return f'{self.host_id} {self.scope.value}'


@dataclasses.dataclass(frozen=True)
class Message:
    """One datagram.

    Attributes
    ----------
    source : Source
        Sender and scope of the loads.
    start : str
        Random ID of the sender's process, new at each restart.
    sequence : int
        Sequence number, increasing per source.
    full : bool
        Whether it contains the full state instead of changes only.
    loads : dict
        Loads by backend server.
    demands : dict
        Demands by service; only in messages with the full state.
    contact : Contact or None
        Contact of the sender with the store; only in messages with the full
        state.
    version : int
        Newest version of the declarations that the sender knows of; 0 if it
        states none. Only in messages with the full state.
    """

    source: Source
    start: str
    sequence: int
    full: bool
    loads: dict[engines.Key, engines.PeerLoad]
    demands: dict[ids.ServiceName, lane_demand.Demand] = dataclasses.field(
        default_factory=dict
    )
    contact: outages.Contact | None = None
    version: int = 0


def encode(message: Message) -> bytes:
    """Encode a message as a datagram."""
    return orjson.dumps(
        [
            message.source.host_id,
            message.source.scope.value,
            message.start,
            message.sequence,
            message.full,
            [[*key, *load] for key, load in message.loads.items()],
            [
                [
                    service,
                    *(
                        round(value, 1)
                        for value in dataclasses.astuple(demand)
                    ),
                ]
                for service, demand in message.demands.items()
            ],
            message.contact
            and [
                round(message.contact.unbroken_s, 3),
                round(message.contact.age_s, 3),
            ],
            message.version,
        ]
    )


def decode(data: bytes) -> Message | None:
    """Decode a datagram; return None if it is malformed."""
    try:
        # Hosts of an earlier release send no demands, contact or version.
        host_id, scope, start, sequence, full, rows, *rest = orjson.loads(data)
        demand_rows = rest[0] if rest else ()
        contact = rest[1] if len(rest) > 1 else None
        version = rest[2] if len(rest) > 2 else 0
        loads = {
            (
                ids.EngineId(str(engine_id)),
                integers.bounded(born, 0),
            ): engines.PeerLoad(*map(_count, counts))
            for engine_id, born, *counts in rows
        }
        demands = {
            ids.ServiceName(str(service)): lane_demand.Demand(
                *map(_finite, values)
            )
            for service, *values in demand_rows
        }
        source = Source(ids.HostId(str(host_id)), Scope(scope))
        return Message(
            source,
            str(start),
            integers.bounded(sequence, 0),
            bool(full),
            loads,
            demands,
            None if contact is None else _contact(*contact),
            integers.bounded(version, 0),
        )
    except (ValueError, TypeError):
        return None


def _contact(unbroken_s: object, age_s: object) -> outages.Contact:
    return outages.Contact(_finite(unbroken_s), _finite(age_s))


def _count(value: object) -> int:
    """Return a count that may be summed over all hosts."""
    return integers.bounded(value, -MAX_COUNT, MAX_COUNT)


def _finite(value: object) -> float:
    """Return a finite number."""
    number = float(value)  # type: ignore[arg-type]
    if not math.isfinite(number):
        raise ValueError(f'{number} is not finite')
    return number


class DatagramBuilder:
    """Builds the datagrams of one scope.

    Parameters
    ----------
    own : Member
        Entry of this host.
    scope : Scope
        Scope of the loads.
    """

    def __init__(self, own: members.Member, scope: Scope) -> None:
        self._source = Source(own.host_id, scope)
        self._start = own.start
        self._sequence = 0
        self._last_loads: dict[engines.Key, engines.PeerLoad] = {}
        self._pending: dict[engines.Key, int] = {}

    def next_datagram(
        self,
        loads: Loads,
        demands: Demands,
        full: bool,
        contact: outages.Contact | None = None,
        version: int = 0,
    ) -> bytes | None:
        """Return the next datagram, or None if there is nothing to send.

        Parameters
        ----------
        loads : mapping
            Current loads by backend server.
        demands : mapping
            Current demands by service.
        full : bool
            Whether to send the full state instead of changes only.
        contact : Contact or None
            Contact of this host with the store.
        version : int
            Newest version of the declarations that this host knows of.
        """
        for key in self._last_loads.keys() | loads.keys():
            if self._last_loads.get(key) != loads.get(key):
                self._pending[key] = SENDS_PER_CHANGE
        self._last_loads = dict(loads)
        if not full and not self._pending:
            return None
        content = loads if full else self._pending_changes(loads)
        self._sequence += 1
        return encode(
            Message(
                self._source,
                self._start,
                self._sequence,
                full,
                dict(content),
                dict(demands) if full else {},
                contact if full else None,
                version if full else 0,
            )
        )

    def _pending_changes(self, loads: Loads) -> Loads:
        changes = {
            key: loads.get(key, engines.NO_LOAD) for key in self._pending
        }
        self._pending = {
            key: remaining - 1
            for key, remaining in self._pending.items()
            if remaining > 1
        }
        return changes


class ReceivedLoads:
    """Latest loads received from one source.

    Attributes
    ----------
    loads : dict
        Loads by backend server.
    demands : mapping
        Demands by service.
    received_at : float
        Time of the last datagram, on trio's clock, in seconds.
    """

    def __init__(self) -> None:
        self.loads: dict[engines.Key, engines.PeerLoad] = {}
        self.demands: Demands = {}
        self.received_at = 0.0
        self._start = ''
        self._sequence = 0

    def apply(
        self, message: Message, now: float
    ) -> collections.abc.Set[engines.Key] | None:
        """Apply a message and return the keys whose load changed.

        Returns None if the message is older than the last one.
        """
        if message.start == self._start and message.sequence <= self._sequence:
            return None
        changed: set[engines.Key] = set()
        if message.full or message.start != self._start:
            changed.update(self.loads)
            self.loads = {}
            self.demands = message.demands
        self._start, self._sequence, self.received_at = (
            message.start,
            message.sequence,
            now,
        )
        changed.update(message.loads)
        for key, load in message.loads.items():
            if load == engines.NO_LOAD:
                self.loads.pop(key, None)
            else:
                self.loads[key] = load
        return changed
