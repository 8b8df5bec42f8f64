"""Messages between hosts, as typed values."""

import dataclasses
import enum
import typing

from corianderloft._internal.models import ids
from corianderloft._internal.shared import interface
from corianderloft._internal.shared import mirror


class Address(typing.NamedTuple):
    """Where a peer listens: IP number and port."""

    ip: str
    port: int


class DatagramKind(enum.Enum):
    """What a datagram asks or answers."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2
    NEWS = 3


class FetchKind(enum.Enum):
    """What a fetch asks for."""

    VIEW = 0
    CONFIGURATION = 1
    PLATFORM = 2


@dataclasses.dataclass(frozen=True)
class BackendNote:
    """A backend server said that it leaves, ``age`` seconds ago."""

    engine_id: ids.EngineId
    age: float


@dataclasses.dataclass(frozen=True)
class Datagram:
    """One message of the membership protocol.

    Attributes
    ----------
    kind : DatagramKind
        What it asks or answers.
    sender : HostId
        Who sends it.
    incarnation : Incarnation
        Start of the sender.
    sequence : int
        Number of the question.
    target : HostId
        Who is asked, or about whom.
    configuration : Revision
        Configuration in force on the sender.
    platform : Revision
        Platform's lists as the sender knows them.
    verified_age : float
        Seconds since the sender's configuration was known to be the newest.
    view_digest : int
        Digest of the sender's view of the members.
    members : tuple of Host
        Members that changed lately.
    notes : tuple of BackendNote
        Backend servers that leave.
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
    """Question to a peer over a stream.

    Attributes
    ----------
    kind : FetchKind
        What is asked for.
    nonce : int
        Echoed in the answer.
    revision : Revision
        Entries later than this are asked for.
    """

    kind: FetchKind
    nonce: int
    revision: ids.Revision = ids.Revision(0)


@dataclasses.dataclass(frozen=True)
class Fetched:
    """Whole answer to a `Fetch`."""

    delta: mirror.Delta = mirror.Delta(ids.Revision(0), ())
    members: tuple[interface.Host, ...] = ()


@dataclasses.dataclass(frozen=True)
class Page:
    """Part of an answer; the last one has no ``more``."""

    nonce: int
    fetched: Fetched
    more: bool


class DecodeFault(enum.Enum):
    """Why a message was thrown away."""

    MALFORMED = 'malformed'
    UNKNOWN_KEY = 'unknown_key'
    WRONG_DIGEST = 'wrong_digest'


@dataclasses.dataclass(frozen=True)
class Undecodable:
    """A message that was thrown away."""

    fault: DecodeFault


@dataclasses.dataclass(frozen=True)
class FetchFailed:
    """A peer did not answer a fetch."""

    detail: str
