"""Interface of clients of the platform's key-value service.

Calls return an outcome; they do not raise for an outage, a conflict or a lost
reply. Revisions count the writes to the whole store.
"""

import collections.abc
import contextlib
import dataclasses
import typing

from corianderloft._internal.kernel import registry
from corianderloft._internal.models import ids


@dataclasses.dataclass(frozen=True)
class KeyValue:
    """A key and its value.

    Attributes
    ----------
    key : str
        The key.
    value : bytes
        The value, at most 1 MB.
    mod_revision : Revision
        Revision of the last write to the key.
    version : int
        Number of writes since the key was created.
    lease_id : LeaseId or None
        Lease that the key is attached to.
    """

    key: str
    value: bytes
    mod_revision: ids.Revision
    version: int
    lease_id: ids.LeaseId | None = None


@dataclasses.dataclass(frozen=True)
class Found:
    """Result of a read at ``revision``."""

    revision: ids.Revision
    items: tuple[KeyValue, ...]


@dataclasses.dataclass(frozen=True)
class Written:
    """A write took effect and created ``revision``."""

    revision: ids.Revision


@dataclasses.dataclass(frozen=True)
class Conflict:
    """A compare failed; nothing was written.

    Attributes
    ----------
    revision : Revision
        Revision of the store.
    items : tuple of KeyValue
        Current state of the compared keys.
    """

    revision: ids.Revision
    items: tuple[KeyValue, ...]


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """The call did not take effect: refused, rate-limited or not sent."""

    detail: str


@dataclasses.dataclass(frozen=True)
class Unknown:
    """The reply was lost; a write may or may not have taken effect."""

    detail: str


@dataclasses.dataclass(frozen=True)
class LeaseGranted:
    """A lease and the time to live in seconds that the service granted."""

    lease_id: ids.LeaseId
    ttl: float


@dataclasses.dataclass(frozen=True)
class LeaseLost:
    """The lease no longer exists."""

    lease_id: ids.LeaseId


@dataclasses.dataclass(frozen=True)
class Compare:
    """Condition that the last write to a key was at ``mod_revision``.

    A ``mod_revision`` of 0 means that the key does not exist.
    """

    key: str
    mod_revision: ids.Revision


@dataclasses.dataclass(frozen=True)
class Put:
    """Write of a key in a transaction."""

    key: str
    value: bytes
    lease_id: ids.LeaseId | None = None


@dataclasses.dataclass(frozen=True)
class Delete:
    """Removal of a key in a transaction."""

    key: str


@dataclasses.dataclass(frozen=True)
class WatchEvent:
    """Change of a key; ``item`` is None if the key was removed."""

    key: str
    item: KeyValue | None
    revision: ids.Revision


@dataclasses.dataclass(frozen=True)
class WatchEnded:
    """A watch ended after it had delivered all changes up to ``revision``.

    Attributes
    ----------
    detail : str
        The cause.
    revision : Revision
        Revision up to which changes were delivered.
    resumable : bool
        Whether another watch can go on from there; otherwise the keys must
        be read again.
    """

    detail: str
    revision: ids.Revision
    resumable: bool = False


@dataclasses.dataclass(frozen=True)
class WatchProgress:
    """All changes up to ``revision`` were delivered.

    Attributes
    ----------
    revision : Revision
        Revision of the store.
    as_of : float
        Time at which this was known to be true, on `clock.now`, in seconds.
    heard_at : float or None
        Time at which the store was up, if that is later: it may deliver a
        change after some delay.
    """

    revision: ids.Revision
    as_of: float
    heard_at: float | None = None

    @property
    def heard(self) -> float:
        """Time at which the store was last known to be up."""
        if self.heard_at is None:
            return self.as_of
        return max(self.as_of, self.heard_at)


Read = Found | Unavailable
Write = Written | Conflict | Unavailable | Unknown
Grant = LeaseGranted | Unavailable | Unknown
Renewal = LeaseGranted | LeaseLost | Unavailable
WatchItem = WatchEvent | WatchProgress | WatchEnded


Wait = collections.abc.Callable[[], float]
"""Returns the maximum wait of the next watch call, in seconds."""


class KeyValueClient(typing.Protocol):
    """Client of the platform's key-value service.

    The service may come back from an older copy. Revisions after that are
    greater than all before, and leases from before count as lost.
    """

    @property
    def era(self) -> ids.Era:
        """How often the service came back from a copy, as known so far."""

    async def wait_newer_era(self, era: ids.Era) -> ids.Era:
        """Wait until the service is in an era later than ``era``."""

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
        """Request a lease of ``ttl`` seconds."""

    async def renew_lease(self, lease_id: ids.LeaseId) -> Renewal:
        """Extend a lease to its full time to live."""

    async def revoke_lease(
        self, lease_id: ids.LeaseId
    ) -> Written | Unavailable | Unknown:
        """Revoke a lease; the keys attached to it are removed."""

    def watch(
        self, prefix: str, after: ids.Revision, wait: Wait | None = None
    ) -> contextlib.AbstractAsyncContextManager[
        collections.abc.AsyncIterator[WatchItem]
    ]:
        """Watch keys with a prefix for changes after revision ``after``.

        The iterator ends after one `WatchEnded`. Clients that poll the
        service also yield `WatchProgress`; ``wait`` returns how long each
        poll may wait for a change.
        """


ClientFactory = collections.abc.Callable[..., KeyValueClient]

CLIENTS: registry.Registry[ClientFactory] = registry.Registry(
    'key-value client'
)
"""Client factories by name; each takes the ``kv`` section of the settings."""
