"""Counts the calls to the key-value service."""

import collections
import collections.abc
import contextlib
import typing

from corianderloft._internal.kv import interface
from corianderloft._internal.metrics import registry
from corianderloft._internal.models import ids

_CALLS = registry.counter(
    'kv_calls_total',
    'Calls on the key-value service, by kind and outcome.',
)
_WATCHES = registry.gauge('kv_watches', 'Watches that wait.')

_calls: collections.Counter[tuple[str, str]] = collections.Counter()
_watches: collections.Counter[str] = collections.Counter()


class CountingClient:
    """Wrapper of a client that counts all calls.

    Parameters
    ----------
    client : KeyValueClient
        Client that makes the calls.
    """

    def __init__(self, client: interface.KeyValueClient) -> None:
        self._client = client

    @property
    def era(self) -> ids.Era:
        """See `interface.KeyValueClient`."""
        return self._client.era

    async def wait_newer_era(self, era: ids.Era) -> ids.Era:
        """See `interface.KeyValueClient`."""
        return await self._client.wait_newer_era(era)

    async def get(self, key: str) -> interface.Read:
        """Read one key; ``items`` is empty if it does not exist."""
        return _count('read', await self._client.get(key))

    async def get_prefix(self, prefix: str) -> interface.Read:
        """Read all keys with the prefix ``prefix``, in order."""
        return _count('read', await self._client.get_prefix(prefix))

    async def transact(
        self,
        compares: collections.abc.Sequence[interface.Compare],
        operations: collections.abc.Sequence[interface.Put | interface.Delete],
    ) -> interface.Write:
        """Apply all operations if all compares succeed."""
        outcome = await self._client.transact(compares, operations)
        return _count('write', outcome)

    async def grant_lease(self, ttl: float) -> interface.Grant:
        """Request a lease with a time to live of ``ttl`` seconds."""
        return _count('lease', await self._client.grant_lease(ttl))

    async def renew_lease(self, lease_id: ids.LeaseId) -> interface.Renewal:
        """Renew a lease for its full time to live."""
        return _count('lease', await self._client.renew_lease(lease_id))

    async def revoke_lease(
        self, lease_id: ids.LeaseId
    ) -> interface.Written | interface.Unavailable | interface.Unknown:
        """Revoke a lease; keys attached to it are deleted."""
        return _count('lease', await self._client.revoke_lease(lease_id))

    @contextlib.asynccontextmanager
    async def watch(
        self,
        prefix: str,
        after: ids.Revision,
        wait: interface.Wait | None = None,
    ) -> collections.abc.AsyncIterator[
        collections.abc.AsyncIterator[interface.WatchItem]
    ]:
        """Watch keys below ``prefix`` for changes after revision ``after``."""
        _calls['watch', 'opened'] += 1
        _watches['open'] += 1
        try:
            async with self._client.watch(prefix, after, wait) as items:
                yield items
        finally:
            _watches['open'] -= 1


T = typing.TypeVar('T')


def _count(kind: str, outcome: T) -> T:
    _calls[kind, type(outcome).__name__.lower()] += 1
    return outcome


@registry.on_collect
def _collect() -> None:
    for (kind, outcome), count in _calls.items():
        _CALLS.set({'kind': kind, 'outcome': outcome}, count)
    _WATCHES.set({}, _watches['open'])
