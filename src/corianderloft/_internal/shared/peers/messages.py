"""Typed messages between hosts."""

import dataclasses
import enum
import typing

from corianderloft._internal.models import ids
from corianderloft._internal.shared import interface
from corianderloft._internal.shared import mirror


class Address(typing.NamedTuple):
    """IP address and port at which a peer listens."""

    ip: str
    port: int


class DatagramKind(enum.Enum):
    """Purpose of a datagram."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2
    UPDATE = 3


class FetchKind(enum.Enum):
    """Kind of data to fetch."""

    VIEW = 0
    CONFIGURATION = 1
    PLATFORM = 2


@dataclasses.dataclass(frozen=True)
class BackendNote:
    """A backend server announced ``age`` seconds ago that it is leaving."""

    engine_id: ids.EngineId
    age: float


@dataclasses.dataclass(frozen=True)
class Datagram:
    """One message of the membership protocol.

    Attributes
    ----------
    kind : DatagramKind
        Purpose of the datagram.
    sender : HostId
        Host that sent the datagram.
    incarnation : Incarnation
        Incarnation of the sender.
    sequence : int
        Number of the ping; copied into its ack.
    target : HostId
        Host that is probed.
    configuration : Revision
        Revision of the configuration that the sender has applied.
    platform : Revision
        Revision of the sender's copy of the platform's lists.
    verified_age : float
        Seconds since the sender's configuration was verified to be current.
    view_digest : int
        Digest of the sender's view of the members.
    members : tuple of Host
        Recently changed members.
    notes : tuple of BackendNote
        Backend servers that are leaving.
    """

    kind: DatagramKind
    sender: ids.HostId
    incarnation: ids.Incarnation
    sequence: int
    target: ids.HostId
    configuration: ids.Revision = ids.Revision(0)
    platform: ids.Revision = ids.Revision(0)
    verified_age: float = 0.0
    view_digest: int = 0
    members: tuple[interface.Host, ...] = ()
    notes: tuple[BackendNote, ...] = ()


@dataclasses.dataclass(frozen=True)
class Fetch:
    """Request to a peer over a stream.

    Attributes
    ----------
    kind : FetchKind
        Kind of data to fetch.
    nonce : int
        Copied into the response.
    revision : Revision
        Only entries newer than this revision are requested.
    """

    kind: FetchKind
    nonce: int
    revision: ids.Revision = ids.Revision(0)


@dataclasses.dataclass(frozen=True)
class Fetched:
    """Complete response to a `Fetch`."""

    delta: mirror.Delta = mirror.Delta(ids.Revision(0), ())
    members: tuple[interface.Host, ...] = ()


@dataclasses.dataclass(frozen=True)
class Page:
    """Part of a response; ``more`` is False on the last page."""

    nonce: int
    fetched: Fetched
    more: bool


class DecodeFault(enum.Enum):
    """Why a message was discarded."""

    MALFORMED = 'malformed'
    UNKNOWN_KEY = 'unknown_key'
    WRONG_DIGEST = 'wrong_digest'


@dataclasses.dataclass(frozen=True)
class Undecodable:
    """A message that was discarded."""

    fault: DecodeFault


@dataclasses.dataclass(frozen=True)
class FetchFailed:
    """A fetch got no complete response."""

    detail: str
