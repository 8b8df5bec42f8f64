"""What corianderloft needs of the platform's key-value service.

Every call returns an outcome; none raises for an outage, a conflict or a
lost reply. Revisions are those of the whole store: each write makes one.
"""

import collections.abc
import contextlib
import dataclasses
import typing

from corianderloft._internal.kernel import registry
from corianderloft._internal.models import ids


@dataclasses.dataclass(frozen=True)
class KeyValue:
    """One key with its value.

    Attributes
    ----------
    key : str
        The key.
    value : bytes
        The value, at most a megabyte.
    mod_revision : Revision
        Revision of the last write to the key.
    version : int
        Count of writes since the key was made.
    lease_id : LeaseId or None
        Lease that the key is bound to.
    """

    key: str
    value: bytes
    mod_revision: ids.Revision
    version: int
    lease_id: ids.LeaseId | None = None


@dataclasses.dataclass(frozen=True)
class Found:
    """Result of a read, as of ``revision``."""

    revision: ids.Revision
    items: tuple[KeyValue, ...]


@dataclasses.dataclass(frozen=True)
class Written:
    """A write took effect and made ``revision``."""

    revision: ids.Revision


@dataclasses.dataclass(frozen=True)
class Conflict:
    """A compare failed; nothing was written.

    Attributes
    ----------
    revision : Revision
        Revision of the store.
    items : tuple of KeyValue
        The compared keys as they stand.
    """

    revision: ids.Revision
    items: tuple[KeyValue, ...]


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """The call did not take effect: refused, limited or not connected."""

    detail: str


@dataclasses.dataclass(frozen=True)
class Unknown:
    """The reply was lost; a write may or may not have taken effect."""

    detail: str


@dataclasses.dataclass(frozen=True)
class LeaseGranted:
    """A lease and its time to live in seconds, as the service set it."""

    lease_id: ids.LeaseId
    ttl: float


@dataclasses.dataclass(frozen=True)
class LeaseLost:
    """The lease no longer exists."""

    lease_id: ids.LeaseId


@dataclasses.dataclass(frozen=True)
class Compare:
    """Condition that a key was last written at ``mod_revision``.

    A ``mod_revision`` of 0 means that the key does not exist.
    """

    key: str
    mod_revision: ids.Revision


@dataclasses.dataclass(frozen=True)
class Put:
    """Write of one key inside a transaction."""

    key: str
    value: bytes
    lease_id: ids.LeaseId | None = None


@dataclasses.dataclass(frozen=True)
class Delete:
    """Removal of one key inside a transaction."""

    key: str


@dataclasses.dataclass(frozen=True)
class WatchEvent:
    """Change of one key; ``item`` is None when it was removed."""

    key: str
    item: KeyValue | None
    revision: ids.Revision


@dataclasses.dataclass(frozen=True)
class WatchEnded:
    """A watch ended; read again from ``revision`` on."""

    detail: str
    revision: ids.Revision


@dataclasses.dataclass(frozen=True)
class WatchProgress:
    """All changes up to ``revision`` were delivered.

    Attributes
    ----------
    revision : Revision
        Revision of the store.
    as_of : float
        A time at which that was so, on `clock.now`, in seconds.
    """

    revision: ids.Revision
    as_of: float


Read = Found | Unavailable
Write = Written | Conflict | Unavailable | Unknown
Grant = LeaseGranted | Unavailable | Unknown
Renewal = LeaseGranted | LeaseLost | Unavailable
WatchItem = WatchEvent | WatchProgress | WatchEnded


Wait = collections.abc.Callable[[], float]
"""Returns how long the next call may wait for a change, in seconds."""


class KeyValueClient(typing.Protocol):
    """Typed calls on the platform's key-value service."""

    async def get(self, key: str) -> Read:
        """Read one key; ``items`` is empty when it does not exist."""

    async def get_prefix(self, prefix: str) -> Read:
        """Read all keys that begin with ``prefix``, in order."""

    async def transact(
        self,
        compares: collections.abc.Sequence[Compare],
        operations: collections.abc.Sequence[Put | Delete],
    ) -> Write:
        """Apply all operations if all compares hold."""

    async def grant_lease(self, ttl: float) -> Grant:
        """Ask for a lease of ``ttl`` seconds."""

    async def renew_lease(self, lease_id: ids.LeaseId) -> Renewal:
        """Extend a lease to its full time to live."""

    async def revoke_lease(
        self, lease_id: ids.LeaseId
    ) -> Written | Unavailable | Unknown:
        """End a lease; keys bound to it are removed."""

    def watch(
        self, prefix: str, after: ids.Revision, wait: Wait | None = None
    ) -> contextlib.AbstractAsyncContextManager[
        collections.abc.AsyncIterator[WatchItem]
    ]:
        """Watch keys below ``prefix`` for changes later than ``after``.

        The iterator ends after one `WatchEnded`. Services that are asked
        again and again also yield `WatchProgress`; ``wait`` says how long
        each call may wait for a change.
        """


ClientFactory = collections.abc.Callable[..., KeyValueClient]

CLIENTS: registry.Registry[ClientFactory] = registry.Registry(
    'key-value client'
)
"""Plug-ins by name; a factory takes the ``kv`` section of the settings."""
